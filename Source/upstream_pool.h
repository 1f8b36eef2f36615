// Connections to upstreams, kept for a short time between exchanges.
//
// A connection carries one exchange at a time and is put back only after a
// clean one, so that an answer can never be taken for another request's.

#pragma once

#include "byte_stream.h"

#include <absl/status/statusor.h>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondmoor {

// All members may be called from any thread.
class upstream_pool {
public:
    explicit upstream_pool(duration connectTimeout)
        : m_connectTimeout(connectTimeout)
    {
    }

    // Returns a kept connection that is still open, or a new one. Callers that
    // cannot send again ask for a new one. No byte has been sent on failure.
    absl::StatusOr<std::unique_ptr<byte_stream>> acquire(const std::string& upstream, bool mustBeNew, instant deadline);

    // Keeps a connection whose last exchange ended cleanly.
    void putBack(const std::string& upstream, std::unique_ptr<byte_stream>);

    // Closes connections that were idle for too long.
    void closeIdle();

private:
    struct kept_connection {
        std::unique_ptr<byte_stream> stream;
        instant since;
    };

    duration m_connectTimeout;
    std::mutex m_mutex;
    std::map<std::string, std::deque<kept_connection>> m_kept;
};

} // namespace almondmoor
