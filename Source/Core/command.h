// The operators' language: commands that change the configuration, and queries that show the configuration and the
// state of the host that runs them. The change log stores each change in the canonical form of this language.

#pragma once

#include "Core/configuration.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondmoor {

struct create_team {
    team row;
};

struct change_team {
    std::string name;
    std::optional<double> ratePerSecond;
    std::optional<double> burst;
    std::optional<double> weight;
};

struct remove_team {
    std::string name;
};

// An operator's command has no hash and may have no id. The host that receives the command fills both in before it
// writes the command to the change log.
struct create_key {
    client_key row;
};

struct withdraw_key {
    std::string id;
};

struct create_service {
    service row;
};

struct create_upstream {
    upstream row;
};

// The commands 'drain upstream', 'retire upstream' and 'restore upstream'.
struct set_upstream_duty {
    std::string address;
    upstream_duty duty = upstream_duty::Serving;
};

struct create_route {
    route row;
};

struct remove_route {
    std::string prefix;
};

// Adds a host to the membership. Only hosts send this command, for themselves.
struct join_host {
    host row;
};

// Removes one incarnation of a host from the membership.
struct leave_host {
    std::string name;
    std::uint64_t incarnation = 0;
};

// Permanently removes a host that an operator states to be lost. The host that receives the command replaces it by
// leave_host with the current incarnation.
struct remove_host {
    std::string name;
};

struct drain_host {
    std::string name;
};

// Assigns a home to some shards.
struct assign_shards {
    std::vector<unsigned> shards;
    std::string host;
    std::uint64_t incarnation = 0;
    // True if other hosts may still hold shares that a previous home granted. False is written as 'unused'.
    bool inherited = true;
};

enum class comparison {
    Equal,
    NotEqual,
    Less,
    Greater
};

// Asks for the rows of one table. The query can filter the rows, sort them and limit their number.
struct show_query {
    std::string table;
    // Empty if the query has no filter.
    std::string whereColumn;
    comparison whereComparison = comparison::Equal;
    std::string whereValue;
    // Empty if the query does not sort.
    std::string orderColumn;
    std::optional<std::size_t> limit;
};

// Asks for the attempts and the outcome of one request.
struct explain_query {
    std::string requestId;
};

// Asks whether a change is committed, and which hosts hold it.
struct status_query {
    std::string changeId;
};

using command = std::variant<create_team, change_team, remove_team, create_key, withdraw_key, create_service,
    create_upstream, set_upstream_duty, create_route, remove_route, join_host, leave_host, remove_host, drain_host, assign_shards,
    show_query, explain_query, status_query>;

// Parses one line. An error states the offending word, its position counted from 1, and what the parser expected there.
absl::StatusOr<command> parseCommand(std::string_view line);

// Returns a command's canonical text. Parsing the text of a change gives the same command again. The text of a
// show_query omits its filter, order and limit.
std::string formatCommand(const command&);

// Returns whether a command only reads.
bool isQuery(const command&);

// Returns a command's text without the hash of a key's secret. Operators are shown this text.
std::string withoutHash(const std::string& text);

// Returns the entity that a command changes, such as "team cooling", or what a query asks for.
std::string subjectOf(const command&);

} // namespace almondmoor
