// Time as the coordination core sees it.
//
// The core never reads a clock. Each caller passes the present instant, taken
// from a clock that keeps counting while the process or its machine is
// suspended, so that permissions lapse on time after a pause.

#pragma once

#include <chrono>
#include <cstdint>

namespace almondmoor {

using duration = std::chrono::microseconds;

// Tag type for instants. It has no now() on purpose: the core has no clock.
struct core_clock {
};

using instant = std::chrono::time_point<core_clock, duration>;

// An instant before any that matters, for things that never happened.
inline constexpr instant longAgo { duration::min() / 2 };

// Returns a span in seconds, with its fraction.
constexpr double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

// Returns the nearest duration to a number of seconds.
constexpr duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace almondmoor
