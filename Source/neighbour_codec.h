// Encodes and decodes the datagrams between hosts and the entries of the membership table.

#pragma once

#include "Core/neighbour_report.h"
#include "Core/token_lending.h"
#include "Platform/table_store.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace almondmoor {

// Changes that a host read from a table of the store and relays to its neighbours, or a whole table that a host asked
// for.
struct table_reading {
    followed_table table = followed_table::ServingConfig;
    table_update update;
    // Whether the receiver should relay the reading to its neighbours, because the sender is in another data centre.
    bool isForDataCentre = false;
};

// Asks a host for a whole table, which it sends to the address of the form IP-NUMBER:PORT.
struct table_request {
    followed_table table = followed_table::ServingConfig;
    std::string address;
    // Position in the store up to which the asking host knows the table; its version is zero if it lacks the table. Only a
    // table that changed later is sent.
    store_position known;
};

// A request for tokens, and the address of the form IP-NUMBER:PORT that gets the grant.
struct addressed_token_request {
    token_request request;
    std::string address;
};

using neighbour_datagram = std::variant<neighbour_report, table_reading, table_request, addressed_token_request, token_grant>;

// A host's entry in the membership table.
struct membership_entry {
    // IP-NUMBER:PORT at which the host receives reports.
    std::string address;
    std::string dataCentre;

    bool operator==(const membership_entry&) const = default;
};

// The hosts of the fleet by name.
using fleet_membership = std::map<std::string, membership_entry>;

// The times in a report are encoded as ages at the instant now.
std::string encodeReport(const neighbour_report&, instant now);

std::string encodeReading(const table_reading&);
std::string encodeRequest(const table_request&);
std::string encodeTokenRequest(const addressed_token_request&);
std::string encodeGrant(const token_grant&);

// Returns nullopt if the bytes are not a valid datagram. The instant now is the time of
// receipt, from which ages are subtracted.
std::optional<neighbour_datagram> decodeDatagram(std::string_view bytes, instant now);

std::string encodeMembershipEntry(const membership_entry&);

// Returns nullopt if the bytes are not a valid entry.
std::optional<membership_entry> decodeMembershipEntry(const std::string& bytes);

} // namespace almondmoor
