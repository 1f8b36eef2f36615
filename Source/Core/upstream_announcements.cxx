#include "Core/upstream_announcements.h"

#include <algorithm>
#include <utility>

namespace almondmoor {

namespace {

    // Upstreams leave within a minute. The time is long because an upstream that has left must not be used again if its
    // entry in service discovery returns.
    constexpr duration announcementTtl = std::chrono::minutes(30);

} // namespace

bool upstream_announcements::recordLeaving(const upstream_incarnation& incarnation, instant now)
{
    row& it = m_rows[incarnation];
    it.announcedAt = now;
    return !std::exchange(it.isLeaving, true);
}

void upstream_announcements::recordPause(const upstream_incarnation& incarnation, duration pause, instant now)
{
    row& it = m_rows[incarnation];
    it.announcedAt = now;
    it.pausedUntil = std::max(it.pausedUntil, now + std::min(pause, maxUpstreamPause));
}

bool upstream_announcements::isLeaving(const upstream_incarnation& incarnation) const
{
    const auto found = m_rows.find(incarnation);
    return found != m_rows.end() && found->second.isLeaving;
}

instant upstream_announcements::pausedUntil(const upstream_incarnation& incarnation) const
{
    const auto found = m_rows.find(incarnation);
    return found == m_rows.end() ? distantPast : found->second.pausedUntil;
}

void upstream_announcements::expire(instant now)
{
    std::erase_if(m_rows, [now](const auto& it) { return now - it.second.announcedAt > announcementTtl; });
}

} // namespace almondmoor
