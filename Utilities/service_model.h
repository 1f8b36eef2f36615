// A discrete-event simulation of a service behind many proxy hosts, without a network.
//
// Each host runs a real dispatch_core. Upstreams have slots, short queues and failures,
// and requests and reports between hosts have network delays. One run simulates one
// pattern of load and failures under one policy and one seed.

#pragma once

#include "Core/dispatch_core.h"
#include "Core/report_pacing.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

// Settings of the hosts; runs under different policies are compared.
struct model_policy {
    std::string name;
    choice_settings choice;
    pacing_settings pacing;
    // Whether hosts send reports to each other at all.
    bool hasReports = true;
    admission_settings admission = {};
};

// A kind of request and its rate over the whole fleet.
struct model_kind {
    bool isIdempotent = false;
    double requestsPerSecond = 0;
    duration meanServiceTime {};
    duration targetLatency {};
    duration timeout {};
    // Rank among requests that compete for capacity; 0 goes first.
    unsigned priority = 0;
    // Factor on the rate from an offset in the run on, for a time.
    double burstFactor = 1;
    duration burstOffset {};
    duration burstDuration {};
};

// How a failing upstream loses a request.
enum class failure_mode {
    // Its connection is reset.
    Reset,
    // The request holds a slot until it times out.
    Hang
};

// A deployment, its load and its failures.
struct model_pattern {
    std::string name;
    // Data centres 0 and 1 form a region, so do 2 and 3, and so on.
    unsigned dataCentres = 6;
    unsigned hostsPerDataCentre = 8;
    unsigned upstreamsPerDataCentre = 5;
    unsigned slots = 3;
    // Requests that an upstream queues before it sheds others.
    unsigned maxQueueLength = 12;
    std::vector<model_kind> kinds;
    // Factor on the rates of all kinds of request.
    double loadFactor = 1;
    // Fraction of the time in which each upstream fails, how long one such failure lasts,
    // and the probability that a request is lost meanwhile.
    double failingFraction = 0.15;
    duration failingDuration = std::chrono::seconds(8);
    double lostWhileFailing = 0.85;
    failure_mode failureMode = failure_mode::Reset;
    // Fraction of the upstreams that fail together in an outage, and the time of the
    // outage from the start of the run.
    double outageFraction = 0;
    duration outageOffset {};
    duration outageDuration {};
    // Data centres whose hosts get no requests.
    std::set<unsigned> quietDataCentres;
    // Fraction of all requests that upstreams shed.
    double shedFraction = 0;
    // Fraction of the upstreams that are slower, and by which factor.
    double slowFraction = 0;
    double slowFactor = 5;
    duration runTime = std::chrono::seconds(40);
};

// Numbers of requests by result.
struct result_counts {
    std::uint64_t requests = 0;
    std::uint64_t withinTarget = 0;
    // Responses that arrived after the target latency but before the timeout.
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
};

// The results of a run, of all requests and of each kind, and other totals.
struct model_result : result_counts {
    std::vector<result_counts> kinds;
    std::uint64_t retried = 0;
    // Attempts at upstreams of another data centre in the region and of another region.
    std::uint64_t sentToSameRegion = 0;
    std::uint64_t sentToOtherRegion = 0;
    std::uint64_t reportsReceived = 0;
    double hostSeconds = 0;
    // Minimum coverage during the run. Coverage is the fraction of the upstreams healthy for
    // a while that got a request within the last two seconds.
    double minCoverage = 1;
};

class service_model {
public:
    service_model(const model_pattern&, const model_policy&, std::uint64_t seed);

    model_result run();

private:
    struct upstream_row {
        std::string id;
        unsigned dataCentre = 0;
        unsigned busySlots = 0;
        // Factor on the time that each request takes.
        double latencyFactor = 1;
        std::deque<std::uint64_t> waiting;
        // The current or next failure.
        instant failsAt;
        instant failsUntil;
        instant lastFailingAt = distantPast;
        instant lastRequestAt = distantPast;
    };
    struct host_row {
        std::unique_ptr<dispatch_core> core;
        report_pacing pacing;
        unsigned dataCentre = 0;
        std::uint64_t sequence = 0;
        bool isReportScheduled = false;
    };
    struct request_row {
        const model_kind* kind = nullptr;
        unsigned host = 0;
        unsigned upstream = 0;
        unsigned attempts = 0;
        bool hasMadeTrial = false;
        instant startedAt;
        instant sentAt;
        std::set<std::string> tried;
        update_urgency urgency = update_urgency::Low;
    };
    struct event_row {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event_row& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    // Schedules an event.
    void schedule(instant, std::function<void()>);
    void scheduleArrival(const model_kind&);
    void arrive(const model_kind&);
    // Chooses an upstream for a request and sends an attempt to it.
    void send(std::uint64_t request);
    // Handles a request that arrives at its upstream.
    void handleAtUpstream(std::uint64_t request);
    // Handles a request that a failing upstream loses.
    void loseRequest(std::uint64_t request);
    // Frees a slot of an upstream and starts queued requests.
    void freeSlot(unsigned upstream);
    // Starts a request in a slot of its upstream.
    void startProcessing(std::uint64_t request);
    // Sends the result of an attempt back to the host.
    void sendResult(std::uint64_t request, attempt_result);
    void retryOrComplete(std::uint64_t request, attempt_result);
    void complete(std::uint64_t request, std::uint64_t result_counts::*count);
    // Returns the counts of a kind of request.
    result_counts& countsOf(const model_kind& kind) { return m_result.kinds[static_cast<std::size_t>(&kind - m_pattern.kinds.data())]; }
    bool isBurst(const model_kind&) const;
    // Records that a host has an update to report, and sends the report if it is due.
    void recordUpdate(unsigned host, update_urgency urgency);
    void sendReport(unsigned host);
    // Makes each host report the upstreams that it finds idle.
    void tick();
    void scheduleReport(unsigned host);
    bool isFailing(upstream_row&);
    bool isInOutage(const upstream_row&) const;
    // Updates the minimum coverage in the result.
    void measureCoverage();
    duration networkDelay(unsigned dataCentre, unsigned other) const;
    // Returns a random number between 0 and 1.
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    model_pattern m_pattern;
    model_policy m_policy;
    std::mt19937_64 m_random;
    instant m_now { std::chrono::hours(1) };
    instant m_startedAt = m_now;
    instant m_endsAt;
    std::uint64_t m_lastEventOrder = 0;
    std::priority_queue<event_row> m_events;
    std::vector<host_row> m_hosts;
    std::vector<upstream_row> m_upstreams;
    std::map<std::string, unsigned> m_upstreamIndexById;
    std::map<std::uint64_t, request_row> m_requests;
    std::uint64_t m_nextRequestId = 0;
    model_result m_result;
};

} // namespace almondmoor
