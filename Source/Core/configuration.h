// The fleet's configuration: teams, keys, services, upstreams, routes and
// hosts as rows in tables, and the log of changes that builds them.
//
// Every host applies the same changes in the same order and so holds the same
// tables. A change that does not fit the tables is refused before it enters the
// log; applying a logged change is deterministic.

#pragma once

#include "Core/name_table.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace almondmoor {

using config_version = std::uint64_t;

struct team {
    std::string name;
    double ratePerSecond = 0;
    // Greatest number of requests that may be admitted at once, at least 1.
    double burst = 1;
    double weight = 1;
};

// A guest's key. Only the SHA-256 of the secret is ever stored or sent.
struct guest_key {
    std::string id;
    std::string team;
    std::string secretHash;
    bool withdrawn = false;
};

struct service {
    std::string name;
    // Part of the service's slots that ejection must leave in use, 0 to 1.
    double floor = 0.5;
};

enum class upstream_duty {
    Serving,
    Draining,
    Retired
};

inline constexpr name_table<upstream_duty, 3> upstreamDutyNames { {
    { upstream_duty::Serving, "serving" },
    { upstream_duty::Draining, "draining" },
    { upstream_duty::Retired, "retired" },
} };

struct upstream {
    // IP number and port; also the upstream's name.
    std::string address;
    std::string service;
    std::string dataCentre;
    // Requests that the upstream runs at the same time.
    unsigned slots = 4;
    // Connections that the upstream accepts from the whole fleet.
    unsigned connections = 400;
    upstream_duty duty = upstream_duty::Serving;
};

enum class route_access {
    Open,
    AnyTeam,
    ListedTeams
};

struct route {
    // Requests whose path equals the prefix or continues it after a slash match.
    std::string prefix;
    std::string service;
    route_access access = route_access::AnyTeam;
    std::vector<std::string> teams;
    // A repeatable route carries idempotent requests only.
    bool repeatable = false;
};

// One entry host of the fleet.
struct host {
    std::string name;
    // Grows with each start of the host's process; older ones no longer count.
    std::uint64_t incarnation = 0;
    std::string peerAddress;
    std::string dataCentre;
    bool draining = false;
};

// The host that keeps the allowance of the teams in one shard.
struct shard_home {
    std::string host;
    std::uint64_t incarnation = 0;
    // Version of the assignment; shares of an older epoch are void.
    config_version epoch = 0;
    // True if the previous home may have left shares with other hosts.
    bool inherited = false;
};

// One accepted change. The command is in its canonical form.
struct change {
    std::string id;
    config_version version = 0;
    std::string author;
    std::int64_t acceptedAtUnixMs = 0;
    std::string command;
};

inline constexpr unsigned shardCount = 64;

// Returns the shard that keeps a team's allowance.
unsigned shardOf(std::string_view team);

class configuration {
public:
    // Applies a change whose version follows the present one. On error nothing
    // has changed.
    absl::Status apply(const change&);

    // Returns whether a command could be applied now, without applying it.
    absl::Status check(const std::string& command) const;

    config_version version() const { return m_version; }
    const std::map<std::string, team>& teams() const { return m_teams; }
    const std::map<std::string, guest_key>& keys() const { return m_keys; }
    const std::map<std::string, service>& services() const { return m_services; }
    const std::map<std::string, upstream>& upstreams() const { return m_upstreams; }
    const std::map<std::string, route>& routes() const { return m_routes; }
    const std::map<std::string, host>& hosts() const { return m_hosts; }
    const std::map<unsigned, shard_home>& shardHomes() const { return m_shardHomes; }

    // Returns the live key with a secret's hash, or null.
    const guest_key* findKey(std::string_view secretHash) const;

    // Returns the route with the longest prefix that matches a path, or null.
    const route* findRoute(std::string_view path) const;

    // Returns the newest change that touched a thing ("team cooling"), or an
    // empty string. Operators who lost a race are told of it.
    std::string lastChangeOf(const std::string& thing) const;

    // Writes the whole state as the commands that rebuild it.
    std::vector<std::string> snapshotCommands() const;

    // Builds a configuration from snapshot commands at a version.
    static absl::StatusOr<configuration> fromSnapshot(config_version, const std::vector<std::string>& commands);

private:
    friend class configuration_editor;

    config_version m_version = 0;
    std::map<std::string, team> m_teams;
    std::map<std::string, guest_key> m_keys;
    // Invariant: holds exactly the keys that are not withdrawn, by secret hash.
    std::map<std::string, std::string, std::less<>> m_keyByHash;
    std::map<std::string, service> m_services;
    std::map<std::string, upstream> m_upstreams;
    std::map<std::string, route> m_routes;
    std::map<std::string, host> m_hosts;
    std::map<unsigned, shard_home> m_shardHomes;
    std::map<std::string, std::string> m_lastChange;
};

} // namespace almondmoor
