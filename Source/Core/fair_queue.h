// Weighted fair queuing of a service's waiting requests among teams.
//
// Each team has a virtual time that grows with the slot time it used, divided
// by its weight. The team with the least virtual time goes next, so that a team
// that sends many requests, or slow ones, waits behind the others.

#pragma once

#include "Core/core_time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace almondmoor {

using queue_ticket = std::uint64_t;

struct fair_queue_settings {
    // Waiting requests of one team at one service.
    std::size_t longestQueue = 256;
    // Slot time charged for a request before its real one is known.
    duration expectedSlotTime = std::chrono::milliseconds(20);
    // Part of the slots that a team over its fair part leaves to others that
    // were active of late.
    double reservedPart = 0.1;
    duration activeMemory = std::chrono::seconds(2);
};

class fair_queue {
public:
    explicit fair_queue(fair_queue_settings settings)
        : m_settings(settings)
    {
    }

    // Adds a waiting request. Returns false if the team's queue is full.
    bool enqueue(const std::string& team, double weight, queue_ticket, instant now);

    // Takes a request out that waits no longer. Returns false if it had gone.
    bool cancel(const std::string& team, queue_ticket);

    // Chooses the request that may use a free slot and counts its slot. Returns
    // nothing if none waits or the free slots are reserved for others.
    std::optional<queue_ticket> next(unsigned freeSlots, instant now);

    // Charges a team for a slot that it has given back.
    void release(const std::string& team, duration slotTime);

    std::size_t waiting() const { return m_waiting; }
    std::size_t waiting(const std::string& team) const;

private:
    struct team_row {
        double weight = 1;
        // Slot seconds used so far, divided by the weight.
        double virtualTime = 0;
        unsigned running = 0;
        instant lastAt = distantPast;
        std::deque<queue_ticket> tickets;
    };

    double fairPart(const team_row&, unsigned slots, instant now) const;

    fair_queue_settings m_settings;
    std::map<std::string, team_row> m_teams;
    // Invariant: the sum of the lengths of all teams' queues.
    std::size_t m_waiting = 0;
    unsigned m_running = 0;
    // Virtual time of the last team served; newly active teams start from it.
    double m_virtualTime = 0;
};

} // namespace almondmoor
