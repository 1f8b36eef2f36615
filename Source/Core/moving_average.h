// An average in which older samples count less.

#pragma once

namespace almondmoor {

// Returns an average after a further sample of the given weight, between 0 and 1. An average of 0 has no samples yet.
constexpr double movingAverage(double average, double sample, double weight)
{
    return average == 0 ? sample : average + weight * (sample - average);
}

} // namespace almondmoor
