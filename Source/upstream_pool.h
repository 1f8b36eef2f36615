// Connections to upstreams, kept for a short time between exchanges.
//
// A connection carries one exchange at a time and is put back only after a
// clean one, so that an answer can never be taken for another request's.

#pragma once

#include "byte_stream.h"

#include <absl/status/statusor.h>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace almondmoor {

// All members may be called from any thread.
class upstream_pool {
public:
    // Connections of which the upstream says nothing are kept for the given time.
    explicit upstream_pool(duration connectTimeout, duration usualIdleLimit = std::chrono::seconds(1))
        : m_connectTimeout(connectTimeout)
        , m_usualIdleLimit(usualIdleLimit)
    {
    }

    // Counts new connections.
    std::uint64_t connectCount() const { return m_connects; }

    // A connection, and whether it was kept from an earlier exchange.
    struct acquired_connection {
        std::unique_ptr<byte_stream> stream;
        bool isKept = false;
    };

    // Returns a connection that is still open and was idle for at most the given
    // time, or a new one. Zero asks for a new one. No byte has been sent on
    // failure.
    absl::StatusOr<acquired_connection> acquire(const std::string& upstream, duration longestIdle, instant deadline);

    // Keeps a connection whose last exchange ended cleanly, for less than the
    // upstream said that it does.
    void putBack(const std::string& upstream, std::unique_ptr<byte_stream>, std::optional<duration> idleLimit = std::nullopt);

    // Closes connections that were idle for too long.
    void closeIdle();

private:
    struct kept_connection {
        std::unique_ptr<byte_stream> stream;
        instant since;
        duration idleLimit {};
    };

    static bool isUsable(const kept_connection&, duration longestIdle, instant now);

    duration m_connectTimeout;
    duration m_usualIdleLimit;
    std::atomic<std::uint64_t> m_connects { 0 };
    std::mutex m_mutex;
    std::map<std::string, std::deque<kept_connection>> m_kept;
};

} // namespace almondmoor
