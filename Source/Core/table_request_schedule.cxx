// Implements table_request_schedule: whom a host asks for tables, and how often.

#include "Core/table_request_schedule.h"

#include <algorithm>

namespace almondmoor {

table_source table_request_schedule::next(const knowledge& known, instant now)
{
    const table_source source = chooseSource(known, now);
    if (source == table_source::None) {
        m_nextAt.reset();
        return source;
    }
    if (!m_nextAt)
        m_nextAt = now + firstDelay(known);
    if (now < *m_nextAt)
        return table_source::None;
    m_nextAt = now + interval(known.hosts);
    m_requestCount += known.lacksTable ? 1 : 0;
    return source;
}

table_source table_request_schedule::chooseSource(const knowledge& known, instant now) const
{
    if (known.lacksTable) {
        if (now - m_startedAt < m_settings.startWait)
            return table_source::None;
        return m_requestCount % 2 ? table_source::OtherDataCentre : table_source::Neighbour;
    }
    const instant confirmedAt = std::max(known.confirmedAt, m_startedAt);
    return now - confirmedAt < m_settings.maxConfirmationAge ? table_source::None : table_source::OtherDataCentre;
}

duration table_request_schedule::firstDelay(const knowledge& known)
{
    // What the first host gets it relays to the others, which then have less to ask for.
    const duration longest = known.lacksTable ? duration::zero() : m_settings.intervalPerHost * (std::max(1U, known.hosts) - 1);
    return randomDuration(duration::zero(), longest);
}

duration table_request_schedule::interval(unsigned hosts)
{
    const duration mean = std::max<duration>(m_settings.minInterval, m_settings.intervalPerHost * hosts);
    return std::max(m_settings.minInterval, randomDuration(mean / 2, mean * 3 / 2));
}

duration table_request_schedule::randomDuration(duration shortest, duration longest)
{
    std::uniform_int_distribution<duration::rep> distribution(shortest.count(), longest.count());
    return duration(distribution(m_random));
}

} // namespace almondmoor
