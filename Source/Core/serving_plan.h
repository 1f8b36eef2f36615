// What hosts serve: routes, teams with their keys, services and the limits for
// guests, as one immutable value with a version.
//
// Sources of configuration build a plan and publish it whole. Requests hold the
// plan they began with, so that one request never mixes two versions.

#pragma once

#include "Core/core_time.h"

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
    // Part of the requests relative to the other parts, above zero.
    double weight = 1;
};

struct plan_route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    // Idempotent requests may run more than once.
    bool isRepeatable = false;
    // Longest time that a guest is kept waiting.
    duration timeout {};
    // Time within which an answer has its full worth.
    duration targetLatency {};
    // Upstreams to which one request may be sent.
    unsigned mostAttempts = 1;
    // Rank among requests that compete for room; 0 goes first.
    unsigned priority = 0;
    // Served without a key.
    bool isOpen = false;
    // Invariant: never empty.
    std::vector<split_part> parts;
};

struct plan_team {
    std::string name;
    // Requests per second over the whole fleet; zero means without limit.
    double ratePerSecond = 0;
    double burst = 0;
    // Goes before the priority of the route.
    std::optional<unsigned> priority;
};

struct guest_limits {
    std::size_t largestHead = std::size_t { 16 } * 1024;
    std::uint64_t largestBody = std::uint64_t { 64 } << 20;
    duration headTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

struct serving_plan {
    std::uint64_t version = 0;
    // Routes of each host name, longest prefix first.
    std::map<std::string, std::vector<plan_route>, std::less<>> routesByHost;
    std::map<std::string, plan_team, std::less<>> teams;
    // Names of teams by their keys.
    std::map<std::string, std::string, std::less<>> teamByKey;
    // Paths of the services' health checks, by service.
    std::map<std::string, std::string, std::less<>> healthPaths;
    guest_limits limits;

    // Adds a route and keeps the order of prefixes.
    void addRoute(plan_route);

    // Returns the route with the longest prefix that begins a path, or null.
    const plan_route* findRoute(std::string_view host, std::string_view path) const;

    // Returns the team that holds a key, or null.
    const plan_team* findTeam(std::string_view key) const;
};

// Chooses the service of a request by the weights of its route's parts. The
// draw is uniform in [0, 1).
const std::string& choosePart(const plan_route&, double draw);

// Returns whether a path holds a segment '.' or '..', plain or percent-encoded,
// which an upstream could resolve out of the route's prefix.
bool hasDotSegment(std::string_view path);

} // namespace almondmoor
