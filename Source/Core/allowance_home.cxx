// The home's side of the allowances: lends shares to holders and takes over
// from earlier homes.

#include "Core/allowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondmoor {

namespace {

    // A holder is lent a rate of at most this multiple of its demand. The rest
    // of the rate accrues at the home.
    constexpr double rateHeadroom = 1.25;
    // Maximum stock of tokens that a holder keeps, in seconds of its demand.
    constexpr double maxStockSeconds = 2.0;
    // Fraction of all tokens of a team that its holders keep as stock.
    constexpr double stockFraction = 0.5;
    // A holder's burst leaves free capacity for the tokens that accrue at its
    // rate in this time, between two reports.
    constexpr double accrualSeconds = 0.5;
    // Bounds of the delay before a holder that lacks tokens reports again.
    constexpr std::uint32_t minRetryDelayMs = 10;
    constexpr std::uint32_t maxRetryDelayMs = 100;
    // Sums of fractions can fall short of a whole token by a rounding error.
    constexpr double roundingTolerance = 1e-9;
    // A holder's demand counts for this long after its last report.
    constexpr duration demandTtl = std::chrono::seconds(2);
    // After a holder lacked tokens, the other holders return their stock for
    // this long.
    constexpr duration shortageTtl = std::chrono::milliseconds(500);
    // An empty loan is kept for longer than a report can take to arrive, so that
    // a late report is still recognised by its sequence.
    constexpr duration emptyLoanTtl = std::chrono::seconds(60);

} // namespace

void allowance_home::applyConfiguration(const configuration& newConfiguration, const std::string& self, std::uint64_t selfIncarnation, instant now)
{
    const auto isHomeOf = [&](const std::string& team) {
        const auto home = newConfiguration.shardHomes().find(shardOf(team));
        return home != newConfiguration.shardHomes().end() && home->second.host == self && home->second.incarnation == selfIncarnation;
    };
    for (auto entry = m_rows.begin(); entry != m_rows.end();) {
        auto& [name, row] = *entry;
        const bool isTeam = newConfiguration.teams().count(name) > 0;
        const auto home = newConfiguration.shardHomes().find(shardOf(name));
        const bool isKept = isTeam && isHomeOf(name) && home->second.epoch == row.epoch;
        if (!isKept && isTeam && home != newConfiguration.shardHomes().end()) {
            updatePool(row, now);
            m_handovers.push_back({ home->second.host, { name, home->second.epoch, row.pool.ratePerSecond, row.pool.burst, row.pool.tokens } });
        }
        entry = isKept ? std::next(entry) : m_rows.erase(entry);
    }
    for (const auto& [name, team] : newConfiguration.teams()) {
        if (!isHomeOf(name))
            continue;
        const shard_home& home = newConfiguration.shardHomes().at(shardOf(name));
        const auto [entry, isNew] = m_rows.try_emplace(name);
        team_row& row = entry->second;
        if (isNew) {
            const auto knownShard = m_shards.find(shardOf(name));
            const bool isNewTeam = knownShard != m_shards.end() && knownShard->second == home.epoch;
            row.epoch = home.epoch;
            row.isRegistrationOpen = home.inherited && !isNewTeam;
            // The bucket of a new team starts full, since no request of the team
            // can have been admitted yet. After a takeover the bucket starts empty.
            row.ratePerSecond = team.ratePerSecond;
            row.burst = team.burst;
            row.unregisteredRate = row.isRegistrationOpen ? team.ratePerSecond : 0;
            row.unregisteredBurst = row.isRegistrationOpen ? team.burst : 0;
            row.pool = share { team.ratePerSecond, team.burst, row.isRegistrationOpen ? 0 : team.burst, now };
        }
        updatePool(row, now);
        row.ratePerSecond = team.ratePerSecond;
        row.burst = team.burst;
        for (auto& [holder, loan] : row.loans) {
            const auto member = newConfiguration.hosts().find(holder.name);
            const bool isRemoved = member == newConfiguration.hosts().end() || member->second.incarnation != holder.incarnation;
            if (isRemoved && !loan.removedAtVersion)
                loan.removedAtVersion = newConfiguration.version();
        }
        updatePool(row, now);
    }
    m_members.clear();
    for (const auto& [name, member] : newConfiguration.hosts())
        m_members[name] = member.incarnation;
    m_shards.clear();
    for (const auto& [shard, home] : newConfiguration.shardHomes()) {
        if (home.host == self && home.incarnation == selfIncarnation)
            m_shards[shard] = home.epoch;
    }
}

