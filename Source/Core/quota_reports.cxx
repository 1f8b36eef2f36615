#include "Core/quota_reports.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Time for which reports repeat a team's totals after they changed, so that later reports make up for a lost one.
    constexpr duration repeatTime = std::chrono::seconds(2);

} // namespace

void quota_reports::addTo(neighbour_report& report, team_quota& quota, instant now)
{
    addAdmitted(report, quota, now);
    addMoved(report, quota, now);
}

void quota_reports::addAdmitted(neighbour_report& report, team_quota& quota, instant now)
{
    for (const auto& [team, count] : quota.takeAdmitted()) {
        admitted_row& it = m_admitted[team];
        if (now - it.changedAt > repeatTime)
            it.count.totalBeforeSeries = it.count.total;
        it.count.total += count;
        it.changedAt = now;
    }
    for (const auto& [team, it] : m_admitted) {
        if (now - it.changedAt <= repeatTime)
            report.admitted[team] = it.count;
    }
}

void quota_reports::addMoved(neighbour_report& report, team_quota& quota, instant now)
{
    for (const auto& [team, moved] : quota.takeMoved()) {
        moved_row& it = m_moved[team];
        if (now - it.changedAt > repeatTime) {
            it.total.lentBeforeSeries = it.total.lent;
            it.total.borrowedBeforeSeries = it.total.borrowed;
        }
        it.total.lent += moved.lent;
        it.total.borrowed += moved.borrowed;
        it.changedAt = now;
    }
    for (const auto& [team, it] : m_moved) {
        if (now - it.changedAt <= repeatTime)
            report.movedTokens[team] = it.total;
    }
}

void quota_reports::apply(const neighbour_report& report, bool countsFromFirst, team_quota& quota, instant now)
{
    neighbour_row& it = m_neighbours[report.host];
    const bool countsAll = it.incarnation != 0 || countsFromFirst;
    if (report.incarnation > it.incarnation)
        it = { report.incarnation, {}, {} };
    applyAdmitted(it, report, countsAll, quota, now);
    applyMoved(it, report, countsAll, quota, now);
}

void quota_reports::applyAdmitted(neighbour_row& neighbour, const neighbour_report& report, bool countsAll, team_quota& quota, instant now)
{
    for (const auto& [team, count] : report.admitted) {
        std::uint64_t& known = neighbour.admitted.try_emplace(team, countsAll ? count.totalBeforeSeries : count.total).first->second;
        if (count.total > known)
            quota.recordRemoteAdmissions(team, static_cast<double>(count.total - known), now);
        known = std::max(known, count.total);
    }
}

void quota_reports::applyMoved(neighbour_row& neighbour, const neighbour_report& report, bool countsAll, team_quota& quota, instant now)
{
    for (const auto& [team, total] : report.movedTokens) {
        const team_quota::moved_tokens unknownBefore { countsAll ? total.lentBeforeSeries : total.lent, countsAll ? total.borrowedBeforeSeries : total.borrowed };
        team_quota::moved_tokens& known = neighbour.moved.try_emplace(team, unknownBefore).first->second;
        if (total.lent > known.lent)
            quota.recordRemoteLending(team, total.lent - known.lent, now);
        if (total.borrowed > known.borrowed)
            quota.recordRemoteBorrowing(team, total.borrowed - known.borrowed, now);
        known = { std::max(known.lent, total.lent), std::max(known.borrowed, total.borrowed) };
    }
}

} // namespace almondmoor
