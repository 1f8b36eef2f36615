// Counts, by service, the recent requests and how many of them were not served. Callers
// leave out requests that were trials of an upstream.
//
// Each host counts the requests that it ended itself and adds what its neighbours report.
// Counts decay exponentially, so that the share of losses follows the last few seconds.
// What this host counted is reported only while it knows of recent losses; a service
// without losses costs no bytes.
//
// The class has no lock and no clock: callers serialize access and pass the time.

#pragma once

#include "Core/core_time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace almondmoor {

// Requests for a service that ended, and those of them that got no successful response.
struct service_outcomes {
    std::uint64_t requests = 0;
    std::uint64_t unserved = 0;

    bool operator==(const service_outcomes&) const = default;
};

class service_losses {
public:
    explicit service_losses(duration window)
        : m_window(window)
    {
    }

    // Records a request that ended at this host.
    void record(const std::string& service, bool isServed, instant now);

    // Records what a neighbour reported.
    void recordRemote(const std::string& service, const service_outcomes&, instant now);

    // Returns the fraction of the recent requests that was not served, or nothing if there
    // were none.
    std::optional<double> share(const std::string& service, instant now) const;

    // Returns what this host counted since the last call, for services with recent losses
    // here or at a neighbour. For others, it drops what is older than the window.
    std::map<std::string, service_outcomes> takeOutcomes(instant now);

private:
    // Decaying counts as of an instant.
    struct decaying_counts {
        double requests = 0;
        double unserved = 0;
        instant at = distantPast;
    };
    struct unreported_counts {
        service_outcomes outcomes;
        instant since = distantPast;
    };

    void add(const std::string& service, const service_outcomes&, instant now);
    double decaySince(instant at, instant now) const;

    duration m_window;
    std::map<std::string, decaying_counts> m_recent;
    std::map<std::string, unreported_counts> m_unreported;
};

} // namespace almondmoor
