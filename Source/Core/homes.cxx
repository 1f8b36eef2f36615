// Implements the limits that the routes and teams of a serving configuration put on requests.

#include "Core/homes.h"

#include <absl/strings/str_join.h>
#include <algorithm>
#include <iterator>

namespace almondmoor {

namespace {

    const team_config* teamNamed(const serving_config& config, std::string_view name)
    {
        const auto found = config.teams.find(name);
        return found == config.teams.end() ? nullptr : &found->second;
    }

    // Returns the regions in which any request of a route may be served.
    region_limit homesOfAnyTeam(const serving_config& config, const route_config& route)
    {
        if (route.isPublic || config.teams.empty())
            return route.homes;
        region_limit allowed { std::set<std::string> {} };
        for (const auto& [name, team] : config.teams) {
            allowed = allowed.widenedBy(homesOf(route, &team));
            if (!allowed.isLimited())
                break;
        }
        return allowed;
    }

} // namespace

region_limit homesOf(const route_config& route, const team_config* team)
{
    return team ? route.homes.combinedWith(team->homes) : route.homes;
}

region_limit homesIn(const serving_config& config, const request_identity& request)
{
    region_limit homes;
    if (const route_config* byPath = config.findRoute(request.host, request.path))
        homes = homes.combinedWith(byPath->homes);
    for (const auto& [host, routes] : config.routesByHost) {
        for (const route_config& route : routes) {
            if (route.name == request.routeName)
                homes = homes.combinedWith(route.homes);
        }
    }
    if (const team_config* team = teamNamed(config, request.team))
        homes = homes.combinedWith(team->homes);
    return homes;
}

std::set<std::string> unknownRegions(const serving_config& config, const std::set<std::string>& known)
{
    std::set<std::string> unknown;
    const auto addFrom = [&](const region_limit& homes) {
        if (homes.isLimited())
            std::set_difference(homes.regions()->begin(), homes.regions()->end(), known.begin(), known.end(), std::inserter(unknown, unknown.end()));
    };
    for (const auto& [host, routes] : config.routesByHost)
        std::for_each(routes.begin(), routes.end(), [&](const route_config& it) { addFrom(it.homes); });
    for (const auto& [name, team] : config.teams)
        addFrom(team.homes);
    return unknown;
}

std::string describe(const region_limit& homes)
{
    if (!homes.isLimited())
        return "all";
    return homes.regions()->empty() ? "none" : absl::StrJoin(*homes.regions(), ",");
}

std::map<std::string, region_limit> homesOfServices(const serving_config& config)
{
    std::map<std::string, region_limit> homes;
    for (const auto& [host, routes] : config.routesByHost) {
        for (const route_config& route : routes) {
            const region_limit allowed = homesOfAnyTeam(config, route);
            for (const split_part& part : route.parts) {
                const auto [place, isNew] = homes.try_emplace(part.service, allowed);
                if (!isNew)
                    place->second = place->second.widenedBy(allowed);
            }
        }
    }
    std::erase_if(homes, [](const auto& item) { return !item.second.isLimited(); });
    return homes;
}

} // namespace almondmoor
