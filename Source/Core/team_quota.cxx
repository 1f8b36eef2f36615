// Implements team_quota: one token bucket for each team that has a limit.

#include "Core/team_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondmoor {

namespace {

    // Fractions of the tolerated excess that widen the buckets, at least and at most.
    // The rest covers admissions that have not been reported to the neighbours yet.
    constexpr double minBucketSlackFraction = 0.5;
    constexpr double maxBucketSlackFraction = 0.87;
    constexpr double usedOverageFraction = 0.5;
    // Fraction of the remaining excess that the buckets may hold right after a restart,
    // when the team may have used its burst a moment before.
    constexpr double restartFraction = 0.7;
    // Time for which admissions of a team at its full rate may be unreported.
    constexpr double unreportedSeconds = 0.25;
    // Time constant of the average of a team's requests.
    constexpr double demandSeconds = 1;
    // Demand per second below which a team is forgotten as active.
    constexpr double negligibleDemand = 0.1;
    // Tokens are borrowed if the bucket holds less than this time's demand and one token,
    // so that they arrive before they are needed.
    constexpr double borrowAheadSeconds = 0.6;
    // Borrowed tokens cover this time's demand and one token.
    constexpr double borrowedSeconds = 1.5;
    // A lender keeps this time's demand and one token, but at most half of its bucket
    // beyond one token.
    constexpr double lenderReserveSeconds = 0.25;
    // Smaller amounts are not worth a message.
    constexpr double minMovedTokens = 0.25;

} // namespace

double team_quota::ownFraction() const
{
    return static_cast<double>(m_reachable) / m_known / m_settings.dataCentres;
}

double team_quota::toleratedExcess(const token_bucket& it) const
{
    return m_settings.slack + m_settings.overage * (it.burst + it.ratePerSecond * toSeconds(m_settings.window));
}

double team_quota::usedExcess(const token_bucket& it) const
{
    const double slack = std::max(minBucketSlackFraction * m_settings.slack, maxBucketSlackFraction * m_settings.slack - it.ratePerSecond * unreportedSeconds);
    const double overage = usedOverageFraction * m_settings.overage * (it.burst + it.ratePerSecond * toSeconds(m_settings.window));
    return slack + overage;
}

double team_quota::fullBucket(const token_bucket& it) const
{
    return it.burst + usedExcess(it);
}

double team_quota::initialTokens(const token_bucket& it) const
{
    if (m_settings.isFirstStart)
        return capacityOf(it);
    const double fraction = std::min(m_settings.initialFillFraction, restartFraction * (toleratedExcess(it) - usedExcess(it)) / fullBucket(it));
    return capacityOf(it) * (m_settings.slack > 0 ? fraction : m_settings.initialFillFraction);
}

double team_quota::capacityOf(const token_bucket& it) const
{
    return std::max(1.0, fullBucket(it) * ownFraction());
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
            it.tokens = initialTokens(it);
        }
        it.tokens = std::min(it.tokens, capacityOf(it));
    }
}

void team_quota::setNeighbours(unsigned known, unsigned reachable)
{
    m_known = std::max(1U, known);
    m_reachable = std::clamp(reachable, 1U, m_known);
    const double largestBefore = std::exchange(m_largestFraction, std::max(m_largestFraction, ownFraction()));
    if (!m_settings.isFirstStart || m_largestFraction <= largestBefore)
        return;
    // The buckets of a first start are full. A neighbour that becomes reachable for the
    // first time brings its part along, less what it reports as admitted.
    for (auto& [name, it] : m_buckets)
        it.tokens = std::min(capacityOf(it), it.tokens + fullBucket(it) * (m_largestFraction - largestBefore));
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
    recordDemand(team, it, 1, now);
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
    recordDemand(team, it, count, now);
    // A debt of more than one bucket would refuse requests long after its cause.
    it.tokens = std::max(-capacityOf(it), it.tokens - count);
}

team_quota::token_bucket* team_quota::limitedBucket(const std::string& team, instant now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || found->second.ratePerSecond <= 0)
        return nullptr;
    refill(found->second, now);
    return &found->second;
}

double team_quota::demandOf(const token_bucket& it, instant now)
{
    return it.demand * std::exp(-std::max(0.0, toSeconds(now - it.demandAt)) / demandSeconds);
}

void team_quota::recordDemand(const std::string& team, token_bucket& it, double count, instant now)
{
    it.demand = demandOf(it, now) + count / demandSeconds;
    it.demandAt = std::max(it.demandAt, now);
    m_active.insert(team);
}

std::vector<token_shortage> team_quota::shortages(instant now)
{
    std::vector<token_shortage> shortages;
    for (auto team = m_active.begin(); team != m_active.end();) {
        const token_bucket* it = limitedBucket(*team, now);
        const double demand = it ? demandOf(*it, now) : 0;
        if (demand < negligibleDemand) {
            team = m_active.erase(team);
            continue;
        }
        const double wanted = std::min(capacityOf(*it), 1 + demand * borrowedSeconds);
        const bool isShort = it->tokens < 1 + demand * borrowAheadSeconds;
        if (isShort && wanted - it->tokens >= minMovedTokens)
            shortages.push_back({ *team, wanted - it->tokens });
        ++team;
    }
    return shortages;
}

double team_quota::lend(const std::string& team, double tokens, instant now)
{
    token_bucket* it = limitedBucket(team, now);
    if (!it)
        return 0;
    const double reserve = 1 + std::min(demandOf(*it, now) * lenderReserveSeconds, capacityOf(*it) / 2);
    const double lent = std::min(tokens, it->tokens - reserve);
    if (lent < minMovedTokens)
        return 0;
    it->tokens -= lent;
    m_moved[team].lent += lent;
    return lent;
}

void team_quota::borrow(const std::string& team, double tokens, instant now)
{
    token_bucket* it = limitedBucket(team, now);
    if (!it || !(tokens > 0))
        return;
    m_moved[team].borrowed += tokens;
    it->tokens = std::min(capacityOf(*it), it->tokens + tokens);
}

void team_quota::recordRemoteBorrowing(const std::string& team, double tokens, instant now)
{
    if (token_bucket* it = limitedBucket(team, now))
        it->tokens = std::min(capacityOf(*it), it->tokens + tokens);
}

void team_quota::recordRemoteLending(const std::string& team, double tokens, instant now)
{
    if (token_bucket* it = limitedBucket(team, now))
        it->tokens = std::max(-capacityOf(*it), it->tokens - tokens);
}

std::map<std::string, team_quota::moved_tokens> team_quota::takeMoved()
{
    return std::exchange(m_moved, {});
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
