// The report that hosts of one data centre send each other as they handle requests.
//
// Where the sender's state is small, a report carries all of it, so that the next
// report makes up for a lost one.

#pragma once

#include "Core/crash_quarantine.h"
#include "Core/reader_choice.h"
#include "Core/service_losses.h"
#include "Core/upstream_announcements.h"
#include "Core/upstream_health.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondmoor {

// The result of one attempt that another host made.
struct neighbour_sample {
    std::string upstream;
    attempt_result result = attempt_result::Good;
    duration latency {};
    // Fingerprint of the request; zero unless the upstream crashed.
    std::uint64_t fingerprint = 0;
    // Latency relative to what is usual for the request's route at the sender; nothing if
    // the sender does not report it.
    std::optional<double> relativeLatency = std::nullopt;
};

// Number of a team's requests that a host admitted.
struct admitted_count {
    // Since the host's start.
    std::uint64_t total = 0;
    // The total before the current series of admissions; a series ends when no
    // request has been admitted for a while. A receiver that knows the host but no
    // earlier total of the team counts from here.
    std::uint64_t totalBeforeSeries = 0;

    bool operator==(const admitted_count&) const = default;
};

// Tokens of a team that a host moved between data centres since its start. Deductions of lent tokens and additions of
// borrowed ones reach the neighbours by totals, as admissions do.
struct moved_total {
    double lent = 0;
    double borrowed = 0;
    // The totals before the current series of moves, as in admitted_count.
    double lentBeforeSeries = 0;
    double borrowedBeforeSeries = 0;

    bool operator==(const moved_total&) const = default;
};

struct neighbour_report {
    std::string host;
    std::string dataCentre;
    // IP-NUMBER:PORT at which the sender receives reports.
    std::string address;
    // Increases with each start of the sender.
    std::uint64_t incarnation = 0;
    // Increases with each report of one incarnation.
    std::uint64_t sequence = 0;
    // Requests in flight by upstream; upstreams that are not listed have none.
    std::map<std::string, unsigned> inFlight;
    // Upstreams to which the sender sent requests since its last report.
    std::vector<std::string> attemptedUpstreams;
    // Upstreams of other data centres to which the hosts of this data centre should
    // send requests, since the hosts of their own data centre have none for them.
    std::vector<std::string> idleUpstreams;
    // Admissions by team, only for teams whose count changed recently.
    std::map<std::string, admitted_count> admitted;
    // Totals by team, only for teams whose tokens this host moved recently.
    std::map<std::string, moved_total> movedTokens;
    // Attempts that ended since the last report and that other hosts should know of.
    std::vector<neighbour_sample> samples;
    // What ended since the last report that lists the service, only for services that lost
    // requests recently.
    std::map<std::string, service_outcomes> outcomes;
    // Upstreams that announced to the sender that they are leaving.
    std::vector<upstream_incarnation> leavingUpstreams;
    // Upstreams that the sender could not connect to, of services that limit what cold upstreams get.
    std::vector<std::string> unreachableUpstreams;
    // Upstreams that several hosts could not reach, which are therefore suspected to be cold.
    std::vector<std::string> suspectedUpstreams;
    // Requests that no host should dispatch, since they crashed upstreams.
    std::vector<quarantined_request> quarantined;
    // Set by hosts that read the store for the others.
    std::optional<store_confirmation> confirmation;
};

} // namespace almondmoor
