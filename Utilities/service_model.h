// A model of a service behind many hosts, without a network: hosts decide by the
// project's own core, upstreams have slots, short queues and failures, and reports
// between hosts take time.
//
// One run is one pattern of load and failures under one policy and one seed.

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

// How the hosts decide; what the model compares.
struct model_policy {
    std::string name;
    choice_settings choice;
    pacing_settings pacing;
    // Whether hosts hear of each other at all.
    bool hasReports = true;
};

// A kind of request.
struct model_kind {
    bool isRepeatable = false;
    double perSecond = 0;
    duration meanWork {};
    duration target {};
    duration limit {};
};

// What becomes of a request that a failing upstream loses.
enum class failure_manner {
    // Its connection is reset.
    Reset,
    // It holds a slot until its time is up.
    Hang
};

// A deployment, its load and what fails.
struct model_pattern {
    std::string name;
    // Data centres; each two that follow each other form a region.
    unsigned dataCentres = 6;
    unsigned hostsPerDataCentre = 8;
    unsigned upstreamsPerDataCentre = 5;
    unsigned slots = 3;
    unsigned queue = 12;
    std::vector<model_kind> kinds;
    double load = 1;
    // Part of the time for which each upstream loses requests, and the length of
    // one such time.
    double failingPart = 0.15;
    duration failingLength = std::chrono::seconds(8);
    double lostWhileFailing = 0.85;
    failure_manner manner = failure_manner::Reset;
    // Part of the upstreams that begin to fail together, and when.
    double outagePart = 0;
    duration outageFrom {};
    duration outageLength {};
    // Data centres whose hosts get no requests.
    std::set<unsigned> quietDataCentres;
    // Part of all requests that upstreams turn away.
    double shedPart = 0;
    // Part of the upstreams that work several times slower.
    double slowPart = 0;
    double slowFactor = 5;
    duration length = std::chrono::seconds(40);
};

struct model_result {
    std::uint64_t requests = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t resent = 0;
    // Sends beyond the own data centre and beyond the own region.
    std::uint64_t sentNear = 0;
    std::uint64_t sentFar = 0;
    std::uint64_t reportsTaken = 0;
    double hostSeconds = 0;
    // Least part of the upstreams that were well for a while to which work came in
    // any two seconds.
    double leastCovered = 1;
};

class service_model {
public:
    service_model(const model_pattern&, const model_policy&, std::uint64_t seed);

    model_result run();

private:
    struct upstream_row {
        std::string id;
        unsigned dataCentre = 0;
        unsigned running = 0;
        double speed = 1;
        std::deque<std::uint64_t> waiting;
        instant failsFrom;
        instant failsUntil;
        instant lastFailingAt = distantPast;
        instant reachedAt = distantPast;
    };
    struct host_row {
        std::unique_ptr<dispatch_core> core;
        report_pacing pacing;
        unsigned dataCentre = 0;
        std::uint64_t sequence = 0;
        bool isReportPlanned = false;
    };
    struct request_row {
        const model_kind* kind = nullptr;
        unsigned host = 0;
        unsigned upstream = 0;
        unsigned sends = 0;
        instant beganAt;
        instant sentAt;
        std::set<std::string> tried;
        update_urgency urgency = update_urgency::Low;
    };
    struct event_row {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> act;

        bool operator<(const event_row& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void at(instant, std::function<void()>);
    void planArrival(const model_kind&);
    void arrive(const model_kind&);
    void send(std::uint64_t request);
    void reach(std::uint64_t request);
    // Ends a request that a failing upstream loses.
    void lose(std::uint64_t request);
    // Frees a slot of an upstream.
    void leave(unsigned upstream);
    void begin(std::uint64_t request);
    void finish(std::uint64_t request, attempt_result);
    void retryOrEnd(std::uint64_t request, attempt_result);
    void end(std::uint64_t request, std::uint64_t& count);
    void tell(unsigned host, update_urgency urgency);
    void report(unsigned host);
    // Does what is due at all hosts.
    void tick();
    void planReport(unsigned host);
    bool isFailing(upstream_row&);
    bool isInOutage(const upstream_row&) const;
    // Takes in how many upstreams got work of late.
    void measureCoverage();
    duration distance(unsigned dataCentre, unsigned other) const;
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    model_pattern m_pattern;
    model_policy m_policy;
    std::mt19937_64 m_random;
    instant m_now { std::chrono::hours(1) };
    instant m_beginning = m_now;
    instant m_end;
    std::uint64_t m_order = 0;
    std::priority_queue<event_row> m_events;
    std::vector<host_row> m_hosts;
    std::vector<upstream_row> m_upstreams;
    std::map<std::string, unsigned> m_upstreamById;
    std::map<std::uint64_t, request_row> m_requests;
    std::uint64_t m_nextRequest = 0;
    model_result m_result;
};

} // namespace almondmoor
