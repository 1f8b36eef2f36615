// Weighted fair queuing of a service's waiting requests among teams.
//
// Each team has a virtual time that increases by the slot time it used, divided
// by its weight. The team with the lowest virtual time is served next, so that a
// team that sends many or slow requests waits behind the others.

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
    // Maximum number of waiting requests of one team at one service.
    std::size_t maxQueueLength = 256;
    // Slot time charged for a request until its actual slot time is known.
    duration expectedSlotTime = std::chrono::milliseconds(20);
    // Fraction of the slots that a team above its fair number of slots must
    // leave free for other recently active teams.
    double reservedFraction = 0.1;
    // A team without waiting or running requests counts as active for this long
    // after its last request was queued.
    duration activityTimeout = std::chrono::seconds(2);
};

// The waiting requests and used slots of one service.
class fair_queue {
public:
    explicit fair_queue(fair_queue_settings settings)
        : m_settings(settings)
    {
    }

    // Adds a waiting request. Returns false if the team's queue is full.
    bool enqueue(const std::string& team, double weight, queue_ticket, instant now);

    // Removes a waiting request. Returns false if it is no longer in the queue.
    bool cancel(const std::string& team, queue_ticket);

    // Removes the request that is served next and counts its slot as used.
    // Returns nothing if no request waits or the free slots are reserved for
    // other teams.
    std::optional<queue_ticket> next(unsigned freeSlots, instant now);

    // Releases a slot of a team and charges the team for its actual slot time.
    void release(const std::string& team, duration slotTime);

    std::size_t waiting() const { return m_waiting; }
    std::size_t waiting(const std::string& team) const;

private:
    struct team_row {
        double weight = 1;
        // Slot time used so far, in seconds, divided by the weight.
        double virtualTime = 0;
        unsigned running = 0;
        instant lastEnqueuedAt = distantPast;
        std::deque<queue_ticket> tickets;
    };

    // Returns the team's part of some slots in proportion to the weights of the
    // active teams.
    double fairSlots(const team_row&, unsigned slots, instant now) const;

    fair_queue_settings m_settings;
    std::map<std::string, team_row> m_teams;
    // Invariant: the sum of the lengths of all teams' queues.
    std::size_t m_waiting = 0;
    unsigned m_running = 0;
    // Highest virtual time at which a team was served. Newly active teams start at
    // this value or above, so that idle time earns them no credit.
    double m_virtualTime = 0;
};

} // namespace almondmoor
