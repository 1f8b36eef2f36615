// Time types of the coordination core.
//
// The core never reads a clock. Callers pass the current time from a clock that keeps running while the process
// or the machine is suspended, so that leases and other permissions expire on time after a suspension.

#pragma once

#include <chrono>
#include <cstdint>

namespace almondmoor {

using duration = std::chrono::microseconds;

// Tag type for instants. It deliberately has no now(), because the core has no clock.
struct core_clock {
};

using instant = std::chrono::time_point<core_clock, duration>;

// An instant before all others that occur, used as the time of events that have not happened yet.
inline constexpr instant distantPast { duration::min() / 2 };

// Returns a duration in seconds, including the fraction.
constexpr double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

// Returns a duration in milliseconds, without the fraction.
constexpr std::int64_t wholeMilliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Returns a number of seconds as a duration, truncated to whole microseconds.
constexpr duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace almondmoor
