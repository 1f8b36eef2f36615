// Tells clients that were refused for lack of room when to come back, so that they do not
// all return at once.
//
// Pattern of load: many requests are refused within a short time. If each is told the
// shortest time until there is room, they return together, and most are refused again.
//
// Each host hands out its own part of the room that becomes free in its data centre: the
// times that it tells are spaced as slots of its part become free. Half of that room is
// left to new requests. Requests of a priority are spaced among those of the same and of
// more urgent priorities, so the more urgent are told earlier times.
//
// A client that repeats a request before its time is told the same time again. It gains
// nothing, and takes no time from others.
//
// Clients wait only for part of the time that they have left. A longer time is told as it
// is, but no room is set aside for it, since nobody will come.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondmoor {

struct return_settings {
    // Fraction of the room that becomes free which is given to clients that return.
    double returningFraction = 0.5;
    // Fraction of the time left for which clients are willing to wait.
    double usefulFraction = 1.0 / 3;
    // Room per second that is assumed where none is known.
    double minRoomPerSecond = 1;
    // Number of clients whose times are remembered, for each service.
    std::size_t maxClients = 1024;
};

// A request that was refused for lack of room.
struct refused_request {
    std::string service;
    // 0 goes first.
    unsigned priority = 0;
    // Identifies a client and its request, so that a repeated one is recognized.
    std::uint64_t client = 0;
    // Shortest time until there is room.
    duration timeUntilRoom {};
    duration timeLeft {};
    // Requests per second for which this host's part of the service has room.
    double roomPerSecond = 0;
};

class return_schedule {
public:
    explicit return_schedule(return_settings settings = {})
        : m_settings(settings)
    {
    }

    // Returns the time after which the client should repeat the request.
    duration timeUntilReturn(const refused_request&, instant now);

private:
    struct service_row {
        // First instant that no client of a priority has been told yet, by priority.
        std::map<unsigned, instant> firstFreeAt;
        // Instants that clients were told. Those that have passed are removed.
        std::map<std::uint64_t, instant> returnsAt;
    };

    // Returns the first free instant of a priority, not before the given one.
    static instant firstFree(const service_row&, unsigned priority, instant earliest);

    return_settings m_settings;
    std::map<std::string, service_row, std::less<>> m_services;
};

} // namespace almondmoor
