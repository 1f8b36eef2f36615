// Weighted fair queuing by virtual time.

#include "Core/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace almondmoor {

bool fair_queue::enqueue(const std::string& team, double weight, queue_ticket ticket, instant now)
{
    team_row& row = m_teams[team];
    if (row.tickets.size() >= m_settings.maxQueueLength)
        return false;
    if (row.tickets.empty() && row.running == 0)
        row.virtualTime = std::max(row.virtualTime, m_virtualTime);
    row.weight = weight;
    row.lastEnqueuedAt = now;
    row.tickets.push_back(ticket);
    ++m_waiting;
    return true;
}

bool fair_queue::cancel(const std::string& team, queue_ticket ticket)
{
    auto& tickets = m_teams[team].tickets;
    const auto found = std::find(tickets.begin(), tickets.end(), ticket);
    if (found == tickets.end())
        return false;
    tickets.erase(found);
    --m_waiting;
    return true;
}

double fair_queue::fairSlots(const team_row& row, unsigned slots, instant now) const
{
    double weights = 0;
    for (const auto& [name, other] : m_teams) {
        const bool isActive = !other.tickets.empty() || other.running > 0 || now - other.lastEnqueuedAt <= m_settings.activityTimeout;
        weights += isActive ? other.weight : 0;
    }
    return slots * row.weight / weights;
}

std::optional<queue_ticket> fair_queue::next(unsigned freeSlots, instant now)
{
    if (freeSlots == 0 || m_waiting == 0)
        return std::nullopt;
    const unsigned slots = m_running + freeSlots;
    const auto reserved = static_cast<unsigned>(std::ceil(m_settings.reservedFraction * slots));
    team_row* best = nullptr;
    for (auto& [name, row] : m_teams) {
        if (row.tickets.empty())
            continue;
        const bool isOverFairSlots = row.running + 1 > std::max(1.0, fairSlots(row, slots, now));
        if (isOverFairSlots && freeSlots <= reserved && slots > 1)
            continue;
        if (!best || row.virtualTime < best->virtualTime)
            best = &row;
    }
    if (!best)
        return std::nullopt;
    const queue_ticket ticket = best->tickets.front();
    best->tickets.pop_front();
    --m_waiting;
    ++best->running;
    ++m_running;
    m_virtualTime = std::max(m_virtualTime, best->virtualTime);
    best->virtualTime += toSeconds(m_settings.expectedSlotTime) / best->weight;
    return ticket;
}

void fair_queue::release(const std::string& team, duration slotTime)
{
    team_row& row = m_teams[team];
    if (row.running == 0)
        return;
    --row.running;
    --m_running;
    row.virtualTime += (toSeconds(slotTime) - toSeconds(m_settings.expectedSlotTime)) / row.weight;
}

std::size_t fair_queue::waiting(const std::string& team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.tickets.size();
}

} // namespace almondmoor
