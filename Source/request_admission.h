// What a request handler needs around the decision whether a request gets room: the
// request's present priority and the text for the log.

#pragma once

#include "Core/priority_admission.h"
#include "Core/serving_config.h"

#include <string>

namespace almondmoor {

// Returns the priority that the current configuration gives to a request that began with a
// route of an earlier one. The team is empty if the request has none. A request whose route
// or team was removed keeps the route's priority.
unsigned currentPriority(const serving_config& current, const route_config&, const std::string& team);

// Returns what decided about the room for a request, as part of a log line; empty if no
// more urgent request needed the room.
std::string formatAdmission(const admission_verdict&);

} // namespace almondmoor
