#include "request_admission.h"

#include "Core/homes.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace almondmoor {

unsigned currentPriority(const serving_config& current, const route_config& route, const std::string& team)
{
    const auto foundTeam = current.teams.find(team);
    const team_config* currentTeam = foundTeam == current.teams.end() ? nullptr : &foundTeam->second;
    const auto routes = current.routesByHost.find(route.host);
    if (routes == current.routesByHost.end())
        return serving_config::priorityOf(route, currentTeam);
    const auto isSame = [&route](const route_config& it) { return it.prefix == route.prefix; };
    const auto found = std::find_if(routes->second.begin(), routes->second.end(), isSame);
    return serving_config::priorityOf(found == routes->second.end() ? route : *found, currentTeam);
}

std::string formatAdmission(const admission_verdict& verdict)
{
    if (verdict.decision == admission_decision::Unlimited)
        return "";
    return absl::StrCat(" admission=", std::string(nameIn(admissionDecisionNames, verdict.decision)), " wait_ms=", wholeMilliseconds(verdict.wait), " limit_ms=", wholeMilliseconds(verdict.limit),
        " reports_age_ms=", wholeMilliseconds(verdict.reportAge));
}

} // namespace almondmoor
