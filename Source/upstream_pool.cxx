#include "upstream_pool.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Fraction of the upstream's idle timeout for which a connection may be reused. Later, the upstream may already
    // have sent the segment that closes the connection.
    constexpr double usableIdleFraction = 0.7;
    constexpr std::size_t maxIdlePerUpstream = 16;

} // namespace

bool upstream_pool::isUsable(const idle_connection& connection, duration maxIdleTime, instant now)
{
    return now - connection.idleSince <= std::min(connection.idleTimeout, maxIdleTime);
}

absl::StatusOr<upstream_pool::acquired_connection> upstream_pool::acquire(const std::string& upstream, duration maxIdleTime, instant deadline)
{
    const instant now = presentInstant();
    while (maxIdleTime > duration::zero()) {
        std::unique_ptr<byte_stream> candidate;
        {
            const std::lock_guard lock(m_mutex);
            auto& idle = m_idleConnections[upstream];
            if (idle.empty() || !isUsable(idle.back(), maxIdleTime, now))
                break;
            candidate = std::move(idle.back().stream);
            idle.pop_back();
        }
        if (candidate->isIdleAndOpen())
            return acquired_connection { std::move(candidate), true };
    }
    Poco::Net::StreamSocket socket;
    ++m_connectCount;
    const auto status = byte_stream::connect(upstream, std::min(deadline, now + m_connectTimeout), socket);
    if (!status.ok())
        return status;
    return acquired_connection { std::make_unique<byte_stream>(socket), false };
}

void upstream_pool::putBack(const std::string& upstream, std::unique_ptr<byte_stream> stream, std::optional<duration> idleTimeout)
{
    const duration timeout = idleTimeout ? fromSeconds(toSeconds(*idleTimeout) * usableIdleFraction) : m_defaultIdleTimeout;
    const std::lock_guard lock(m_mutex);
    auto& idle = m_idleConnections[upstream];
    if (idle.size() < maxIdlePerUpstream)
        idle.push_back(idle_connection { std::move(stream), presentInstant(), timeout });
}

void upstream_pool::discard(const std::string& upstream)
{
    const std::lock_guard lock(m_mutex);
    m_idleConnections.erase(upstream);
}

void upstream_pool::closeIdle()
{
    const instant now = presentInstant();
    const std::lock_guard lock(m_mutex);
    for (auto& [upstream, idle] : m_idleConnections)
        std::erase_if(idle, [now](const idle_connection& connection) { return now - connection.idleSince > connection.idleTimeout; });
    std::erase_if(m_idleConnections, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace almondmoor