void allowance_home::recordConfirmedVersion(config_version version, instant now)
{
    m_confirmedVersion = std::max(m_confirmedVersion, version);
    for (auto& [team, row] : m_rows) {
        if (row.isRegistrationOpen && !row.registrationEndsAt && row.epoch <= m_confirmedVersion)
            row.registrationEndsAt = now + m_fence + m_settings.registrationGrace;
        for (auto& [holder, loan] : row.loans) {
            if (loan.removedAtVersion && !loan.reclaimAt && *loan.removedAtVersion <= m_confirmedVersion)
                loan.reclaimAt = now + m_fence;
        }
    }
}

void allowance_home::updatePool(team_row& row, instant now) const
{
    std::erase_if(row.loans, [now](const auto& entry) {
        const loan_row& loan = entry.second;
        const bool isReclaimed = loan.reclaimAt && now >= *loan.reclaimAt;
        const bool isExpired = loan.burst <= 0 && loan.ratePerSecond <= 0 && now - loan.reportedAt >= emptyLoanTtl;
        return isReclaimed || isExpired;
    });
    row.pool.accrue(now);
    double lentRate = 0;
    double lentBurst = 0;
    for (const auto& [holder, loan] : row.loans) {
        lentRate += loan.ratePerSecond;
        lentBurst += loan.burst;
    }
    if (row.isRegistrationOpen && row.registrationEndsAt && now >= *row.registrationEndsAt) {
        // Shares that no host has registered have expired. Their rate and burst
        // return to the pool, without tokens.
        row.isRegistrationOpen = false;
        row.unregisteredRate = 0;
        row.unregisteredBurst = 0;
    }
    row.pool.ratePerSecond = std::max(0.0, row.ratePerSecond - lentRate - row.unregisteredRate);
    row.pool.burst = std::max(0.0, row.burst - lentBurst - row.unregisteredBurst);
    row.pool.tokens = std::min(row.pool.tokens, row.pool.burst);
}

double allowance_home::totalDemand(const team_row& row, duration ttl, instant now)
{
    double total = 0;
    for (const auto& [holder, loan] : row.loans) {
        if (now - loan.reportedAt <= ttl)
            total += loan.demandPerSecond;
    }
    return total;
}

void allowance_home::setTargets(const team_row& row, const share_report& report, share_grant& grant, instant now) const
{
    const double demand = std::max(totalDemand(row, demandTtl, now), 1e-9);
    const double demandFraction = report.demandPerSecond / demand;
    if (std::min(report.demandPerSecond, row.ratePerSecond * demandFraction) >= m_settings.minLentRate)
        grant.targetRate = std::min(row.ratePerSecond * demandFraction, rateHeadroom * report.demandPerSecond);

    double tokens = row.pool.tokens;
    bool isAnyHolderShort = false;
    for (const auto& [holder, loan] : row.loans) {
        tokens += loan.heldTokens;
        isAnyHolderShort = isAnyHolderShort || (loan.unmetTokens > 0 && now - loan.reportedAt <= shortageTtl);
    }
    // While tokens are plentiful, each holder keeps a stock so that it can admit
    // requests of its clients at once. When tokens run short, they are collected
    // at the home, from which every holder can borrow.
    const double stock = std::min(stockFraction * tokens * demandFraction, maxStockSeconds * report.demandPerSecond + 1);
    grant.targetTokens = isAnyHolderShort ? 0 : std::floor(stock);
    grant.targetBurst = grant.targetTokens;
    if (grant.targetRate > 0)
        grant.targetBurst += grant.targetRate * accrualSeconds + 1;
}

std::uint32_t allowance_home::retryDelayMs(const team_row& row, double missingTokens)
{
    const double seconds = row.pool.ratePerSecond > 0 ? (missingTokens - row.pool.tokens) / row.pool.ratePerSecond : 1;
    return static_cast<std::uint32_t>(std::clamp<double>(seconds * 1000, minRetryDelayMs, maxRetryDelayMs));
}

