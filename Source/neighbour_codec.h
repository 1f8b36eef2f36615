// The bytes of datagrams between hosts and of roster entries.

#pragma once

#include "Core/neighbour_report.h"
#include "Platform/table_store.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace almondmoor {

// What a host has read of a table, for its neighbours.
struct table_reading {
    followed_table table = followed_table::ServingConfig;
    table_update update;
};

using neighbour_datagram = std::variant<neighbour_report, table_reading>;

// A host as the roster names it.
struct roster_entry {
    // IP-NUMBER:PORT at which the host takes reports.
    std::string address;
    std::string dataCentre;

    bool operator==(const roster_entry&) const = default;
};

// Hosts of the fleet by name.
using host_roster = std::map<std::string, roster_entry>;

// The age of a report's confirmation is counted at this instant.
std::string encodeReport(const neighbour_report&, instant now);

std::string encodeReading(const table_reading&);

// Returns nothing for bytes that are no datagram of a host.
std::optional<neighbour_datagram> decodeDatagram(std::string_view bytes, instant now);

std::string encodeRosterEntry(const roster_entry&);

// Returns nothing for bytes that are no entry.
std::optional<roster_entry> decodeRosterEntry(const std::string& bytes);

} // namespace almondmoor
