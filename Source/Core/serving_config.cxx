// Implements the lookups in a serving configuration and the check of request paths.

#include "Core/serving_config.h"

#include <absl/strings/match.h>
#include <algorithm>

namespace almondmoor {

namespace {

    // Removes a dot, plain or percent-encoded, from the front of a text. Returns
    // whether there was one.
    bool skipDot(std::string_view& text)
    {
        constexpr std::string_view encodedDot = "%2e";
        if (!text.empty() && text.front() == '.') {
            text.remove_prefix(1);
            return true;
        }
        const std::string_view start = text.substr(0, encodedDot.size());
        if (!absl::EqualsIgnoreCase(absl::string_view(start.data(), start.size()), "%2e"))
            return false;
        text.remove_prefix(encodedDot.size());
        return true;
    }

    bool isSlashOrEnd(std::string_view text)
    {
        if (text.empty() || text.front() == '/' || text.front() == '\\')
            return true;
        const std::string_view start = text.substr(0, 3);
        const absl::string_view encoded(start.data(), start.size());
        return absl::EqualsIgnoreCase(encoded, "%2f") || absl::EqualsIgnoreCase(encoded, "%5c");
    }

    bool isDotSegmentAt(std::string_view rest)
    {
        if (!skipDot(rest))
            return false;
        skipDot(rest);
        return isSlashOrEnd(rest);
    }

    // Returns the length of the slash or backslash, plain or percent-encoded, that a
    // text begins with, or zero.
    std::size_t slashLength(std::string_view text)
    {
        if (text.empty() || !isSlashOrEnd(text))
            return 0;
        return text.front() == '%' ? 3 : 1;
    }

} // namespace

void serving_config::addRoute(route_config added)
{
    priorities.insert(added.priority);
    auto& routes = routesByHost[added.host];
    const auto position = std::find_if(routes.begin(), routes.end(), [&added](const route_config& other) { return other.prefix.size() < added.prefix.size(); });
    routes.insert(position, std::move(added));
}

const route_config* serving_config::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = routesByHost.find(host);
    if (found == routesByHost.end())
        return nullptr;
    const auto& routes = found->second;
    const auto match = std::find_if(routes.begin(), routes.end(), [path](const route_config& it) { return path.substr(0, it.prefix.size()) == it.prefix; });
    return match == routes.end() ? nullptr : &*match;
}

double serving_config::urgencyOf(unsigned priority) const
{
    if (priorities.size() < 2)
        return 1;
    const double leastUrgent = *priorities.rbegin();
    const double mostUrgent = *priorities.begin();
    return std::clamp((leastUrgent - priority) / (leastUrgent - mostUrgent), 0.0, 1.0);
}

unsigned serving_config::priorityOf(const route_config& route, const team_config* team)
{
    return team && team->priority ? *team->priority : route.priority;
}

const team_config* serving_config::findTeam(std::string_view key) const
{
    const auto name = teamByKey.find(key);
    if (name == teamByKey.end())
        return nullptr;
    const auto found = teams.find(name->second);
    return found == teams.end() ? nullptr : &found->second;
}

const std::string& chooseService(const route_config& route, double draw)
{
    double total = 0;
    for (const split_part& part : route.parts)
        total += part.weight;
    double left = draw * total;
    for (const split_part& part : route.parts) {
        left -= part.weight;
        if (left < 0)
            return part.service;
    }
    return route.parts.back().service;
}

bool hasDotSegment(std::string_view path)
{
    path = path.substr(0, path.find('?'));
    for (std::size_t index = 0; index < path.size(); ++index) {
        const std::size_t slash = slashLength(path.substr(index));
        if (slash > 0 && isDotSegmentAt(path.substr(index + slash)))
            return true;
    }
    return false;
}

} // namespace almondmoor
