// The bytes of reports between neighbours and of roster entries.

#pragma once

#include "Core/neighbour_report.h"

#include <optional>
#include <string>

namespace almondmoor {

// A host as the roster names it.
struct roster_entry {
    // IP-NUMBER:PORT at which the host takes reports.
    std::string address;
    std::string dataCentre;

    bool operator==(const roster_entry&) const = default;
};

// Hosts of the fleet by name.
using host_roster = std::map<std::string, roster_entry>;

std::string encodeReport(const neighbour_report&);

// Returns nothing for bytes that are no report.
std::optional<neighbour_report> decodeReport(const std::string& bytes);

std::string encodeRosterEntry(const roster_entry&);

// Returns nothing for bytes that are no entry.
std::optional<roster_entry> decodeRosterEntry(const std::string& bytes);

} // namespace almondmoor
