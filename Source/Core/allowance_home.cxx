#include "Core/allowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondmoor {

namespace {

    // A holder is given this multiple of its demand as its part of the rate; the
    // rest accrues at the home.
    constexpr double rateHeadroom = 1.25;
    // A holder keeps a stock of at most this many seconds of its demand.
    constexpr double stockSeconds = 2.0;
    // Part of all tokens that holders keep as stock.
    constexpr double lentPart = 0.5;
    // Time for which a holder's own accrual must find room between two reports.
    constexpr double accrualSeconds = 0.5;
    // Bounds of the time after which a holder that is short asks again.
    constexpr std::uint32_t shortestWaitMs = 10;
    constexpr std::uint32_t longestWaitMs = 100;
    // Sums of fractions may fall short of a whole token by a rounding error.
    constexpr double rounding = 1e-9;
    // Demand of a holder counts for this long after its last report.
    constexpr duration demandMemory = std::chrono::seconds(2);
    // Other holders give up their stock for this long after one had too little.
    constexpr duration shortageMemory = std::chrono::milliseconds(500);
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
    for (auto entry = m_rows.begin(); entry != m_rows.end();) {
        auto& [name, it] = *entry;
        const bool isTeam = held.teams().count(name) > 0;
        const auto home = held.shardHomes().find(shardOf(name));
        const bool isKept = isTeam && isMine(name) && home->second.epoch == it.epoch;
        if (!isKept && isTeam && home != held.shardHomes().end()) {
            settle(it, now);
            m_handovers.push_back({ home->second.host, { name, home->second.epoch, it.pool.ratePerSecond, it.pool.burst, it.pool.tokens } });
        }
        entry = isKept ? std::next(entry) : m_rows.erase(entry);
    }
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
            it.ratePerSecond = team.ratePerSecond;
            it.burst = team.burst;
            it.unregisteredRate = it.inCensus ? team.ratePerSecond : 0;
            it.unregisteredBurst = it.inCensus ? team.burst : 0;
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
    m_roster.clear();
    for (const auto& [name, member] : held.hosts())
        m_roster[name] = member.incarnation;
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
    if (it.inCensus && it.censusEndsAt && now >= *it.censusEndsAt) {
        // What nobody registered is void by now and starts without tokens.
        it.inCensus = false;
        it.unregisteredRate = 0;
        it.unregisteredBurst = 0;
    }
    it.pool.ratePerSecond = std::max(0.0, it.ratePerSecond - lentRate - it.unregisteredRate);
    it.pool.burst = std::max(0.0, it.burst - lentBurst - it.unregisteredBurst);
    it.pool.tokens = std::min(it.pool.tokens, it.pool.burst);
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

void allowance_home::setTargets(const row& it, const share_report& report, share_grant& grant, instant now) const
{
    const double demand = std::max(totalDemand(it, demandMemory, now), 1e-9);
    const double part = report.demandPerSecond / demand;
    if (std::min(report.demandPerSecond, it.ratePerSecond * part) >= m_settings.leastRateLent)
        grant.targetRate = std::min(it.ratePerSecond * part, rateHeadroom * report.demandPerSecond);

    double tokens = it.pool.tokens;
    bool isSomeoneShort = false;
    for (const auto& [holder, given] : it.loans) {
        tokens += given.heldTokens;
        isSomeoneShort = isSomeoneShort || (given.unmetTokens > 0 && now - given.reportedAt <= shortageMemory);
    }
    // While there is plenty, holders keep a stock near their guests; as the
    // bucket empties, what is left gathers at the home, where all can reach it.
    const double stock = std::min(lentPart * tokens * part, stockSeconds * report.demandPerSecond + 1);
    grant.targetTokens = isSomeoneShort ? 0 : std::floor(stock);
    grant.targetBurst = grant.targetTokens;
    if (grant.targetRate > 0)
        grant.targetBurst += grant.targetRate * accrualSeconds + 1;
}

std::uint32_t allowance_home::waitForTokens(const row& it, double missing)
{
    const double seconds = it.pool.ratePerSecond > 0 ? (missing - it.pool.tokens) / it.pool.ratePerSecond : 1;
    return static_cast<std::uint32_t>(std::clamp<double>(seconds * 1000, shortestWaitMs, longestWaitMs));
}

std::optional<share_grant> allowance_home::answer(const std::string& holder, std::uint64_t holderIncarnation, const share_report& report, instant now)
{
    const auto found = m_rows.find(report.team);
    if (found == m_rows.end() || found->second.epoch != report.epoch)
        return std::nullopt;
    const auto member = m_roster.find(holder);
    if (member == m_roster.end() || member->second != holderIncarnation)
        return std::nullopt;
    row& it = found->second;
    loan& given = it.loans[holder_key { holder, holderIncarnation }];
    if (report.sequence <= given.sequence || given.goneAt)
        return std::nullopt;
    it.pool.accrue(now);
    if (it.inCensus && given.sequence == 0) {
        it.unregisteredRate = std::max(0.0, it.unregisteredRate - report.ratePerSecond);
        it.unregisteredBurst = std::max(0.0, it.unregisteredBurst - report.burst);
    }
    given.sequence = report.sequence;
    given.ratePerSecond = report.ratePerSecond;
    given.burst = report.burst;
    given.demandPerSecond = report.demandPerSecond;
    given.heldTokens = report.heldTokens;
    given.reportedAt = now;
    settle(it, now);
    const bool isGrantLost = given.grantSequence != 0 && report.appliedSequence != given.grantSequence;
    const double lostTokens = isGrantLost ? given.grantedTokens : 0;
    it.pool.tokens = std::min(it.pool.burst, it.pool.tokens + report.returnedTokens + lostTokens);
    given.grantSequence = 0;
    given.grantedTokens = 0;

    share_grant grant { report.team, report.epoch, report.sequence, 0, 0, 0, report.ratePerSecond, report.burst, report.heldTokens, 0 };
    setTargets(it, report, grant, now);
    grant.addedRate = std::clamp(grant.targetRate - report.ratePerSecond, 0.0, it.pool.ratePerSecond);

    const double wish = std::max(report.wantedTokens, grant.targetTokens);
    const double missing = std::ceil(std::max(0.0, wish - report.heldTokens));
    grant.addedTokens = std::min(missing, std::floor(it.pool.tokens + rounding));
    const double neededBurst = std::max(grant.targetBurst, report.heldTokens + grant.addedTokens);
    grant.addedBurst = std::clamp(neededBurst - report.burst, 0.0, it.pool.burst);
    grant.addedTokens = std::min(grant.addedTokens, std::max(0.0, report.burst + grant.addedBurst - report.heldTokens));
    given.unmetTokens = std::max(0.0, report.wantedTokens - report.heldTokens - grant.addedTokens);
    if (grant.addedTokens < missing)
        grant.waitMs = waitForTokens(it, missing - grant.addedTokens);

    given.ratePerSecond += grant.addedRate;
    given.burst += grant.addedBurst;
    given.heldTokens += grant.addedTokens;
    given.grantSequence = report.sequence;
    given.grantedTokens = grant.addedTokens;
    it.pool.tokens -= grant.addedTokens;
    settle(it, now);
    return grant;
}

std::vector<addressed_handover> allowance_home::takeHandovers()
{
    return std::exchange(m_handovers, {});
}

void allowance_home::accept(const share_handover& given, instant now)
{
    const auto found = m_rows.find(given.team);
    if (found == m_rows.end())
        return;
    row& it = found->second;
    if (!it.inCensus || it.hasHandover || it.epoch != given.epoch)
        return;
    settle(it, now);
    if (!it.inCensus)
        return;
    it.hasHandover = true;
    it.unregisteredRate = std::max(0.0, it.unregisteredRate - given.ratePerSecond);
    it.unregisteredBurst = std::max(0.0, it.unregisteredBurst - given.burst);
    settle(it, now);
    it.pool.tokens = std::min(it.pool.burst, it.pool.tokens + given.tokens);
}

share allowance_home::pool(const std::string& team) const
{
    const auto found = m_rows.find(team);
    return found == m_rows.end() ? share {} : found->second.pool;
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
