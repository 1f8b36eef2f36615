// Requests that crash each upstream that runs them.
//
// A fingerprint that has caused several crashes anywhere in the fleet is
// refused for a time, since its caller will send it again.

#pragma once

#include "Core/core_time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace almondmoor {

struct crash_quarantine_settings {
    // Crashes after which a fingerprint is refused.
    std::size_t crashesAllowed = 2;
    duration length = std::chrono::minutes(5);
};

class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_settings settings)
        : m_settings(settings)
    {
    }

    // Records that a request felled an upstream, seen here or told by a host.
    void noteCrash(std::uint64_t fingerprint, instant now)
    {
        auto& row = m_rows[fingerprint];
        ++row.crashes;
        row.lastAt = now;
    }

    bool isQuarantined(std::uint64_t fingerprint, instant now) const
    {
        const auto found = m_rows.find(fingerprint);
        return found != m_rows.end() && found->second.crashes >= m_settings.crashesAllowed
            && now - found->second.lastAt < m_settings.length;
    }

    // Returns how many crashes a request is known to have caused.
    std::size_t crashCount(std::uint64_t fingerprint) const
    {
        const auto found = m_rows.find(fingerprint);
        return found == m_rows.end() ? 0 : found->second.crashes;
    }

    // Forgets fingerprints whose time is over.
    void tick(instant now)
    {
        std::erase_if(m_rows, [&](const auto& entry) { return now - entry.second.lastAt >= m_settings.length; });
    }

private:
    struct row {
        std::size_t crashes = 0;
        instant lastAt;
    };

    crash_quarantine_settings m_settings;
    std::map<std::uint64_t, row> m_rows;
};

} // namespace almondmoor
