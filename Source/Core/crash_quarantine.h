// Quarantine for requests that crash the upstreams which execute them.
//
// A request fingerprint that has caused several crashes anywhere in the fleet is refused for a time, since its
// client is expected to send the request again.

#pragma once

#include "Core/core_time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace almondmoor {

struct crash_quarantine_settings {
    // Number of crashes from which a fingerprint is refused.
    std::size_t crashThreshold = 2;
    duration quarantineTime = std::chrono::minutes(5);
};

class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_settings settings)
        : m_settings(settings)
    {
    }

    // Records that a request crashed an upstream, observed by this host or reported by another one.
    void recordCrash(std::uint64_t fingerprint, instant now)
    {
        auto& row = m_rows[fingerprint];
        ++row.crashes;
        row.lastCrashAt = now;
    }

    bool isQuarantined(std::uint64_t fingerprint, instant now) const
    {
        const auto found = m_rows.find(fingerprint);
        return found != m_rows.end() && found->second.crashes >= m_settings.crashThreshold
            && now - found->second.lastCrashAt < m_settings.quarantineTime;
    }

    // Returns the number of recorded crashes of a request.
    std::size_t crashCount(std::uint64_t fingerprint) const
    {
        const auto found = m_rows.find(fingerprint);
        return found == m_rows.end() ? 0 : found->second.crashes;
    }

    // Removes fingerprints that caused no crash within the quarantine time.
    void tick(instant now)
    {
        std::erase_if(m_rows, [&](const auto& entry) { return now - entry.second.lastCrashAt >= m_settings.quarantineTime; });
    }

private:
    struct row {
        std::size_t crashes = 0;
        instant lastCrashAt;
    };

    crash_quarantine_settings m_settings;
    std::map<std::uint64_t, row> m_rows;
};

} // namespace almondmoor
