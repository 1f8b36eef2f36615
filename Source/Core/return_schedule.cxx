#include "Core/return_schedule.h"

#include <algorithm>

namespace almondmoor {

instant return_schedule::firstFree(const service_row& row, unsigned priority, instant earliest)
{
    // What more urgent requests were told is taken for this priority too.
    for (const auto& [other, at] : row.firstFreeAt) {
        if (other <= priority)
            earliest = std::max(earliest, at);
    }
    return earliest;
}

duration return_schedule::timeUntilReturn(const refused_request& request, instant now)
{
    service_row& row = m_services[request.service];
    const auto known = row.returnsAt.find(request.client);
    if (known != row.returnsAt.end() && known->second > now)
        return known->second - now;
    const instant returnsAt = firstFree(row, request.priority, now + request.timeUntilRoom);
    const duration wait = returnsAt - now;
    if (toSeconds(wait) > toSeconds(request.timeLeft) * m_settings.usefulFraction)
        return wait;
    const double roomPerSecond = std::max(m_settings.minRoomPerSecond, request.roomPerSecond * m_settings.returningFraction);
    const duration spacing = fromSeconds(1 / roomPerSecond);
    row.firstFreeAt[request.priority] = returnsAt + spacing;
    // The less urgent give way by as much.
    for (auto it = row.firstFreeAt.upper_bound(request.priority); it != row.firstFreeAt.end(); ++it)
        it->second = std::max(it->second, now) + spacing;
    if (row.returnsAt.size() >= m_settings.maxClients)
        std::erase_if(row.returnsAt, [now](const auto& it) { return it.second <= now; });
    if (row.returnsAt.size() < m_settings.maxClients)
        row.returnsAt[request.client] = returnsAt;
    return wait;
}

} // namespace almondmoor
