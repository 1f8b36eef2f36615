#include "Core/upstream_book.h"

#include <set>

namespace almondmoor {

bool upstream_book::state(const upstream_statement& statement)
{
    const std::string& id = statement.entry.id;
    const auto known = m_startedAt.find(id);
    if (known != m_startedAt.end() && statement.startedAtUnixMs < known->second)
        return false;
    m_startedAt[id] = statement.startedAtUnixMs;
    m_lapsed.erase(id);
    m_directory[id] = statement.entry;
    return true;
}

bool upstream_book::mayHaveLapsed(std::size_t count, instant now) const
{
    return now < m_lapsesUntil && count * 2 >= m_directory.size();
}

bool upstream_book::removeAll(const std::vector<std::string>& ids, instant now)
{
    const bool isLapse = mayHaveLapsed(ids.size(), now);
    bool hasChanged = false;
    for (const std::string& id : ids) {
        const auto found = m_directory.find(id);
        if (found == m_directory.end())
            continue;
        // One that was leaving has left.
        if (isLapse && !found->second.isLeaving) {
            m_lapsed.try_emplace(id, m_lapsesUntil);
            continue;
        }
        m_directory.erase(found);
        m_lapsed.erase(id);
        hasChanged = true;
    }
    return hasChanged;
}

bool upstream_book::keepOnly(const std::vector<std::string>& ids, instant now)
{
    const std::set<std::string> kept(ids.begin(), ids.end());
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_directory) {
        if (!kept.count(id))
            missing.push_back(id);
    }
    return removeAll(missing, now);
}

bool upstream_book::expire(instant now)
{
    bool hasChanged = false;
    for (auto it = m_lapsed.begin(); it != m_lapsed.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        hasChanged = m_directory.erase(it->first) > 0 || hasChanged;
        it = m_lapsed.erase(it);
    }
    return hasChanged;
}

} // namespace almondmoor
