// Implements table_request_schedule: whom a host asks for tables, and how often.

#include "Core/table_request_schedule.h"

#include <algorithm>

namespace almondmoor {

table_source table_request_schedule::next(const knowledge& known, instant now)
{
    if (now < m_nextAt)
        return table_source::None;
    const table_source source = chooseSource(known, now);
    if (source != table_source::None)
        m_nextAt = now + interval(known.hosts);
    return source;
}

table_source table_request_schedule::chooseSource(const knowledge& known, instant now)
{
    if (known.lacksTable) {
        if (now - m_startedAt < m_settings.startWait)
            return table_source::None;
        m_asksNeighbourNext = !m_asksNeighbourNext;
        return m_asksNeighbourNext ? table_source::OtherDataCentre : table_source::Neighbour;
    }
    const instant confirmedAt = std::max(known.confirmedAt, m_startedAt);
    return now - confirmedAt < m_settings.maxConfirmationAge ? table_source::None : table_source::OtherDataCentre;
}

duration table_request_schedule::interval(unsigned hosts)
{
    const duration mean = std::max<duration>(m_settings.minInterval, m_settings.intervalPerHost * hosts);
    // The hosts of a data centre begin to ask at the same time, so their further requests are spread at random.
    std::uniform_int_distribution<duration::rep> spread(mean.count() / 2, mean.count() * 3 / 2);
    return std::max<duration>(m_settings.minInterval, duration(spread(m_random)));
}

} // namespace almondmoor
