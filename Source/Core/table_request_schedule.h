// Decides when a host asks other hosts for the tables of the platform's store, and which.
//
// Usually a host learns of changes from the store or from the neighbour that reads it. A
// host that starts while the store does not respond asks a neighbour for the tables, and
// hosts of a data centre to which the store responds nowhere ask other data centres for
// what changed.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"
#include "Core/name_table.h"

#include <cstdint>
#include <optional>
#include <random>

namespace almondmoor {

// Whom a host asks for tables.
enum class table_source {
    None,
    Neighbour,
    OtherDataCentre
};

inline constexpr name_table<table_source, 3> tableSourceNames { {
    { table_source::None, "none" },
    { table_source::Neighbour, "neighbour" },
    { table_source::OtherDataCentre, "other-data-centre" },
} };

struct table_request_settings {
    // Time within which the store should have responded to a host that starts.
    duration startWait = std::chrono::milliseconds(300);
    // Age of the latest confirmation from which on other data centres are asked.
    duration maxConfirmationAge = std::chrono::milliseconds(1500);
    // Time between two requests of one host: at least minInterval, and longer in a large
    // data centre, whose hosts together ask about once per intervalPerHost. The first
    // requests for changes are spread over the same time.
    duration minInterval = std::chrono::milliseconds(500);
    duration intervalPerHost = std::chrono::milliseconds(100);
};

class table_request_schedule {
public:
    table_request_schedule(table_request_settings settings, instant startedAt, std::uint64_t seed)
        : m_settings(settings)
        , m_startedAt(startedAt)
        , m_random(seed)
    {
    }

    // What a host knows.
    struct knowledge {
        // Whether it lacks a table entirely.
        bool lacksTable = false;
        // When the store last responded to a reader of this data centre, or distantPast.
        instant confirmedAt = distantPast;
        // The number of hosts in this data centre, this one included.
        unsigned hosts = 1;
    };

    // Returns whom to ask now.
    table_source next(const knowledge&, instant now);

private:
    table_source chooseSource(const knowledge&, instant now) const;
    duration firstDelay(const knowledge&);
    duration interval(unsigned hosts);
    duration randomDuration(duration shortest, duration longest);

    table_request_settings m_settings;
    instant m_startedAt;
    std::mt19937_64 m_random;
    // When the next request is due, if there is something to ask for.
    std::optional<instant> m_nextAt;
    // Requests for tables that this host lacks. The neighbours may lack them too, so these go
    // to neighbours and to other data centres in turn.
    unsigned m_requestCount = 0;
};

} // namespace almondmoor
