// Decides when a host sends a report to its neighbours.
//
// Each report wakes up every neighbour, so the number of wake-ups in a data centre
// grows with the square of its hosts. Updates that neighbours need immediately are
// sent immediately; all others wait for the next report that is due. A token bucket
// bounds the urgent reports for the case that everything fails: after a burst of a
// few reports, urgent updates wait as long as the others.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"

#include <algorithm>

namespace almondmoor {

// How soon neighbours should receive an update.
enum class update_urgency {
    // With the next report that is due.
    Low,
    // Soon, e.g. when a team's allowance runs low.
    Raised,
    // Immediately, e.g. when an attempt failed or an upstream is full.
    High
};

struct pacing_settings {
    // Time from one report to the next while updates are pending, by their highest
    // urgency.
    duration highInterval = std::chrono::milliseconds(4);
    duration raisedInterval = std::chrono::milliseconds(40);
    duration lowInterval = std::chrono::milliseconds(250);
    // Time from one report to the next while no update is pending.
    duration heartbeatInterval = std::chrono::milliseconds(700);
    // Maximum rate of high-urgency reports that a host receives from all its
    // neighbours together, and the maximum burst of them from one neighbour.
    double maxHighReportsPerSecond = 110;
    double maxHighBurst = 6;
};

class report_pacing {
public:
    explicit report_pacing(pacing_settings settings = {})
        : m_settings(settings)
    {
    }

    // Sets how many neighbours receive each report.
    void setNeighbours(unsigned count) { m_neighbours = std::max(1U, count); }

    // Records that there is an update to send. Returns whether to send a report now.
    bool recordUpdate(update_urgency urgency, instant now)
    {
        m_hasUpdates = true;
        m_urgency = std::max(m_urgency, urgency);
        refill(now);
        return urgency != update_urgency::Low && now >= dueAt();
    }

    void recordSent(instant now)
    {
        refill(now);
        if (m_hasUpdates && m_urgency == update_urgency::High)
            m_highTokens = std::max(0.0, m_highTokens - 1);
        m_sentAt = now;
        m_hasUpdates = false;
        m_urgency = update_urgency::Low;
    }

    // Returns when the next report is due.
    instant dueAt() const { return m_sentAt + interval(); }

private:
    duration interval() const
    {
        if (!m_hasUpdates)
            return m_settings.heartbeatInterval;
        switch (m_urgency) {
        case update_urgency::High:
            return m_highTokens < 1 ? m_settings.lowInterval : m_settings.highInterval;
        case update_urgency::Raised:
            return m_settings.raisedInterval;
        case update_urgency::Low:
            break;
        }
        return m_settings.lowInterval;
    }

    void refill(instant now)
    {
        if (now <= m_refilledAt)
            return;
        const double refilled = toSeconds(now - m_refilledAt) * m_settings.maxHighReportsPerSecond / m_neighbours;
        m_highTokens = std::min(m_settings.maxHighBurst, m_highTokens + refilled);
        m_refilledAt = now;
    }

    pacing_settings m_settings;
    unsigned m_neighbours = 1;
    // Tokens for reports of high urgency, at most maxHighBurst.
    double m_highTokens = 0;
    instant m_refilledAt = distantPast;
    instant m_sentAt = distantPast;
    bool m_hasUpdates = false;
    update_urgency m_urgency = update_urgency::Low;
};

} // namespace almondmoor
