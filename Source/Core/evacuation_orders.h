// Operators' orders to evacuate data centres: while an order stands, no request may be sent
// to an upstream of that data centre.
//
// An order is a row of a table, named by its data centre. The class keeps the orders as of
// the latest known state of the table, with the time at which this host learned of them. It
// holds what it last knew until it is told otherwise.
//
// The class has no lock and no clock: callers serialize access and pass the time.

#pragma once

#include "Core/core_time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

// A change of one order, or an order of the whole table.
struct evacuation_change {
    std::string dataCentre;
    // Version of the store at which the order was written or removed.
    std::uint64_t version = 0;
    bool isRemoved = false;
};

// Changes of the orders in the order of their versions, or all orders.
struct evacuation_update {
    bool isFullTable = false;
    std::vector<evacuation_change> changes;
};

// What an update changed for one data centre.
struct evacuation_event {
    std::string dataCentre;
    std::uint64_t version = 0;
    bool isEnded = false;
    // Time since this host learned of the order that has ended.
    duration age {};
};

class evacuation_orders {
public:
    // Applies an update. Returns the data centres whose evacuation began or ended with it. An
    // order that was removed and written again, or the reverse, within one update counts by
    // its last change.
    std::vector<evacuation_event> apply(const evacuation_update&, instant now);

    bool isEvacuated(const std::string& dataCentre) const { return m_orders.count(dataCentre) > 0; }

    // Returns the data centres whose evacuation is ordered.
    std::set<std::string> dataCentres() const;

    // Returns when this host learned that the last evacuation of a data centre ended, or
    // distantPast if it knows of none, or if it is evacuated now.
    instant endedAt(const std::string& dataCentre) const;

private:
    struct order {
        std::uint64_t version = 0;
        instant learnedAt = distantPast;
    };

    std::map<std::string, order> m_orders;
    // Ends within the last endedTtl, by data centre. Invariant: holds none that is evacuated.
    std::map<std::string, instant> m_endedAt;
};

} // namespace almondmoor