std::optional<share_grant> allowance_home::handleReport(const std::string& holder, std::uint64_t holderIncarnation, const share_report& report, instant now)
{
    const auto found = m_rows.find(report.team);
    if (found == m_rows.end() || found->second.epoch != report.epoch)
        return std::nullopt;
    const auto member = m_members.find(holder);
    if (member == m_members.end() || member->second != holderIncarnation)
        return std::nullopt;
    team_row& row = found->second;
    loan_row& loan = row.loans[holder_key { holder, holderIncarnation }];
    if (report.sequence <= loan.sequence || loan.removedAtVersion)
        return std::nullopt;
    row.pool.accrue(now);
    if (row.isRegistrationOpen && loan.sequence == 0) {
        row.unregisteredRate = std::max(0.0, row.unregisteredRate - report.ratePerSecond);
        row.unregisteredBurst = std::max(0.0, row.unregisteredBurst - report.burst);
    }
    loan.sequence = report.sequence;
    loan.ratePerSecond = report.ratePerSecond;
    loan.burst = report.burst;
    loan.demandPerSecond = report.demandPerSecond;
    loan.heldTokens = report.heldTokens;
    loan.reportedAt = now;
    updatePool(row, now);
    const bool isGrantLost = loan.grantSequence != 0 && report.appliedSequence != loan.grantSequence;
    const double lostTokens = isGrantLost ? loan.grantedTokens : 0;
    row.pool.tokens = std::min(row.pool.burst, row.pool.tokens + report.returnedTokens + lostTokens);
    loan.grantSequence = 0;
    loan.grantedTokens = 0;

    share_grant grant { report.team, report.epoch, report.sequence, 0, 0, 0, report.ratePerSecond, report.burst, report.heldTokens, 0 };
    setTargets(row, report, grant, now);
    grant.addedRate = std::clamp(grant.targetRate - report.ratePerSecond, 0.0, row.pool.ratePerSecond);

    const double desiredTokens = std::max(report.wantedTokens, grant.targetTokens);
    const double missingTokens = std::ceil(std::max(0.0, desiredTokens - report.heldTokens));
    grant.addedTokens = std::min(missingTokens, std::floor(row.pool.tokens + roundingTolerance));
    const double neededBurst = std::max(grant.targetBurst, report.heldTokens + grant.addedTokens);
    grant.addedBurst = std::clamp(neededBurst - report.burst, 0.0, row.pool.burst);
    grant.addedTokens = std::min(grant.addedTokens, std::max(0.0, report.burst + grant.addedBurst - report.heldTokens));
    loan.unmetTokens = std::max(0.0, report.wantedTokens - report.heldTokens - grant.addedTokens);
    if (grant.addedTokens < missingTokens)
        grant.retryAfterMs = retryDelayMs(row, missingTokens - grant.addedTokens);

    loan.ratePerSecond += grant.addedRate;
    loan.burst += grant.addedBurst;
    loan.heldTokens += grant.addedTokens;
    loan.grantSequence = report.sequence;
    loan.grantedTokens = grant.addedTokens;
    row.pool.tokens -= grant.addedTokens;
    updatePool(row, now);
    return grant;
}

std::vector<addressed_handover> allowance_home::takeHandovers()
{
    return std::exchange(m_handovers, {});
}

void allowance_home::acceptHandover(const share_handover& handover, instant now)
{
    const auto found = m_rows.find(handover.team);
    if (found == m_rows.end())
        return;
    team_row& row = found->second;
    if (!row.isRegistrationOpen || row.hasHandover || row.epoch != handover.epoch)
        return;
    updatePool(row, now);
    if (!row.isRegistrationOpen)
        return;
    row.hasHandover = true;
    row.unregisteredRate = std::max(0.0, row.unregisteredRate - handover.ratePerSecond);
    row.unregisteredBurst = std::max(0.0, row.unregisteredBurst - handover.burst);
    updatePool(row, now);
    row.pool.tokens = std::min(row.pool.burst, row.pool.tokens + handover.tokens);
}

share allowance_home::pool(const std::string& team) const
{
    const auto found = m_rows.find(team);
    return found == m_rows.end() ? share {} : found->second.pool;
}

share allowance_home::totalLent(const std::string& team) const
{
    share total;
    const auto found = m_rows.find(team);
    if (found == m_rows.end())
        return total;
    for (const auto& [holder, loan] : found->second.loans) {
        total.ratePerSecond += loan.ratePerSecond;
        total.burst += loan.burst;
    }
    return total;
}

} // namespace almondmoor
