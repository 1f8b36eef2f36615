// Rendezvous (highest random weight) hashing with a hash function that is the same on all hosts and in all releases.

#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>
#include <xxhash.h>

namespace almondmoor {

// Returns a 64-bit hash of a text that is stable across hosts and releases.
inline std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Returns the candidates ordered by the subject's preference. All hosts with the same candidates compute the
// same order. Removing a candidate reassigns only the subjects that were assigned to this candidate.
inline std::vector<std::string> rendezvousOrder(std::string_view subject, std::vector<std::string> candidates)
{
    const std::uint64_t seed = stableHash(subject);
    std::sort(candidates.begin(), candidates.end(), [seed](const auto& left, const auto& right) {
        const auto leftWeight = stableHash(left, seed);
        const auto rightWeight = stableHash(right, seed);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    return candidates;
}

} // namespace almondmoor
