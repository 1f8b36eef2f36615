// Which regions the routes and teams of a serving configuration allow, and which of them
// hold for one request.

#pragma once

#include "Core/region_limit.h"
#include "Core/serving_config.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace almondmoor {

// What identifies the route and the team of a request in another configuration than the one
// that it began with.
struct request_identity {
    std::string_view routeName;
    std::string_view host;
    std::string_view path;
    // Empty if the request has no team.
    std::string_view team;
};

// Returns the regions that a route and a team allow. The team may be null.
region_limit homesOf(const route_config&, const team_config*);

// Returns the regions that a configuration allows for a request that began with another one:
// those that are allowed by the route of the same name, by the route that its path leads to
// now, and by its team. What the configuration no longer holds limits nothing.
region_limit homesIn(const serving_config&, const request_identity&);

// Returns the regions that routes and teams are bound to and that are not among the known ones.
std::set<std::string> unknownRegions(const serving_config&, const std::set<std::string>& known);

// Returns the regions that a limit allows, for a log line or a reply.
std::string describe(const region_limit&);

// Returns, for each service that routes lead to, the regions in which any request to it may
// be served: the union over the routes and the teams that may use them. Services that are
// limited by no route and no team are left out.
std::map<std::string, region_limit> homesOfServices(const serving_config&);

} // namespace almondmoor
