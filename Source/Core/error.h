// Errors carry the step that failed and the peer it failed with.

#pragma once

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace almondmoor {

// Returns a status whose message reads "STEP with PEER: DETAIL" and whose
// payloads hold step and peer for programs. The peer may be empty when the
// step involves none.
absl::Status makeError(absl::StatusCode, std::string_view step, std::string_view peer, std::string_view detail);

// Returns the step at which an error arose, or an empty string if it has none.
std::string errorStep(const absl::Status&);

// Returns the peer with which an error arose, or an empty string if it has none.
std::string errorPeer(const absl::Status&);

// Returns the message of a status as a standard string.
std::string errorMessage(const absl::Status&);

} // namespace almondmoor
