#include "Core/team_quota.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Part of the tolerated excess that widens buckets; the rest covers
    // admissions that neighbours have not heard of yet.
    constexpr double usedSlack = 0.5;

} // namespace

double team_quota::part() const
{
    return static_cast<double>(m_heard) / m_known / m_settings.dataCentres;
}

double team_quota::depthOf(const row& it) const
{
    return std::max(1.0, (it.burst + usedSlack * m_settings.slack) * part());
}

void team_quota::adopt(const serving_plan& plan, instant now)
{
    std::erase_if(m_rows, [&plan](const auto& it) { return !plan.teams.count(it.first); });
    for (const auto& [name, team] : plan.teams) {
        const auto [entry, isNew] = m_rows.try_emplace(name);
        row& it = entry->second;
        if (!isNew)
            fill(it, now);
        it.ratePerSecond = team.ratePerSecond;
        it.burst = team.burst;
        if (isNew) {
            it.filledAt = now;
            it.level = depthOf(it) * m_settings.firstFill;
        }
        it.level = std::min(it.level, depthOf(it));
    }
}

void team_quota::setNeighbours(unsigned known, unsigned heard)
{
    m_known = std::max(1U, known);
    m_heard = std::clamp(heard, 1U, m_known);
}

void team_quota::fill(row& it, instant now) const
{
    if (now <= it.filledAt)
        return;
    it.level = std::min(depthOf(it), it.level + toSeconds(now - it.filledAt) * it.ratePerSecond * part());
    it.filledAt = now;
}

bool team_quota::take(const std::string& team, instant now)
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end() || found->second.ratePerSecond <= 0)
        return true;
    row& it = found->second;
    fill(it, now);
    if (it.level < 1)
        return false;
    it.level -= 1;
    ++it.admitted;
    return true;
}

void team_quota::putBack(const std::string& team)
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end() || found->second.ratePerSecond <= 0)
        return;
    row& it = found->second;
    it.level = std::min(depthOf(it), it.level + 1);
    // What was told to the neighbours stays told.
    if (it.admitted > 0)
        --it.admitted;
}

void team_quota::noteRemote(const std::string& team, double count, instant now)
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end())
        return;
    row& it = found->second;
    fill(it, now);
    // A debt beyond one bucket would outlast its cause.
    it.level = std::max(-depthOf(it), it.level - count);
}

bool team_quota::isScarce(const std::string& team) const
{
    const auto found = m_rows.find(team);
    return found != m_rows.end() && found->second.ratePerSecond > 0 && found->second.level < depthOf(found->second) / 2;
}

duration team_quota::nextTokenIn(const std::string& team, instant) const
{
    const auto found = m_rows.find(team);
    if (found == m_rows.end() || found->second.ratePerSecond <= 0)
        return duration::zero();
    const row& it = found->second;
    return fromSeconds(std::max(0.0, 1 - it.level) / (it.ratePerSecond * part()));
}

std::map<std::string, unsigned> team_quota::takeAdmitted()
{
    std::map<std::string, unsigned> counts;
    for (auto& [name, it] : m_rows) {
        if (it.admitted > 0)
            counts[name] = it.admitted;
        it.admitted = 0;
    }
    return counts;
}

} // namespace almondmoor
