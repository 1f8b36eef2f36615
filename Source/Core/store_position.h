// A position in the platform's store: how far its changes are known.
//
// The store counts its changes with a version. It may come back from an older copy: then the versions that the copy lacks
// are given out again to other changes, and the store's era, which it tells in all its answers, is higher. So versions of
// different eras say nothing about each other, and a position is compared by its era first.

#pragma once

#include <cstdint>
#include <tuple>

namespace almondmoor {

struct store_position {
    // Zero if the store, or the host that told the position, does not tell its era.
    std::uint64_t era = 0;
    std::uint64_t version = 0;

    bool operator==(const store_position&) const = default;
    bool operator<(const store_position& other) const { return std::tie(era, version) < std::tie(other.era, other.version); }
    bool operator>(const store_position& other) const { return other < *this; }
    bool operator<=(const store_position& other) const { return !(other < *this); }
    bool operator>=(const store_position& other) const { return !(*this < other); }
};

// Returns a position that was told without an era as one of a known era.
constexpr store_position withEra(const store_position& it, std::uint64_t knownEra)
{
    return it.era == 0 ? store_position { knownEra, it.version } : it;
}

} // namespace almondmoor
