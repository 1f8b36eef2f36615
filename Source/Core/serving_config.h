// The configuration of client traffic: routes, teams with their keys, services
// and the limits for clients, as one immutable value with a version.
//
// Sources of configuration build a value and publish it as a whole. A request
// keeps the value that it began with, so that it never mixes two versions.

#pragma once

#include "Core/core_time.h"
#include "Core/region_limit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almondmoor {

// A service that gets part of a route's requests.
struct split_part {
    std::string service;
    // Weight relative to the route's other parts, above zero.
    double weight = 1;
};

struct route_config {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    // An idempotent request may run more than once.
    bool isIdempotent = false;
    // Maximum time for which a client waits for the response.
    duration timeout {};
    // Latency up to which a response has its full value.
    duration targetLatency {};
    // Maximum number of upstreams to which one request may be sent.
    unsigned maxAttempts = 1;
    // Rank among requests that compete for capacity; 0 goes first.
    unsigned priority = 0;
    // Clients need no key.
    bool isPublic = false;
    // Regions in which the requests may be served.
    region_limit homes;
    // Invariant: never empty.
    std::vector<split_part> parts;
};

struct team_config {
    std::string name;
    // Requests per second over the whole fleet; zero means no limit.
    double ratePerSecond = 0;
    double burst = 0;
    // Overrides the priority of the route.
    std::optional<unsigned> priority;
    // Regions in which the team's requests may be served, in addition to the route's limit.
    region_limit homes;
};

struct service_config {
    std::string healthCheckPath;
    // Time for which an upstream is cold after its start; zero if upstreams never are.
    duration coldStart {};
    // Requests per second that one cold upstream bears from the whole fleet; zero means no
    // limit.
    double warmupPerSecond = 0;
};

struct client_limits {
    std::size_t maxHeadBytes = std::size_t { 16 } * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t { 64 } << 20;
    duration headTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

struct serving_config {
    std::uint64_t version = 0;
    // Routes of each host name, longest prefix first.
    std::map<std::string, std::vector<route_config>, std::less<>> routesByHost;
    std::map<std::string, team_config, std::less<>> teams;
    // Names of teams by their keys.
    std::map<std::string, std::string, std::less<>> teamByKey;
    std::map<std::string, service_config, std::less<>> services;
    client_limits limits;
    // What the source wrote that has no valid meaning and what it is taken for, for the log.
    std::vector<std::string> remarks;
    // Ranks of all routes and teams that have one.
    std::set<unsigned> priorities;

    // Inserts a route so that longer prefixes still come first.
    void addRoute(route_config);

    // Returns the route with the longest prefix of a path, or null.
    const route_config* findRoute(std::string_view host, std::string_view path) const;

    // Returns the rank of a request among those that compete for capacity; 0 goes first. The team may be null.
    static unsigned priorityOf(const route_config&, const team_config*);

    // Returns 1 for the most urgent rank of this configuration, 0 for the least urgent one, and values in between for the
    // ranks between them. Returns 1 if all have the same rank.
    double urgencyOf(unsigned priority) const;

    // Returns the team that owns a key, or null.
    const team_config* findTeam(std::string_view key) const;
};

// Chooses the service of a request by the weights of its route's parts. The
// caller passes a random number that is uniform in [0, 1).
const std::string& chooseService(const route_config&, double draw);

// Returns whether a path contains a segment '.' or '..', plain or percent-encoded.
// An upstream could resolve such a path to one outside the route's prefix.
bool hasDotSegment(std::string_view path);

} // namespace almondmoor
