// When the steps of a planned stop of a proxying host begin.

#pragma once

#include "Core/core_time.h"

#include <algorithm>

namespace almondmoor {

// All times are counted from the stop signal. Invariant: closeAt <= refuseAt < exitAt.
struct stop_schedule {
    // The host closes each client connection after its response, so that clients reconnect to other hosts.
    duration closeAt {};
    // The host refuses new requests.
    duration refuseAt {};
    // The process ends, whatever still runs.
    duration exitAt {};
};

// Makes the schedule from the time between showing 'not ready' and closing connections, and the time from the signal to
// the forced end of the process.
constexpr stop_schedule makeStopSchedule(duration notice, duration grace)
{
    // Clients that wait for longer than this before they reconnect find the host refusing.
    constexpr duration maxAdmission = std::chrono::milliseconds(2900);
    // Fraction of the grace period in which requests are admitted; the rest is left for them to end.
    constexpr int admissionDivisor = 2;
    // Time that is reserved for the exit of the process.
    constexpr duration maxExitReserve = std::chrono::milliseconds(400);
    constexpr int exitReserveDivisor = 5;
    const duration refuseAt = std::min<duration>(maxAdmission, grace / admissionDivisor);
    const duration exitAt = grace - std::min<duration>(maxExitReserve, grace / exitReserveDivisor);
    return { std::min(notice, refuseAt), refuseAt, exitAt };
}

} // namespace almondmoor
