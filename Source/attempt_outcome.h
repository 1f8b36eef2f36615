// What an attempt at an upstream says about the health of that upstream, and how logs tell of it.

#pragma once

#include "Core/core_time.h"
#include "Core/upstream_choice.h"
#include "Core/upstream_health.h"
#include "upstream_exchange.h"

#include <optional>
#include <string>

namespace almondmoor {

// Returns the result by which an attempt that took a time counts for the upstream's health, or nothing if it doesn't
// count. The target latency is that of the request's route.
std::optional<attempt_result> attemptResultOf(exchange_result, const upstream_exchange&, duration elapsed, duration targetLatency);

// Returns the words by which the log line of a request tells of an attempt: the upstream, the result, the time that it took
// and what was known when the upstream was chosen.
std::string summaryOfAttempt(const std::string& upstream, const choice_result&, exchange_result, bool isOnReusedConnection, duration elapsed);

} // namespace almondmoor
