// Quarantine for requests that crash the upstreams which execute them.
//
// A request fingerprint that has caused several crashes anywhere in the fleet is refused for a time, since its
// client is expected to send the request again.
//
// Hosts tell each other again and again which requests they refuse, with the time of the last crash, so that a host
// that was not there in time learns of it too. What is told again never prolongs a quarantine: the time of a crash
// gets later by each delivery, so a time that differs little from the known one counts as the same crash, and a
// quarantine that has ended is remembered for as long again.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace almondmoor {

struct crash_quarantine_settings {
    // Number of crashes from which a fingerprint is refused.
    std::size_t crashThreshold = 2;
    duration quarantineTime = std::chrono::minutes(5);
    // Two times of a request's last crash that differ by no more than this may be those of one crash.
    duration maxAgeError = std::chrono::seconds(10);
};

// A request that is refused because of its crashes.
struct quarantined_request {
    std::uint64_t fingerprint = 0;
    instant lastCrashAt = distantPast;

    bool operator==(const quarantined_request&) const = default;
};

class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_settings settings)
        : m_settings(settings)
    {
    }

    // Records that a request crashed an upstream, observed by this host or reported by another one. Returns whether
    // a quarantine begins.
    bool recordCrash(std::uint64_t fingerprint, instant now)
    {
        auto& row = m_crashes[fingerprint];
        ++row.count;
        row.lastCrashAt = now;
        const bool wasQuarantined = isQuarantined(fingerprint, now);
        if (wasQuarantined || row.count >= m_settings.crashThreshold)
            m_quarantines[fingerprint] = now;
        return !wasQuarantined && isQuarantined(fingerprint, now);
    }

    // Records what another host told. Returns whether a quarantine begins.
    bool recordQuarantine(const quarantined_request& it, instant now)
    {
        const bool wasQuarantined = isQuarantined(it.fingerprint, now);
        const auto known = m_quarantines.find(it.fingerprint);
        if (known != m_quarantines.end() && it.lastCrashAt <= known->second + m_settings.maxAgeError)
            return false;
        if (!isStanding(it.lastCrashAt, now))
            return false;
        m_quarantines[it.fingerprint] = std::min(it.lastCrashAt, now);
        return !wasQuarantined;
    }

    bool isQuarantined(std::uint64_t fingerprint, instant now) const
    {
        const auto found = m_quarantines.find(fingerprint);
        return found != m_quarantines.end() && isStanding(found->second, now);
    }

    // Returns the requests that are refused.
    std::vector<quarantined_request> quarantinedRequests(instant now) const
    {
        std::vector<quarantined_request> requests;
        for (const auto& [fingerprint, lastCrashAt] : m_quarantines) {
            if (isStanding(lastCrashAt, now))
                requests.push_back({ fingerprint, lastCrashAt });
        }
        return requests;
    }

    // Returns the number of recorded crashes of a request.
    std::size_t crashCount(std::uint64_t fingerprint) const
    {
        const auto found = m_crashes.find(fingerprint);
        return found == m_crashes.end() ? 0 : found->second.count;
    }

    // Removes the crashes of fingerprints that caused none within the quarantine time, and quarantines that ended so
    // long ago that no host tells of them any more.
    void tick(instant now)
    {
        std::erase_if(m_crashes, [&](const auto& entry) { return !isStanding(entry.second.lastCrashAt, now); });
        std::erase_if(m_quarantines, [&](const auto& entry) { return now - entry.second >= 2 * m_settings.quarantineTime; });
    }

private:
    struct crash_row {
        std::size_t count = 0;
        instant lastCrashAt;
    };

    bool isStanding(instant lastCrashAt, instant now) const { return now - lastCrashAt < m_settings.quarantineTime; }

    crash_quarantine_settings m_settings;
    std::map<std::uint64_t, crash_row> m_crashes;
    // The time of the last crash by the fingerprints of requests that are refused, or were until recently.
    std::map<std::uint64_t, instant> m_quarantines;
};

} // namespace almondmoor
