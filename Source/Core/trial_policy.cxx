#include "Core/trial_policy.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Maximum number of times that an interval is doubled; prevents an overflow.
    constexpr unsigned maxDoublings = 8;

    duration doubled(duration interval, unsigned times, duration limit)
    {
        return std::min(interval * (1 << std::min(times, maxDoublings)), limit);
    }

} // namespace

bool trial_policy::recordPriority(const std::string& service, unsigned priority, instant now)
{
    priority_row& row = m_priorities[service];
    const bool isExpired = row.at == distantPast || now - row.at > m_settings.lessUrgentTtl;
    if (isExpired || priority >= row.leastUrgent)
        row = { priority, now };
    return priority < row.leastUrgent;
}

duration trial_policy::interval(const trial_candidate& upstream, bool canRetry) const
{
    const duration usual = doubled(canRetry ? m_settings.idempotentInterval : m_settings.otherInterval, upstream.badResults, m_settings.maxInterval);
    if (canRetry || !isProbablyFailing(upstream))
        return usual;
    return std::max(usual, doubled(m_settings.failingInterval, upstream.failedTrials, m_settings.maxFailingInterval));
}

bool trial_policy::isOnTurn(const trial_candidate& upstream, duration overdueTime) const
{
    const duration turnTime = std::max<duration>(duration(1), m_settings.staggerTime / upstream.hosts);
    const auto turn = static_cast<unsigned>((overdueTime / turnTime) % upstream.hosts);
    // One trial of a failing upstream at a time tells as much as several.
    const unsigned allowed = isProbablyFailing(upstream) ? 1 : upstream.slots - upstream.inFlight;
    return (turn + upstream.hosts - upstream.rank) % upstream.hosts < allowed;
}

bool trial_policy::isDue(const trial_candidate& upstream, const trial_request& request) const
{
    if (upstream.inFlight >= upstream.slots)
        return false;
    return upstream.isSameDataCentre ? upstream.unusedTime >= interval(upstream, request.canRetry) : upstream.requestedFor.has_value();
}

std::optional<duration> trial_policy::overdueTime(const trial_candidate& upstream, const trial_request& request) const
{
    if (!isDue(upstream, request))
        return std::nullopt;
    const duration overdue = upstream.isSameDataCentre ? upstream.unusedTime - interval(upstream, request.canRetry) : *upstream.requestedFor;
    return isOnTurn(upstream, overdue) ? std::optional(overdue) : std::nullopt;
}

std::optional<trial_denial> trial_policy::denial(const trial_candidate& upstream, const trial_request& request, double coverage, duration overdueTime) const
{
    if (request.canRetry || upstream.excessCost <= m_settings.maxFreeCost)
        return std::nullopt;
    if (request.lossShare < m_settings.minLossShare)
        return trial_denial::FewLosses;
    // Only the upstreams of the own data centre can be judged as a whole.
    if (upstream.isSameDataCentre && coverage >= m_settings.minCoverage)
        return trial_denial::Covered;
    if (isProbablyFailing(upstream) && upstream.failedTrials >= m_settings.maxFailedTrials)
        return trial_denial::TooManyFailures;
    if (request.isMostUrgent && overdueTime < m_settings.urgentDelay)
        return trial_denial::MoreUrgent;
    return std::nullopt;
}

bool trial_policy::isIdle(const trial_candidate& upstream) const
{
    return upstream.isSameDataCentre && upstream.unusedTime >= interval(upstream, false) + m_settings.staggerTime + m_settings.idleMargin;
}

} // namespace almondmoor
