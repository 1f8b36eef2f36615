// Errors that name the step that failed and the peer involved.

#pragma once

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace almondmoor {

// Returns a status whose message reads "STEP with PEER: DETAIL". Step and peer are also stored as payloads, for
// use by code. The peer may be empty if the step involves none.
absl::Status makeError(absl::StatusCode, std::string_view step, std::string_view peer, std::string_view detail);

// Returns the step that failed, or an empty string if the status has none.
std::string errorStep(const absl::Status&);

// Returns the peer involved in the error, or an empty string if the status has none.
std::string errorPeer(const absl::Status&);

// Returns the message of a status as std::string.
std::string errorMessage(const absl::Status&);

} // namespace almondmoor
