// Determines whether all changes of a store up to a version are known.
//
// A store has one version, which counts the changes of all its tables. So if the rows that were read from one table
// cover every version up to some version, no other table has changed until then.

#pragma once

#include <cstdint>
#include <iterator>
#include <set>
#include <vector>

namespace almondmoor {

class version_ledger {
public:
    // Records the versions of rows that were read.
    void recordVersions(const std::vector<std::uint64_t>& versions) { m_seenVersions.insert(versions.begin(), versions.end()); }

    // Returns whether every version up to the given one was recorded or marked as complete.
    bool isCompleteUpTo(std::uint64_t version) const
    {
        if (version <= m_completeVersion)
            return true;
        const auto begin = m_seenVersions.upper_bound(m_completeVersion);
        const auto end = m_seenVersions.upper_bound(version);
        return static_cast<std::uint64_t>(std::distance(begin, end)) == version - m_completeVersion;
    }

    // Records that the changes of all tables are known up to a version.
    void markCompleteUpTo(std::uint64_t version)
    {
        if (version > m_completeVersion)
            m_completeVersion = version;
        m_seenVersions.erase(m_seenVersions.begin(), m_seenVersions.upper_bound(m_completeVersion));
    }

private:
    std::uint64_t m_completeVersion = 0;
    // Versions after m_completeVersion; earlier ones may be recorded, but are removed by the next markCompleteUpTo().
    std::set<std::uint64_t> m_seenVersions;
};

} // namespace almondmoor
