// Implements team_quota: one token bucket for each team that has a limit.

#include "Core/team_quota.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Fraction of the tolerated excess that widens the buckets. The rest covers
    // admissions that have not been reported to the neighbours yet.
    constexpr double bucketSlackFraction = 0.5;

} // namespace

double team_quota::ownFraction() const
{
    return static_cast<double>(m_reachable) / m_known / m_settings.dataCentres;
}

double team_quota::capacityOf(const token_bucket& it) const
{
    return std::max(1.0, (it.burst + bucketSlackFraction * m_settings.slack) * ownFraction());
}

void team_quota::apply(const serving_config& config, instant now)
{
    std::erase_if(m_buckets, [&config](const auto& it) { return !config.teams.count(it.first); });
    for (const auto& [name, team] : config.teams) {
        const auto [entry, isNew] = m_buckets.try_emplace(name);
        token_bucket& it = entry->second;
        if (!isNew)
            refill(it, now);
        it.ratePerSecond = team.ratePerSecond;
        it.burst = team.burst;
        if (isNew) {
            it.refilledAt = now;
            it.tokens = capacityOf(it) * m_settings.initialFillFraction;
        }
        it.tokens = std::min(it.tokens, capacityOf(it));
    }
}

void team_quota::setNeighbours(unsigned known, unsigned reachable)
{
    m_known = std::max(1U, known);
    m_reachable = std::clamp(reachable, 1U, m_known);
}

void team_quota::refill(token_bucket& it, instant now) const
{
    if (now <= it.refilledAt)
        return;
    it.tokens = std::min(capacityOf(it), it.tokens + toSeconds(now - it.refilledAt) * it.ratePerSecond * ownFraction());
    it.refilledAt = now;
}

bool team_quota::take(const std::string& team, instant now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || found->second.ratePerSecond <= 0)
        return true;
    token_bucket& it = found->second;
    refill(it, now);
    if (it.tokens < 1)
        return false;
    it.tokens -= 1;
    ++it.admitted;
    return true;
}

void team_quota::refund(const std::string& team)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || found->second.ratePerSecond <= 0)
        return;
    token_bucket& it = found->second;
    it.tokens = std::min(capacityOf(it), it.tokens + 1);
    // An admission that was already reported to the neighbours is not taken back.
    if (it.admitted > 0)
        --it.admitted;
}

void team_quota::recordRemoteAdmissions(const std::string& team, double count, instant now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return;
    token_bucket& it = found->second;
    refill(it, now);
    // A debt of more than one bucket would refuse requests long after its cause.
    it.tokens = std::max(-capacityOf(it), it.tokens - count);
}

bool team_quota::isRunningLow(const std::string& team) const
{
    const auto found = m_buckets.find(team);
    return found != m_buckets.end() && found->second.ratePerSecond > 0 && found->second.tokens < capacityOf(found->second) / 2;
}

duration team_quota::timeUntilToken(const std::string& team, instant) const
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || found->second.ratePerSecond <= 0)
        return duration::zero();
    const token_bucket& it = found->second;
    return fromSeconds(std::max(0.0, 1 - it.tokens) / (it.ratePerSecond * ownFraction()));
}

std::map<std::string, unsigned> team_quota::takeAdmitted()
{
    std::map<std::string, unsigned> counts;
    for (auto& [name, it] : m_buckets) {
        if (it.admitted > 0)
            counts[name] = it.admitted;
        it.admitted = 0;
    }
    return counts;
}

} // namespace almondmoor
