#include "Core/allowance.h"

#include <algorithm>
#include <cmath>

namespace almondmoor {

namespace {

    // Longest time that an answer may ask a holder to wait.
    constexpr duration longestWait = std::chrono::milliseconds(250);

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
    // Sums of fractions may fall short of a whole token by a rounding error.
    constexpr double rounding = 1e-9;
    if (tokens < 1 - rounding)
        return false;
    tokens = std::max(0.0, tokens - 1);
    return true;
}

void allowance_holder::decayDemand(row& it, instant now) const
{
    if (now <= it.demandAt)
        return;
    it.demandPerSecond *= std::exp(-toSeconds(now - it.demandAt) / toSeconds(m_settings.demandWindow));
    it.demandAt = now;
}

void allowance_holder::dropIfVoid(row& it, instant now) const
{
    if (!it.voidAt || now < *it.voidAt)
        return;
    it.held = share { 0, 0, 0, now };
    it.voidAt.reset();
}

void allowance_holder::noteDemand(const std::string& team, instant now)
{
    const auto [entry, isNew] = m_rows.try_emplace(team);
    row& it = entry->second;
    if (isNew) {
        it.held.updatedAt = now;
        it.demandAt = now;
        it.epoch = m_epochs[shardOf(team)];
    }
    decayDemand(it, now);
    it.demandPerSecond += 1 / toSeconds(m_settings.demandWindow);
    it.lastArrivalAt = now;
}

bool allowance_holder::take(const std::string& team, instant now)
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end())
        return false;
    dropIfVoid(found->second, now);
    return found->second.held.take(now);
}

void allowance_holder::putBack(const std::string& team, instant now)
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end())
        return;
    share& held = found->second.held;
    held.accrue(now);
    held.tokens = std::min(held.burst, held.tokens + 1);
}

void allowance_holder::setWanted(const std::string& team, unsigned waiting)
{
    const auto found = m_rows.find(team);
    if (found != m_rows.end())
        found->second.waiting = waiting;
}

void allowance_holder::adopt(const configuration& held, bool wasFresh, bool isMember, instant now)
{
    m_isMember = isMember;
    if (!isMember)
        m_rows.clear();
    for (const auto& [shard, home] : held.shardHomes())
        m_epochs[shard] = home.epoch;
    std::erase_if(m_rows, [&held](const auto& entry) { return !held.teams().count(entry.first); });
    for (auto& [team, it] : m_rows) {
        const config_version epoch = m_epochs[shardOf(team)];
        if (epoch == it.epoch)
            continue;
        it.epoch = epoch;
        it.reportedAt.reset();
        const instant voidAt = wasFresh ? now + m_settings.registrationGrace : now;
        it.voidAt = it.voidAt ? std::min(*it.voidAt, voidAt) : voidAt;
        dropIfVoid(it, now);
    }
}

bool allowance_holder::isReportDue(const row& it, instant now) const
{
    if (!it.reportedAt)
        return true;
    if (it.isAwaitingAnswer && now - *it.reportedAt < m_settings.answerTimeout)
        return false;
    const bool isShort = it.waiting > 0 && it.held.tokens < it.waiting;
    duration wait = m_settings.reportInterval;
    if (isShort)
        wait = std::max(m_settings.reportSpacing, it.askAgainAfter);
    else if (it.hasExcess)
        wait = m_settings.reportSpacing;
    return now - *it.reportedAt >= wait;
}

share_report allowance_holder::report(const std::string& team, row& it, bool returnAll, instant now)
{
    share& held = it.held;
    held.accrue(now);
    const double keepRate = returnAll ? 0 : std::min(held.ratePerSecond, it.targetRate);
    const double keepTokens = returnAll ? 0 : std::min(held.tokens, std::max<double>(it.waiting, it.targetTokens));
    // A holder without a rate keeps no more burst than it has tokens, since
    // nothing accrues to it.
    const double wantedBurst = keepRate > 0 ? std::max(it.targetBurst, keepTokens) : keepTokens;
    const double keepBurst = returnAll ? 0 : std::min(held.burst, wantedBurst);

    const double returnedTokens = held.tokens - keepTokens;
    held.ratePerSecond = keepRate;
    held.tokens = keepTokens;
    held.burst = keepBurst;
    it.reportedAt = now;
    it.isAwaitingAnswer = true;
    it.hasExcess = false;
    it.sequence = m_nextSequence++;
    return share_report { team, it.epoch, it.sequence, held.ratePerSecond, held.burst, returnedTokens, it.demandPerSecond,
        static_cast<double>(it.waiting), held.tokens, it.appliedSequence };
}

bool allowance_holder::isIdle(const row& it, instant now) const
{
    return it.waiting == 0 && now - it.lastArrivalAt >= m_settings.idleAfter;
}

std::vector<share_report> allowance_holder::dueReports(instant now)
{
    std::vector<share_report> reports;
    if (!m_isMember)
        return reports;
    for (auto& [team, it] : m_rows) {
        decayDemand(it, now);
        dropIfVoid(it, now);
        if (isReportDue(it, now))
            reports.push_back(report(team, it, isIdle(it, now), now));
    }
    return reports;
}

std::vector<share_report> allowance_holder::finalReports(instant now)
{
    std::vector<share_report> reports;
    for (auto& [team, it] : m_rows) {
        dropIfVoid(it, now);
        reports.push_back(report(team, it, true, now));
    }
    m_rows.clear();
    return reports;
}

void allowance_holder::applyGrant(const share_grant& it, instant now)
{
    const auto found = m_rows.find(it.team);
    if (found == m_rows.end() || found->second.sequence != it.sequence || found->second.epoch != it.epoch)
        return;
    row& mine = found->second;
    dropIfVoid(mine, now);
    mine.voidAt.reset();
    mine.held.accrue(now);
    mine.held.ratePerSecond += it.addedRate;
    mine.held.burst += it.addedBurst;
    mine.held.tokens = std::min(mine.held.burst, mine.held.tokens + it.addedTokens);
    mine.targetRate = it.targetRate;
    mine.targetBurst = it.targetBurst;
    mine.targetTokens = it.targetTokens;
    mine.hasExcess = mine.waiting == 0 && mine.held.tokens >= it.targetTokens + 1;
    mine.askAgainAfter = std::min<duration>(std::chrono::milliseconds(it.waitMs), longestWait);
    // A repeated answer must not be added twice.
    mine.appliedSequence = mine.sequence;
    mine.sequence = 0;
    mine.isAwaitingAnswer = false;
    // An idle row goes only now that its home has confirmed the return; a lost
    // report would leave the loan on the home's books for good.
    if (isIdle(mine, now) && mine.held.burst <= 0)
        m_rows.erase(found);
}

share allowance_holder::held(const std::string& team, instant now)
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end())
        return share {};
    dropIfVoid(found->second, now);
    found->second.held.accrue(now);
    return found->second.held;
}

} // namespace almondmoor
