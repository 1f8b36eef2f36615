// Determines whether all changes of a store up to a version are known.
//
// A store has one version, which counts the changes of all its tables. So if the rows that were read from one table
// cover every version up to some version, no other table has changed until then.

// Versions of different eras of the store are kept apart: with a later era the ledger begins anew.

#pragma once

#include "Core/store_position.h"

#include <cstdint>
#include <iterator>
#include <set>
#include <vector>

namespace almondmoor {

class version_ledger {
public:
    // Records the versions of rows that were read in an era.
    void recordVersions(std::uint64_t era, const std::vector<std::uint64_t>& versions)
    {
        if (era > m_era)
            begin(era);
        if (era == m_era)
            m_seenVersions.insert(versions.begin(), versions.end());
    }

    // Returns whether every version up to the given position was recorded or marked as complete.
    bool isCompleteUpTo(const store_position& it) const
    {
        if (it.era != m_era)
            return it.era < m_era;
        const std::uint64_t version = it.version;
        if (version <= m_completeVersion)
            return true;
        const auto begin = m_seenVersions.upper_bound(m_completeVersion);
        const auto end = m_seenVersions.upper_bound(version);
        return static_cast<std::uint64_t>(std::distance(begin, end)) == version - m_completeVersion;
    }

    // Records that the changes of all tables are known up to a position.
    void markCompleteUpTo(const store_position& it)
    {
        if (it.era > m_era)
            begin(it.era);
        if (it.era == m_era && it.version > m_completeVersion)
            m_completeVersion = it.version;
        m_seenVersions.erase(m_seenVersions.begin(), m_seenVersions.upper_bound(m_completeVersion));
    }

private:
    void begin(std::uint64_t era)
    {
        m_era = era;
        m_completeVersion = 0;
        m_seenVersions.clear();
    }

    std::uint64_t m_era = 0;
    std::uint64_t m_completeVersion = 0;
    // Versions after m_completeVersion; earlier ones may be recorded, but are removed by the next markCompleteUpTo().
    std::set<std::uint64_t> m_seenVersions;
};

} // namespace almondmoor
