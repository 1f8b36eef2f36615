// What a client is told about a request for which no upstream was chosen.

#pragma once

#include "Core/outcome.h"
#include "Core/upstream_choice.h"

#include <string>

namespace almondmoor {

refusal_reason reasonOf(choice_refusal);

// Returns whether requests are refused for this reason because their service has no room for them.
bool isForLackOfRoom(refusal_reason);

// Returns the detail for the reply and the log. The limit is the one of the request.
std::string detailOf(choice_refusal, const region_limit&);

} // namespace almondmoor
