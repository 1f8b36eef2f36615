#include "Core/service_losses.h"

#include <algorithm>
#include <cmath>

namespace almondmoor {

namespace {

    // Fewer losses than this, after their decay, are no longer reported.
    constexpr double minRecentLosses = 0.1;

} // namespace

double service_losses::decaySince(instant at, instant now) const
{
    return at == distantPast ? 0 : std::exp(-toSeconds(std::max(duration::zero(), now - at)) / toSeconds(m_window));
}

void service_losses::add(const std::string& service, const service_outcomes& outcomes, instant now)
{
    decaying_counts& counts = m_recent[service];
    const double decay = decaySince(counts.at, now);
    counts.requests = counts.requests * decay + static_cast<double>(outcomes.requests);
    counts.unserved = counts.unserved * decay + static_cast<double>(std::min(outcomes.unserved, outcomes.requests));
    counts.at = std::max(counts.at, now);
}

void service_losses::record(const std::string& service, bool isServed, instant now)
{
    add(service, { 1, isServed ? 0U : 1U }, now);
    unreported_counts& unreported = m_unreported[service];
    if (unreported.outcomes.requests == 0)
        unreported.since = now;
    ++unreported.outcomes.requests;
    unreported.outcomes.unserved += isServed ? 0 : 1;
}

void service_losses::recordRemote(const std::string& service, const service_outcomes& outcomes, instant now)
{
    add(service, outcomes, now);
}

std::optional<double> service_losses::share(const std::string& service, instant now) const
{
    const auto found = m_recent.find(service);
    if (found == m_recent.end())
        return std::nullopt;
    // Both counts decay alike. Once little is left of them, nothing is recent.
    constexpr double minRecentRequests = 0.1;
    const decaying_counts& counts = found->second;
    if (counts.requests * decaySince(counts.at, now) < minRecentRequests)
        return std::nullopt;
    return counts.unserved / counts.requests;
}

std::map<std::string, service_outcomes> service_losses::takeOutcomes(instant now)
{
    std::map<std::string, service_outcomes> outcomes;
    for (auto& [service, unreported] : m_unreported) {
        if (unreported.outcomes.requests == 0)
            continue;
        const decaying_counts& recent = m_recent[service];
        if (recent.unserved * decaySince(recent.at, now) >= minRecentLosses)
            outcomes[service] = unreported.outcomes;
        else if (now - unreported.since <= m_window)
            continue;
        unreported = {};
    }
    return outcomes;
}

} // namespace almondmoor
