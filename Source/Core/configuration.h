// The fleet's configuration: tables of teams, keys, services, upstreams, routes and hosts, and the log of changes that
// builds them.
//
// Every host applies the same changes in the same order and therefore holds the same tables. A change that conflicts with
// the tables is refused before it enters the log. Applying a logged change is deterministic.

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
    // Maximum number of requests that may be admitted at once, at least 1.
    double burst = 1;
    double weight = 1;
};

// A client's API key. Only the SHA-256 of the secret is stored or sent.
struct client_key {
    std::string id;
    std::string team;
    std::string secretHash;
    bool withdrawn = false;
};

struct service {
    std::string name;
    // Fraction of the service's slots that ejection must leave in use, 0 to 1.
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
    // IP address and port. It is also the upstream's name.
    std::string address;
    std::string service;
    std::string dataCentre;
    // Number of requests that the upstream processes at the same time.
    unsigned slots = 4;
    // Number of connections that the upstream accepts from the whole fleet.
    unsigned connections = 400;
    upstream_duty duty = upstream_duty::Serving;
};

enum class route_access {
    Open,
    AnyTeam,
    ListedTeams
};

struct route {
    // A request matches if its path equals the prefix or continues it after a slash.
    std::string prefix;
    std::string service;
    route_access access = route_access::AnyTeam;
    std::vector<std::string> teams;
    // True if all requests of the route are idempotent, so that they may be retried.
    bool idempotent = false;
};

// One proxy host of the fleet.
struct host {
    std::string name;
    // Increases with each start of the host's process. Data of older incarnations is ignored.
    std::uint64_t incarnation = 0;
    std::string peerAddress;
    std::string dataCentre;
    bool draining = false;
};

// The home of one shard: the host that owns the allowances of its teams.
struct shard_home {
    std::string host;
    std::uint64_t incarnation = 0;
    // Version of the configuration that assigned the home. Shares of an older epoch are invalid.
    config_version epoch = 0;
    // True if other hosts may still hold shares that the previous home granted.
    bool inherited = false;
};

// One entry of the change log. The command is in its canonical form.
struct change {
    std::string id;
    config_version version = 0;
    std::string author;
    std::int64_t acceptedAtUnixMs = 0;
    std::string command;
};

inline constexpr unsigned shardCount = 64;

// Returns the shard of a team's allowance.
unsigned shardOf(std::string_view team);

class configuration {
public:
    // Applies a change, whose version must be the current one plus 1. On error the configuration is unchanged.
    absl::Status apply(const change&);

    // Returns OK if a command could be applied now, or the error. Changes nothing.
    absl::Status check(const std::string& command) const;

    config_version version() const { return m_version; }
    const std::map<std::string, team>& teams() const { return m_teams; }
    const std::map<std::string, client_key>& keys() const { return m_keys; }
    const std::map<std::string, service>& services() const { return m_services; }
    const std::map<std::string, upstream>& upstreams() const { return m_upstreams; }
    const std::map<std::string, route>& routes() const { return m_routes; }
    const std::map<std::string, host>& hosts() const { return m_hosts; }
    const std::map<unsigned, shard_home>& shardHomes() const { return m_shardHomes; }

    // Returns the key with this secret hash, or null if there is none or it was withdrawn.
    const client_key* findKey(std::string_view secretHash) const;

    // Returns the route with the longest prefix that matches a path, or null.
    const route* findRoute(std::string_view path) const;

    // Describes the latest change to a subject such as "team cooling", or returns an empty string. It is shown to an
    // operator whose command conflicted with that change.
    std::string lastChangeOf(const std::string& subject) const;

    // Returns commands that rebuild the whole configuration.
    std::vector<std::string> snapshotCommands() const;

    // Rebuilds the configuration of a version from its snapshot commands.
    static absl::StatusOr<configuration> fromSnapshot(config_version, const std::vector<std::string>& commands);

private:
    friend class configuration_editor;

    config_version m_version = 0;
    std::map<std::string, team> m_teams;
    std::map<std::string, client_key> m_keys;
    // Maps secret hash to key id. Invariant: contains exactly the keys that are not withdrawn.
    std::map<std::string, std::string, std::less<>> m_keyByHash;
    std::map<std::string, service> m_services;
    std::map<std::string, upstream> m_upstreams;
    std::map<std::string, route> m_routes;
    std::map<std::string, host> m_hosts;
    std::map<unsigned, shard_home> m_shardHomes;
    std::map<std::string, std::string> m_lastChange;
};

} // namespace almondmoor
