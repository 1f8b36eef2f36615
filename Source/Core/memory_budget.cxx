#include "Core/memory_budget.h"

#include <algorithm>

namespace almondmoor {

namespace {

    // Fraction of the process's memory that requests may hold. The rest is for the program, its tables, connections and
    // the kernel's buffers of the sockets.
    constexpr double requestMemoryFraction = 0.5;
    // Fraction of the budget up to which bodies are held whole.
    constexpr double ampleFraction = 0.5;
    // Fraction of the budget from which the least urgent requests are refused and as little as possible is held of each
    // body, so that the rest is left for many urgent requests. The most urgent ones are refused only when the budget is
    // used up.
    constexpr double refusalFraction = 0.75;

} // namespace

std::uint64_t memory_budget::maxBytesFor(std::uint64_t processMemoryBytes)
{
    return static_cast<std::uint64_t>(static_cast<double>(processMemoryBytes) * requestMemoryFraction);
}

double memory_budget::usedFraction() const
{
    return m_maxBytes == 0 ? 0 : static_cast<double>(m_heldBytes) / static_cast<double>(m_maxBytes);
}

std::size_t memory_budget::bodyLimit(std::size_t usualBytes) const
{
    const double used = usedFraction();
    if (used <= ampleFraction)
        return usualBytes;
    const double left = std::max(0.0, refusalFraction - used) / (refusalFraction - ampleFraction);
    return std::max(std::min(minBodyBytes, usualBytes), static_cast<std::size_t>(left * static_cast<double>(usualBytes)));
}

bool memory_budget::admits(double urgency) const
{
    const double limit = refusalFraction + (1 - refusalFraction) * std::clamp(urgency, 0.0, 1.0);
    return usedFraction() < limit;
}

} // namespace almondmoor
