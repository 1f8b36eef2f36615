// Estimates how long a request of a route takes at an upstream of usual speed.
//
// The routes of one service can differ several times in the work that they ask for. An
// average over all of them is wrong for each, and an upstream would look slow to the
// senders of long requests only. The model therefore keeps an average by service and
// route, and one by service for what concerns all requests, such as the time that a queue
// takes. How slow an upstream is follows from its latencies relative to those of their
// routes.
//
// A route without responses has the average of its service. So a service with one route
// has one average.
//
// The class has no lock: callers serialize access.

#pragma once

#include "Core/core_time.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondmoor {

class latency_model {
public:
    // The initial latency is that of a service before its first response.
    explicit latency_model(duration initialLatency)
        : m_initialSeconds(toSeconds(initialLatency))
    {
    }

    // Records the latency of a successful response. The route may be empty if it is unknown.
    void record(const std::string& service, const std::string& route, duration latency);

    // Returns the average seconds of a service over all of its routes.
    double expectedSeconds(const std::string& service) const;

    // Returns the average seconds of a route; that of the service for an unknown route.
    double expectedSeconds(const std::string& service, const std::string& route) const;

    // Returns the average distance, in seconds, of a route's latencies from their average;
    // the average itself for an unknown route.
    double spreadSeconds(const std::string& service, const std::string& route) const;

    // Returns a latency relative to the average of its route.
    double relativeLatency(const std::string& service, const std::string& route, duration latency) const { return toSeconds(latency) / expectedSeconds(service, route); }

    // Maximum number of routes of one service that are kept. The route that got no response
    // for longest is dropped for a new one.
    static constexpr std::size_t maxRoutes = 256;

private:
    // The average that an estimate begins with counts as its first samples.
    struct latency_average {
        double seconds = 0;
        // Average absolute deviation from the average.
        double spread = 0;
        unsigned samples = 0;
        // Number of responses of the service until the last one of this average.
        std::uint64_t lastUse = 0;
    };
    struct service_row {
        latency_average total;
        std::map<std::string, latency_average> routes;
        std::uint64_t responses = 0;
    };

    static void add(latency_average&, double seconds);
    static latency_average beginningWith(double seconds);
    const latency_average* findRoute(const std::string& service, const std::string& route) const;

    double m_initialSeconds;
    std::map<std::string, service_row> m_services;
};

} // namespace almondmoor
