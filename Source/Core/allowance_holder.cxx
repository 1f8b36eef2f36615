// The holder's side of the allowances: takes tokens and reports to the homes.

#include "Core/allowance.h"

#include <algorithm>
#include <cmath>

namespace almondmoor {

namespace {

    // Maximum delay that a grant can impose on the next report.
    constexpr duration maxRetryDelay = std::chrono::milliseconds(250);

} // namespace

void share::accrue(instant now)
{
    if (now <= updatedAt)
        return;
    tokens = std::min(burst, tokens + ratePerSecond * toSeconds(now - updatedAt));
    updatedAt = now;
}

bool share::take(instant now)
{
    accrue(now);
    // Sums of fractions can fall short of a whole token by a rounding error.
    constexpr double roundingTolerance = 1e-9;
    if (tokens < 1 - roundingTolerance)
        return false;
    tokens = std::max(0.0, tokens - 1);
    return true;
}

void allowance_holder::decayDemand(team_row& row, instant now) const
{
    if (now <= row.demandUpdatedAt)
        return;
    row.demandPerSecond *= std::exp(-toSeconds(now - row.demandUpdatedAt) / toSeconds(m_settings.demandWindow));
    row.demandUpdatedAt = now;
}

void allowance_holder::clearIfExpired(team_row& row, instant now) const
{
    if (!row.expiresAt || now < *row.expiresAt)
        return;
    row.held = share { 0, 0, 0, now };
    row.expiresAt.reset();
}

void allowance_holder::recordDemand(const std::string& team, instant now)
{
    const auto [entry, isNew] = m_rows.try_emplace(team);
    team_row& row = entry->second;
    if (isNew) {
        row.held.updatedAt = now;
        row.demandUpdatedAt = now;
        row.epoch = m_epochs[shardOf(team)];
    }
    decayDemand(row, now);
    row.demandPerSecond += 1 / toSeconds(m_settings.demandWindow);
    row.lastArrivalAt = now;
}

bool allowance_holder::take(const std::string& team, instant now)
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end())
        return false;
    clearIfExpired(found->second, now);
    return found->second.held.take(now);
}

void allowance_holder::returnToken(const std::string& team, instant now)
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end())
        return;
    share& held = found->second.held;
    held.accrue(now);
    held.tokens = std::min(held.burst, held.tokens + 1);
}

void allowance_holder::setWaitingRequests(const std::string& team, unsigned waitingRequests)
{
    const auto found = m_rows.find(team);
    if (found != m_rows.end())
        found->second.waitingRequests = waitingRequests;
}

void allowance_holder::applyConfiguration(const configuration& newConfiguration, bool wasFresh, bool isMember, instant now)
{
    m_isMember = isMember;
    if (!isMember)
        m_rows.clear();
    for (const auto& [shard, home] : newConfiguration.shardHomes())
        m_epochs[shard] = home.epoch;
    std::erase_if(m_rows, [&newConfiguration](const auto& entry) { return !newConfiguration.teams().count(entry.first); });
    for (auto& [team, row] : m_rows) {
        const config_version epoch = m_epochs[shardOf(team)];
        if (epoch == row.epoch)
            continue;
        row.epoch = epoch;
        row.reportedAt.reset();
        const instant expiresAt = wasFresh ? now + m_settings.registrationGrace : now;
        row.expiresAt = row.expiresAt ? std::min(*row.expiresAt, expiresAt) : expiresAt;
        clearIfExpired(row, now);
    }
}

bool allowance_holder::isReportDue(const team_row& row, instant now) const
{
    if (!row.reportedAt)
        return true;
    if (row.isAwaitingGrant && now - *row.reportedAt < m_settings.grantTimeout)
        return false;
    const bool isShortOfTokens = row.waitingRequests > 0 && row.held.tokens < row.waitingRequests;
    duration interval = m_settings.reportInterval;
    if (isShortOfTokens)
        interval = std::max(m_settings.minReportInterval, row.retryDelay);
    else if (row.hasExcessTokens)
        interval = m_settings.minReportInterval;
    return now - *row.reportedAt >= interval;
}

