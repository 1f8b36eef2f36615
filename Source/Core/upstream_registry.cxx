// Implements upstream_registry: which entries stay in the directory when rows
// arrive, are removed or expire.

#include "Core/upstream_registry.h"

#include <set>

namespace almondmoor {

bool upstream_registry::apply(const upstream_record& record)
{
    const std::string& id = record.entry.id;
    const auto known = m_startedAtUnixMs.find(id);
    if (known != m_startedAtUnixMs.end() && record.entry.startedAtUnixMs < known->second)
        return false;
    m_startedAtUnixMs[id] = record.entry.startedAtUnixMs;
    m_expiring.erase(id);
    m_withheld.erase(id);
    m_left.erase(id);
    m_directory[id] = record.entry;
    return true;
}

bool upstream_registry::isLeavingOrLeft(const upstream_record& record) const
{
    const auto left = m_left.find(record.entry.id);
    if (left != m_left.end())
        return left->second.startedAtUnixMs == record.entry.startedAtUnixMs;
    const auto known = m_directory.find(record.entry.id);
    return known != m_directory.end() && known->second.isLeaving && known->second.startedAtUnixMs == record.entry.startedAtUnixMs;
}

bool upstream_registry::applyFromCopy(const upstream_record& record, instant now)
{
    if (!isLeavingOrLeft(record))
        return apply(record);
    m_withheld[record.entry.id] = { record, now + m_settings.staleRowTtl };
    return false;
}

void upstream_registry::erase(const std::string& id, instant now)
{
    m_left[id] = { m_startedAtUnixMs[id], now };
    m_directory.erase(id);
    m_expiring.erase(id);
}

bool upstream_registry::canHaveExpired(std::size_t count, instant now) const
{
    return now < m_gracePeriodUntil && count * 2 >= m_directory.size();
}

bool upstream_registry::removeAll(const std::vector<std::string>& ids, instant now)
{
    const bool hasGracePeriod = canHaveExpired(ids.size(), now);
    bool hasChanged = false;
    for (const std::string& id : ids) {
        m_withheld.erase(id);
        const auto found = m_directory.find(id);
        if (found == m_directory.end())
            continue;
        // An upstream that was leaving has left; its row did not expire.
        if (hasGracePeriod && !found->second.isLeaving) {
            m_expiring.try_emplace(id, m_gracePeriodUntil);
            continue;
        }
        erase(id, now);
        hasChanged = true;
    }
    return hasChanged;
}

std::vector<std::string> upstream_registry::missingFrom(const std::vector<std::string>& ids) const
{
    const std::set<std::string> kept(ids.begin(), ids.end());
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_directory) {
        if (!kept.count(id))
            missing.push_back(id);
    }
    return missing;
}

bool upstream_registry::keepOnly(const std::vector<std::string>& ids, instant now)
{
    return removeAll(missingFrom(ids), now);
}

bool upstream_registry::keepOnlyFromCopy(const std::vector<std::string>& ids, instant now)
{
    bool hasChanged = false;
    for (const std::string& id : missingFrom(ids)) {
        // An upstream that was leaving writes no row again.
        if (m_directory[id].isLeaving) {
            erase(id, now);
            hasChanged = true;
        } else {
            m_expiring.try_emplace(id, now + m_settings.removalGracePeriod);
        }
    }
    return hasChanged;
}

bool upstream_registry::expire(instant now)
{
    bool hasChanged = false;
    for (auto it = m_expiring.begin(); it != m_expiring.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        const std::string id = it->first;
        ++it;
        hasChanged = m_directory.count(id) > 0 || hasChanged;
        erase(id, now);
    }
    hasChanged = applyWithheld(now) || hasChanged;
    std::erase_if(m_left, [&](const auto& item) { return now - item.second.at > m_settings.leftTtl; });
    return hasChanged;
}

bool upstream_registry::applyWithheld(instant now)
{
    std::vector<upstream_record> standing;
    for (const auto& [id, it] : m_withheld) {
        if (now >= it.until)
            standing.push_back(it.record);
    }
    for (const upstream_record& record : standing)
        apply(record);
    return !standing.empty();
}

} // namespace almondmoor
