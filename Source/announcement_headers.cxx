#include "announcement_headers.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>

namespace almondmoor {

namespace {

    constexpr const char* retryAfterHeader = "Retry-After";

} // namespace

bool isOverloadResponse(const Poco::Net::HTTPResponse& response)
{
    return response.getStatus() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE && response.has(retryAfterHeader);
}

parsed_announcement readAnnouncement(const Poco::Net::HTTPResponse& response, const wire_names& wire)
{
    parsed_announcement parsed;
    parsed.announcement.isLeaving = !wire.leaving.empty() && response.get(wire.leaving, "") == wire.leavingValue;
    if (!isOverloadResponse(response))
        return parsed;
    double seconds = 0;
    parsed.isMalformed = !absl::SimpleAtod(response.get(retryAfterHeader), &seconds) || !std::isfinite(seconds) || seconds < 0;
    if (!parsed.isMalformed)
        parsed.announcement.pause = fromSeconds(std::min(seconds, toSeconds(maxUpstreamPause)));
    return parsed;
}

} // namespace almondmoor