share_report allowance_holder::makeReport(const std::string& team, team_row& row, bool returnAll, instant now)
{
    share& held = row.held;
    held.accrue(now);
    const double keepRate = returnAll ? 0 : std::min(held.ratePerSecond, row.targetRate);
    const double keepTokens = returnAll ? 0 : std::min(held.tokens, std::max<double>(row.waitingRequests, row.targetTokens));
    // Without a rate no tokens accrue, so the holder needs no more burst than it
    // has tokens.
    const double wantedBurst = keepRate > 0 ? std::max(row.targetBurst, keepTokens) : keepTokens;
    const double keepBurst = returnAll ? 0 : std::min(held.burst, wantedBurst);

    const double returnedTokens = held.tokens - keepTokens;
    held.ratePerSecond = keepRate;
    held.tokens = keepTokens;
    held.burst = keepBurst;
    row.reportedAt = now;
    row.isAwaitingGrant = true;
    row.hasExcessTokens = false;
    row.sequence = m_nextSequence++;
    return share_report { team, row.epoch, row.sequence, held.ratePerSecond, held.burst, returnedTokens, row.demandPerSecond,
        static_cast<double>(row.waitingRequests), held.tokens, row.appliedSequence };
}

bool allowance_holder::isIdle(const team_row& row, instant now) const
{
    return row.waitingRequests == 0 && now - row.lastArrivalAt >= m_settings.idleTimeout;
}

std::vector<share_report> allowance_holder::dueReports(instant now)
{
    std::vector<share_report> reports;
    if (!m_isMember)
        return reports;
    for (auto& [team, row] : m_rows) {
        decayDemand(row, now);
        clearIfExpired(row, now);
        if (isReportDue(row, now))
            reports.push_back(makeReport(team, row, isIdle(row, now), now));
    }
    return reports;
}

std::vector<share_report> allowance_holder::finalReports(instant now)
{
    std::vector<share_report> reports;
    for (auto& [team, row] : m_rows) {
        clearIfExpired(row, now);
        reports.push_back(makeReport(team, row, true, now));
    }
    m_rows.clear();
    return reports;
}

void allowance_holder::applyGrant(const share_grant& grant, instant now)
{
    const auto found = m_rows.find(grant.team);
    if (found == m_rows.end() || found->second.sequence != grant.sequence || found->second.epoch != grant.epoch)
        return;
    team_row& row = found->second;
    clearIfExpired(row, now);
    row.expiresAt.reset();
    row.held.accrue(now);
    row.held.ratePerSecond += grant.addedRate;
    row.held.burst += grant.addedBurst;
    row.held.tokens = std::min(row.held.burst, row.held.tokens + grant.addedTokens);
    row.targetRate = grant.targetRate;
    row.targetBurst = grant.targetBurst;
    row.targetTokens = grant.targetTokens;
    row.hasExcessTokens = row.waitingRequests == 0 && row.held.tokens >= grant.targetTokens + 1;
    row.retryDelay = std::min<duration>(std::chrono::milliseconds(grant.retryAfterMs), maxRetryDelay);
    // Clearing the sequence keeps a repeated grant from being added twice.
    row.appliedSequence = row.sequence;
    row.sequence = 0;
    row.isAwaitingGrant = false;
    // An idle row is removed only here, when the home has confirmed the return.
    // If it were removed earlier and the report was lost, the home would record
    // the loan forever.
    if (isIdle(row, now) && row.held.burst <= 0)
        m_rows.erase(found);
}

share allowance_holder::heldShare(const std::string& team, instant now)
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end())
        return share {};
    clearIfExpired(found->second, now);
    found->second.held.accrue(now);
    return found->second.held;
}

} // namespace almondmoor
