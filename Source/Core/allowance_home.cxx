#include "Core/allowance.h"

#include <algorithm>
#include <cmath>

namespace almondmoor {

namespace {

    // A holder is given this multiple of its demand as its part of the rate; the
    // rest accrues at the home.
    constexpr double rateHeadroom = 1.25;
    // A holder is given this many seconds of its demand as its part of the burst.
    constexpr double burstSeconds = 2.0;
    // Demand of a holder counts for this long after its last report.
    constexpr duration demandMemory = std::chrono::seconds(2);
    // An empty loan is kept for longer than any report can be under way, so that a
    // late one is still recognised by its number.
    constexpr duration emptyLoanMemory = std::chrono::seconds(60);

} // namespace

void allowance_home::adopt(const configuration& held, const std::string& self, std::uint64_t selfIncarnation, instant now)
{
    const auto isMine = [&](const std::string& team) {
        const auto home = held.shardHomes().find(shardOf(team));
        return home != held.shardHomes().end() && home->second.host == self && home->second.incarnation == selfIncarnation;
    };
    std::erase_if(m_rows, [&](const auto& entry) {
        const bool isKept = held.teams().count(entry.first) && isMine(entry.first)
            && held.shardHomes().at(shardOf(entry.first)).epoch == entry.second.epoch;
        return !isKept;
    });
    for (const auto& [name, team] : held.teams()) {
        if (!isMine(name))
            continue;
        const shard_home& home = held.shardHomes().at(shardOf(name));
        const auto [entry, isNew] = m_rows.try_emplace(name);
        row& it = entry->second;
        if (isNew) {
            const auto known = m_shards.find(shardOf(name));
            const bool isNewTeam = known != m_shards.end() && known->second == home.epoch;
            it.epoch = home.epoch;
            it.inCensus = home.inherited && !isNewTeam;
            // Nothing of a new team can have been admitted yet, so its bucket
            // starts full; after a takeover it starts empty.
            it.pool = share { team.ratePerSecond, team.burst, it.inCensus ? 0 : team.burst, now };
        }
        settle(it, now);
        it.ratePerSecond = team.ratePerSecond;
        it.burst = team.burst;
        for (auto& [holder, given] : it.loans) {
            const auto member = held.hosts().find(holder.name);
            const bool isGone = member == held.hosts().end() || member->second.incarnation != holder.incarnation;
            if (isGone && !given.goneAt)
                given.goneAt = held.version();
        }
        settle(it, now);
    }
    m_shards.clear();
    for (const auto& [shard, home] : held.shardHomes()) {
        if (home.host == self && home.incarnation == selfIncarnation)
            m_shards[shard] = home.epoch;
    }
}

void allowance_home::noteConfirmed(config_version version, instant now)
{
    m_confirmed = std::max(m_confirmed, version);
    for (auto& [team, it] : m_rows) {
        if (it.inCensus && !it.censusEndsAt && it.epoch <= m_confirmed)
            it.censusEndsAt = now + m_fence + m_settings.registrationGrace;
        for (auto& [holder, given] : it.loans) {
            if (given.goneAt && !given.reclaimAt && *given.goneAt <= m_confirmed)
                given.reclaimAt = now + m_fence;
        }
    }
}

void allowance_home::settle(row& it, instant now) const
{
    std::erase_if(it.loans, [now](const auto& entry) {
        const loan& given = entry.second;
        const bool isVoid = given.reclaimAt && now >= *given.reclaimAt;
        const bool isForgotten = given.burst <= 0 && given.ratePerSecond <= 0 && now - given.reportedAt >= emptyLoanMemory;
        return isVoid || isForgotten;
    });
    it.pool.accrue(now);
    double lentRate = 0;
    double lentBurst = 0;
    for (const auto& [holder, given] : it.loans) {
        lentRate += given.ratePerSecond;
        lentBurst += given.burst;
    }
    it.pool.ratePerSecond = std::max(0.0, it.ratePerSecond - lentRate);
    it.pool.burst = std::max(0.0, it.burst - lentBurst);
    it.pool.tokens = std::min(it.pool.tokens, it.pool.burst);
    if (it.inCensus && it.censusEndsAt && now >= *it.censusEndsAt) {
        it.inCensus = false;
        it.pool.tokens = 0;
    }
}

double allowance_home::totalDemand(const row& it, duration window, instant now)
{
    double total = 0;
    for (const auto& [holder, given] : it.loans) {
        if (now - given.reportedAt <= window)
            total += given.demandPerSecond;
    }
    return total;
}

std::optional<share_grant> allowance_home::answer(const std::string& holder, std::uint64_t holderIncarnation, const share_report& report, instant now)
{
    const auto found = m_rows.find(report.team);
    if (found == m_rows.end() || found->second.epoch != report.epoch)
        return std::nullopt;
    row& it = found->second;
    loan& given = it.loans[holder_key { holder, holderIncarnation }];
    if (report.sequence <= given.sequence || given.goneAt)
        return std::nullopt;
    it.pool.accrue(now);
    given.sequence = report.sequence;
    given.ratePerSecond = report.ratePerSecond;
    given.burst = report.burst;
    given.demandPerSecond = report.demandPerSecond;
    given.reportedAt = now;
    settle(it, now);
    it.pool.tokens = std::min(it.pool.burst, it.pool.tokens + report.returnedTokens);

    share_grant grant { report.team, report.epoch, report.sequence, 0, 0, 0, report.ratePerSecond, report.burst };
    if (it.inCensus) {
        it.pool.tokens = 0;
        return grant;
    }
    const double demand = std::max(totalDemand(it, demandMemory, now), 1e-9);
    const double part = report.demandPerSecond / demand;
    const bool wantsRate = report.demandPerSecond >= m_settings.leastDemandForRate;
    grant.targetRate = wantsRate ? std::min(it.ratePerSecond * part, rateHeadroom * report.demandPerSecond) : 0;
    grant.targetBurst = wantsRate ? std::min(it.burst * part, burstSeconds * report.demandPerSecond + 2) : 0;
    if (grant.targetBurst < 2) {
        // Less than two tokens is too little to ride out any variation.
        grant.targetRate = 0;
        grant.targetBurst = 0;
    }
    grant.addedRate = std::clamp(grant.targetRate - report.ratePerSecond, 0.0, it.pool.ratePerSecond);

    const double wish = std::max(report.wantedTokens, std::min(report.demandPerSecond, it.pool.tokens * part));
    double tokens = std::clamp(wish - report.heldTokens, 0.0, it.pool.tokens);
    if (grant.targetRate <= 0)
        tokens = std::floor(tokens + report.heldTokens) - report.heldTokens;
    tokens = std::max(0.0, tokens);
    const double burstForTokens = report.heldTokens + tokens - report.burst;
    grant.addedBurst = std::clamp(std::max(grant.targetBurst - report.burst, burstForTokens), 0.0, it.pool.burst);
    grant.addedTokens = std::min(tokens, std::max(0.0, report.burst + grant.addedBurst - report.heldTokens));

    given.ratePerSecond += grant.addedRate;
    given.burst += grant.addedBurst;
    it.pool.tokens -= grant.addedTokens;
    settle(it, now);
    return grant;
}

share allowance_home::lent(const std::string& team) const
{
    share sum;
    const auto found = m_rows.find(team);
    if (found == m_rows.end())
        return sum;
    for (const auto& [holder, given] : found->second.loans) {
        sum.ratePerSecond += given.ratePerSecond;
        sum.burst += given.burst;
    }
    return sum;
}

} // namespace almondmoor
