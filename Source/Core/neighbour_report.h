// What hosts of one data centre tell each other after each step of a request.
//
// A report holds the sender's whole state where that is small, so that a lost
// report is made good by the next.

#pragma once

#include "Core/reader_choice.h"
#include "Core/upstream_health.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondmoor {

// One attempt that another host made.
struct neighbour_sample {
    std::string upstream;
    attempt_result result = attempt_result::Good;
    duration latency {};
    // Fingerprint of the request, for crashes only.
    std::uint64_t fingerprint = 0;
};

// What a host admitted of a team's requests.
struct admitted_count {
    // Since the host's start.
    std::uint64_t total = 0;
    // The total before the present series of admissions.
    std::uint64_t before = 0;

    bool operator==(const admitted_count&) const = default;
};

struct neighbour_report {
    std::string host;
    std::string dataCentre;
    // IP-NUMBER:PORT at which the sender takes reports.
    std::string address;
    // Grows with each start of the sender.
    std::uint64_t incarnation = 0;
    // Grows with each report of one incarnation.
    std::uint64_t sequence = 0;
    // Requests in flight by upstream; upstreams that are not named have none.
    std::map<std::string, unsigned> inFlight;
    // Upstreams to which the sender sent work since its last report.
    std::vector<std::string> started;
    // Upstreams of another data centre that should get work from this one, since
    // theirs has no requests for them.
    std::vector<std::string> wanted;
    // Admissions by team, of teams for which they changed of late.
    std::map<std::string, admitted_count> admitted;
    // Attempts that ended since the last report, as far as others should know.
    std::vector<neighbour_sample> samples;
    // Fingerprints of requests that no host should dispatch any more.
    std::vector<std::uint64_t> quarantined;
    // Set by hosts that read the store for the others.
    std::optional<store_confirmation> confirmation;
};

} // namespace almondmoor
