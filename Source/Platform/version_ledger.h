// Tells whether all changes of a store up to a version are known.
//
// A store counts its changes by one version, over all tables. Who follows one
// table and sees every version among its rows knows that no other table changed.

#pragma once

#include <cstdint>
#include <iterator>
#include <set>
#include <vector>

namespace almondmoor {

class version_ledger {
public:
    // Takes in the versions of rows that were read.
    void note(const std::vector<std::uint64_t>& versions) { m_seen.insert(versions.begin(), versions.end()); }

    // Returns whether each version up to the given one was seen or settled.
    bool accountsFor(std::uint64_t version) const
    {
        if (version <= m_settled)
            return true;
        const auto begin = m_seen.upper_bound(m_settled);
        const auto end = m_seen.upper_bound(version);
        return static_cast<std::uint64_t>(std::distance(begin, end)) == version - m_settled;
    }

    // Notes that all tables are known up to a version.
    void settle(std::uint64_t version)
    {
        if (version > m_settled)
            m_settled = version;
        m_seen.erase(m_seen.begin(), m_seen.upper_bound(m_settled));
    }

private:
    std::uint64_t m_settled = 0;
    // Invariant: holds no version up to the settled one for longer than a call.
    std::set<std::uint64_t> m_seen;
};

} // namespace almondmoor
