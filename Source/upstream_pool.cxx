#include "upstream_pool.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Shorter than the idle timeouts of upstreams, so that a connection that breaks
    // in use broke because of what happened in it.
    constexpr duration longestIdle = std::chrono::seconds(1);
    constexpr std::size_t mostKeptPerUpstream = 16;

} // namespace

absl::StatusOr<std::unique_ptr<byte_stream>> upstream_pool::acquire(const std::string& upstream, bool mustBeNew, instant deadline)
{
    const instant now = presentInstant();
    while (!mustBeNew) {
        std::unique_ptr<byte_stream> candidate;
        {
            const std::lock_guard lock(m_mutex);
            auto& kept = m_kept[upstream];
            if (kept.empty() || now - kept.back().since > longestIdle)
                break;
            candidate = std::move(kept.back().stream);
            kept.pop_back();
        }
        if (candidate->isIdleAndOpen())
            return candidate;
    }
    Poco::Net::StreamSocket socket;
    const auto status = byte_stream::connect(upstream, std::min(deadline, now + m_connectTimeout), socket);
    if (!status.ok())
        return status;
    return std::make_unique<byte_stream>(socket);
}

void upstream_pool::putBack(const std::string& upstream, std::unique_ptr<byte_stream> stream)
{
    const std::lock_guard lock(m_mutex);
    auto& kept = m_kept[upstream];
    if (kept.size() < mostKeptPerUpstream)
        kept.push_back(kept_connection { std::move(stream), presentInstant() });
}

void upstream_pool::closeIdle()
{
    const instant now = presentInstant();
    const std::lock_guard lock(m_mutex);
    for (auto& [upstream, kept] : m_kept) {
        while (!kept.empty() && now - kept.front().since > longestIdle)
            kept.pop_front();
    }
    std::erase_if(m_kept, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace almondmoor
