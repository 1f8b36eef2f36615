// The operators' language: commands that change the configuration and queries
// that show it. The log stores changes in this language's canonical form.

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

// As typed by an operator it has no id and hash; the host that takes it fills
// them in before it enters the log.
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

struct join_host {
    host row;
};

struct leave_host {
    std::string name;
    std::uint64_t incarnation = 0;
};

// An operator's word that a host is gone for good. The host that takes it turns
// it into leave_host with the present incarnation.
struct remove_host {
    std::string name;
};

struct drain_host {
    std::string name;
};

// Names the home of some shards.
struct assign_shards {
    std::vector<unsigned> shards;
    std::string host;
    std::uint64_t incarnation = 0;
    bool inherited = true;
};

enum class comparison {
    Equal,
    NotEqual,
    Less,
    Greater
};

// Rows of one table, filtered, ordered and cut.
struct show_query {
    std::string table;
    std::string whereColumn;
    comparison whereIs = comparison::Equal;
    std::string whereValue;
    std::string orderColumn;
    std::optional<std::size_t> limit;
};

struct explain_query {
    std::string requestId;
};

struct status_query {
    std::string changeId;
};

using command = std::variant<create_team, change_team, remove_team, create_key, withdraw_key, create_service,
    create_upstream, set_upstream_duty, create_route, remove_route, join_host, leave_host, remove_host, drain_host, assign_shards,
    show_query, explain_query, status_query>;

// Parses one line. An error names the offending word, its position and what
// would be right there.
absl::StatusOr<command> parseCommand(std::string_view line);

// Writes a command so that parsing it gives the same command again.
std::string formatCommand(const command&);

// Returns whether a command only asks.
bool isQuery(const command&);

// Returns a command's text as operators see it, without the hash of a secret.
std::string withoutHash(const std::string& text);

// Returns the thing a change is about, such as "team cooling".
std::string subjectOf(const command&);

} // namespace almondmoor
