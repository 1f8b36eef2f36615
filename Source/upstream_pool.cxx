#include "upstream_pool.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Part of an upstream's own idle limit after which a connection is not used
    // any more, since its closing may be on the way.
    constexpr double usedIdlePart = 0.7;
    constexpr std::size_t mostKeptPerUpstream = 16;

} // namespace

bool upstream_pool::isUsable(const kept_connection& kept, duration longestIdle, instant now)
{
    return now - kept.since <= std::min(kept.idleLimit, longestIdle);
}

absl::StatusOr<upstream_pool::acquired_connection> upstream_pool::acquire(const std::string& upstream, duration longestIdle, instant deadline)
{
    const instant now = presentInstant();
    while (longestIdle > duration::zero()) {
        std::unique_ptr<byte_stream> candidate;
        {
            const std::lock_guard lock(m_mutex);
            auto& kept = m_kept[upstream];
            if (kept.empty() || !isUsable(kept.back(), longestIdle, now))
                break;
            candidate = std::move(kept.back().stream);
            kept.pop_back();
        }
        if (candidate->isIdleAndOpen())
            return acquired_connection { std::move(candidate), true };
    }
    Poco::Net::StreamSocket socket;
    ++m_connects;
    const auto status = byte_stream::connect(upstream, std::min(deadline, now + m_connectTimeout), socket);
    if (!status.ok())
        return status;
    return acquired_connection { std::make_unique<byte_stream>(socket), false };
}

void upstream_pool::putBack(const std::string& upstream, std::unique_ptr<byte_stream> stream, std::optional<duration> idleLimit)
{
    const duration limit = idleLimit ? fromSeconds(toSeconds(*idleLimit) * usedIdlePart) : m_usualIdleLimit;
    const std::lock_guard lock(m_mutex);
    auto& kept = m_kept[upstream];
    if (kept.size() < mostKeptPerUpstream)
        kept.push_back(kept_connection { std::move(stream), presentInstant(), limit });
}

void upstream_pool::closeIdle()
{
    const instant now = presentInstant();
    const std::lock_guard lock(m_mutex);
    for (auto& [upstream, kept] : m_kept)
        std::erase_if(kept, [now](const kept_connection& it) { return now - it.since > it.idleLimit; });
    std::erase_if(m_kept, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace almondmoor
