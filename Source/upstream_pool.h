// A pool of connections to upstreams, which keeps connections open for a short time between exchanges.
//
// A connection carries one exchange at a time. It may be returned to the pool only after a complete exchange, so that
// no response can be read as the response to another request.

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
    // The default idle timeout applies to connections whose upstream announces no Keep-Alive timeout.
    explicit upstream_pool(duration connectTimeout, duration defaultIdleTimeout = std::chrono::seconds(1))
        : m_connectTimeout(connectTimeout)
        , m_defaultIdleTimeout(defaultIdleTimeout)
    {
    }

    // Returns the number of attempts to open a new connection so far.
    std::uint64_t connectCount() const { return m_connectCount; }

    struct acquired_connection {
        std::unique_ptr<byte_stream> stream;
        // Whether the connection carried an earlier exchange.
        bool isReused = false;
    };

    // Returns an open connection that was idle for at most maxIdleTime, or else a new connection. A maxIdleTime of
    // zero always opens a new connection. If the call fails, nothing has been sent to the upstream.
    absl::StatusOr<acquired_connection> acquire(const std::string& upstream, duration maxIdleTime, instant deadline);

    // Returns a connection whose last exchange is complete to the pool, or closes it if the pool already keeps enough
    // connections to the upstream. idleTimeout is the upstream's own timeout for idle connections; the pool keeps the
    // connection for a shorter time than that.
    void putBack(const std::string& upstream, std::unique_ptr<byte_stream>, std::optional<duration> idleTimeout = std::nullopt);

    // Closes the idle connections to an upstream.
    void discard(const std::string& upstream);

    // Closes connections whose idle timeout has passed.
    void closeIdle();

private:
    struct idle_connection {
        std::unique_ptr<byte_stream> stream;
        instant idleSince;
        duration idleTimeout {};
    };

    static bool isUsable(const idle_connection&, duration maxIdleTime, instant now);

    duration m_connectTimeout;
    duration m_defaultIdleTimeout;
    std::atomic<std::uint64_t> m_connectCount { 0 };
    std::mutex m_mutex;
    std::map<std::string, std::deque<idle_connection>> m_idleConnections;
};

} // namespace almondmoor
