// Implements the state of the operators' orders to evacuate data centres.

#include "Core/evacuation_orders.h"

namespace almondmoor {

namespace {

    // No upstream is cold for longer after its data centre was taken back.
    constexpr duration endedTtl = std::chrono::hours(1);

} // namespace

std::vector<evacuation_event> evacuation_orders::apply(const evacuation_update& update, instant now)
{
    // The last change of each data centre, in which an order that the whole table lacks counts as removed.
    std::map<std::string, evacuation_change> last;
    if (update.isFullTable) {
        for (const auto& [dataCentre, it] : m_orders)
            last[dataCentre] = { dataCentre, it.version, true };
    }
    for (const evacuation_change& change : update.changes)
        last[change.dataCentre] = change;

    std::vector<evacuation_event> events;
    for (const auto& [dataCentre, change] : last) {
        const auto found = m_orders.find(dataCentre);
        if (!change.isRemoved && found != m_orders.end()) {
            found->second.version = change.version;
        } else if (!change.isRemoved) {
            m_orders[dataCentre] = { change.version, now };
            m_endedAt.erase(dataCentre);
            events.push_back({ dataCentre, change.version, false, duration::zero() });
        } else if (found != m_orders.end()) {
            events.push_back({ dataCentre, change.version, true, now - found->second.learnedAt });
            m_orders.erase(found);
            m_endedAt[dataCentre] = now;
        }
    }
    std::erase_if(m_endedAt, [now](const auto& item) { return now - item.second > endedTtl; });
    return events;
}

std::set<std::string> evacuation_orders::dataCentres() const
{
    std::set<std::string> names;
    for (const auto& [dataCentre, it] : m_orders)
        names.insert(dataCentre);
    return names;
}

instant evacuation_orders::endedAt(const std::string& dataCentre) const
{
    const auto found = m_endedAt.find(dataCentre);
    return found == m_endedAt.end() ? distantPast : found->second;
}

} // namespace almondmoor
