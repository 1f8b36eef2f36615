// Implements the reasons and details of requests for which no upstream was chosen.

#include "choice_refusals.h"

#include "Core/homes.h"

#include <absl/strings/str_cat.h>

namespace almondmoor {

refusal_reason reasonOf(choice_refusal refusal)
{
    switch (refusal) {
    case choice_refusal::NoUpstream:
        break;
    case choice_refusal::NoCapacity:
        return refusal_reason::NoCapacity;
    case choice_refusal::OutsideHomes:
        return refusal_reason::NoHome;
    case choice_refusal::NoRoomForPriority:
        return refusal_reason::NoRoomForPriority;
    case choice_refusal::Evacuated:
        return refusal_reason::Evacuated;
    }
    return refusal_reason::NoUpstream;
}

bool isForLackOfRoom(refusal_reason reason)
{
    return reason == refusal_reason::NoCapacity || reason == refusal_reason::NoRoomForPriority || reason == refusal_reason::NotStarted;
}

std::string detailOf(choice_refusal refusal, const region_limit& homes)
{
    switch (refusal) {
    case choice_refusal::NoUpstream:
        break;
    case choice_refusal::NoCapacity:
        return "all upstreams are busy for longer than the request can wait";
    case choice_refusal::OutsideHomes:
        return absl::StrCat("the service has no upstream in the regions to which the request is bound: ", describe(homes));
    case choice_refusal::NoRoomForPriority:
        return "more urgent requests need the room that is left";
    case choice_refusal::Evacuated:
        return "all data centres with an upstream for the request are evacuated";
    }
    return "the service has no upstream";
}

} // namespace almondmoor
