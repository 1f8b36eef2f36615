// The upstreams as service discovery describes them, and the distances between data centres.

#pragma once

#include "Core/core_time.h"
#include "Core/name_table.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondmoor {

// Distance of an upstream from this host.
enum class distance_tier {
    SameDataCentre,
    SameRegion,
    OtherRegion
};

inline constexpr name_table<distance_tier, 3> distanceTierNames { {
    { distance_tier::SameDataCentre, "near" },
    { distance_tier::SameRegion, "region" },
    { distance_tier::OtherRegion, "far" },
} };

// An upstream as service discovery describes it.
struct directory_entry {
    // Identifies one run of the upstream's process; a restart gets a new id.
    std::string id;
    std::string address;
    std::string service;
    std::string dataCentre;
    // Requests that the upstream processes at once.
    unsigned slots = 1;
    // The upstream is shutting down and gets no new requests.
    bool isLeaving = false;
    // The upstream has just started and is slow until this instant.
    instant coldUntil = distantPast;
    // Start of the upstream's process in milliseconds of Unix time; identifies the
    // incarnation if a restarted upstream keeps its id.
    std::int64_t startedAtUnixMs = 0;
    // Version of the upstream's row; 0 if unknown. A row that is read again keeps its version.
    std::uint64_t rowVersion = 0;
};

// Entries by id.
using upstream_directory = std::map<std::string, directory_entry>;

// Regions by data centre.
using region_map = std::map<std::string, std::string>;

// Returns whether two data centres are known to lie in the same region.
inline bool isSameRegion(const region_map& regions, const std::string& dataCentre, const std::string& other)
{
    const auto first = regions.find(dataCentre);
    const auto second = regions.find(other);
    return first != regions.end() && second != regions.end() && first->second == second->second;
}

} // namespace almondmoor
