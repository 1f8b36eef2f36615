// When a host reports to its neighbours.
//
// A report costs every neighbour a wake-up, so the number of wake-ups of a data
// centre grows with the square of its hosts. News that neighbours need at once is
// told at once; the rest waits for the next report that is due. When everything
// fails, that is bounded too: beyond a few reports in series, it waits like the rest.
//
// The class has no lock and no clock.

#pragma once

#include "Core/core_time.h"

#include <algorithm>

namespace almondmoor {

// How soon neighbours should hear of something.
enum class news_urgency {
    // With the next report.
    Low,
    // Soon: a team's allowance runs short.
    Raised,
    // At once: an attempt failed, or an upstream is full.
    High
};

struct pacing_settings {
    // Time between a report and the next, by the urgency of what there is to tell.
    duration highInterval = std::chrono::milliseconds(4);
    duration raisedInterval = std::chrono::milliseconds(40);
    duration lowInterval = std::chrono::milliseconds(250);
    // A report goes out at least this often.
    duration heartbeatInterval = std::chrono::milliseconds(700);
    // Reports of high urgency that each host takes in from all its neighbours
    // together, per second, and those that one neighbour may send in series.
    double highTakenPerSecond = 110;
    double longestSeries = 6;
};

class report_pacing {
public:
    explicit report_pacing(pacing_settings settings = {})
        : m_settings(settings)
    {
    }

    // Sets how many neighbours take each report.
    void setNeighbours(unsigned count) { m_neighbours = std::max(1U, count); }

    // Notes that there is something to tell. Returns whether to send a report now.
    bool noteNews(news_urgency urgency, instant now)
    {
        m_hasNews = true;
        m_urgency = std::max(m_urgency, urgency);
        refill(now);
        return urgency != news_urgency::Low && now >= dueAt();
    }

    void noteSent(instant now)
    {
        refill(now);
        if (m_hasNews && m_urgency == news_urgency::High)
            m_credit = std::max(0.0, m_credit - 1);
        m_sentAt = now;
        m_hasNews = false;
        m_urgency = news_urgency::Low;
    }

    // Returns when the next report is due.
    instant dueAt() const { return m_sentAt + interval(); }

private:
    duration interval() const
    {
        if (!m_hasNews)
            return m_settings.heartbeatInterval;
        switch (m_urgency) {
        case news_urgency::High:
            return m_credit < 1 ? m_settings.lowInterval : m_settings.highInterval;
        case news_urgency::Raised:
            return m_settings.raisedInterval;
        case news_urgency::Low:
            break;
        }
        return m_settings.lowInterval;
    }

    void refill(instant now)
    {
        if (now <= m_refilledAt)
            return;
        const double refilled = toSeconds(now - m_refilledAt) * m_settings.highTakenPerSecond / m_neighbours;
        m_credit = std::min(m_settings.longestSeries, m_credit + refilled);
        m_refilledAt = now;
    }

    pacing_settings m_settings;
    unsigned m_neighbours = 1;
    // Reports of high urgency that may be sent now; refilled up to the longest series.
    double m_credit = 0;
    instant m_refilledAt = distantPast;
    instant m_sentAt = distantPast;
    bool m_hasNews = false;
    news_urgency m_urgency = news_urgency::Low;
};

} // namespace almondmoor
