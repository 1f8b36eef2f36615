#include "attempt_outcome.h"

#include "announcement_headers.h"
#include "http_status.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace almondmoor {

std::optional<attempt_result> attemptResultOf(exchange_result exchangeResult, const upstream_exchange& exchange, duration elapsed, duration targetLatency)
{
    switch (exchangeResult) {
    case exchange_result::ResponseReceived:
        if (isOverloadResponse(exchange.response()))
            return attempt_result::Shed;
        return exchange.response().getStatus() >= serverErrorStatus ? attempt_result::Failed : attempt_result::Good;
    case exchange_result::ConnectFailed:
        return attempt_result::Unreachable;
    case exchange_result::NotStarted:
        // Status 421: another upstream now uses the address.
        return exchange.response().getStatus() == misdirectedStatus ? attempt_result::Unreachable : attempt_result::Shed;
    case exchange_result::Lost:
        return attempt_result::Crashed;
    case exchange_result::Timeout:
    case exchange_result::BadResponse:
        return attempt_result::Failed;
    case exchange_result::ClientDisconnected:
        // A client that leaves after the route's target latency has waited for an upstream that hangs.
        return elapsed > targetLatency ? std::optional(attempt_result::Failed) : std::nullopt;
    case exchange_result::ClientBodyFailed:
        break;
    }
    return std::nullopt;
}

std::string summaryOfAttempt(const std::string& upstream, const choice_result& choice, exchange_result exchangeResult, bool isOnReusedConnection, duration elapsed)
{
    return absl::StrCat(upstream, ":", std::string(nameIn(exchangeResultNames, exchangeResult)), ":", wholeMilliseconds(elapsed), "ms", isOnReusedConnection ? ":kept" : ":new", ":",
        std::string(nameIn(distanceTierNames, choice.tier)), ":inflight=", choice.inFlight, absl::StrFormat(":failing=%.2f", choice.failingProbability), choice.isTrial ? ":trial" : "");
}

} // namespace almondmoor
