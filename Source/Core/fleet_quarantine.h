// The quarantine of requests that crash upstreams, as the hosts of a fleet share it.
//
// A host tells a new quarantine to its neighbours and to the other data centres at once. As long as it stands, all
// hosts that know of it tell it again from time to time. So a host learns of it that was not there, or could not be
// reached, when it began: one that was started, restarted, frozen or cut off, or whose whole data centre was. The
// hosts of a data centre share the work: each tells seldom if they are many.
//
// What is told carries the time of the last crash, and crash_quarantine says why telling it again prolongs nothing.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/crash_quarantine.h"
#include "Core/name_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace almondmoor {

struct fleet_quarantine_settings {
    crash_quarantine_settings quarantine { 2, std::chrono::seconds(60) };
    // Time for which a crash counts against the request that caused it.
    duration crashTtl = std::chrono::seconds(30);
    // Time between two reports of one host that tell all quarantines: at least minRepeatInterval, and longer in a
    // large data centre, whose hosts together report about once per repeatIntervalPerHost.
    duration minRepeatInterval = std::chrono::milliseconds(500);
    duration repeatIntervalPerHost = std::chrono::milliseconds(250);
    // Highest number of quarantines that one report tells again. If there are more, each report tells a random part.
    std::size_t maxRepeated = 256;
};

// How a host learned of a quarantine.
enum class quarantine_source {
    // From crashes that it saw or that its neighbours reported.
    Crashes,
    // A neighbour told of it.
    Neighbour,
    // Another data centre told of it.
    DataCentre
};

inline constexpr name_table<quarantine_source, 3> quarantineSourceNames { {
    { quarantine_source::Crashes, "crashes" },
    { quarantine_source::Neighbour, "neighbour" },
    { quarantine_source::DataCentre, "data-centre" },
} };

// A quarantine that began at this host.
struct quarantine_change {
    std::uint64_t fingerprint = 0;
    quarantine_source source = quarantine_source::Crashes;
    // Time since the last crash, when the host learned of it.
    duration age {};
};

class fleet_quarantine {
public:
    fleet_quarantine(const fleet_quarantine_settings& settings, std::uint64_t seed)
        : m_settings(settings)
        , m_quarantine(settings.quarantine)
        , m_random(seed)
    {
    }

    // Records that a request crashed an upstream. Further crashes of the same upstream within the lifetime of a crash
    // don't count.
    void recordCrash(std::uint64_t fingerprint, const std::string& upstream, instant now);

    // Records what a neighbour told.
    void recordFromNeighbour(const std::vector<quarantined_request>&, instant now);

    // Records what another data centre told. What is new goes into the next report to the neighbours.
    void recordFromDataCentre(const std::vector<quarantined_request>&, instant now);

    bool isQuarantined(std::uint64_t fingerprint, instant now) const { return m_quarantine.isQuarantined(fingerprint, now); }
    std::size_t quarantinedCount(instant now) const { return m_quarantine.quarantinedRequests(now).size(); }

    // Returns whether the neighbours should get a report at once.
    bool hasNews() const { return !m_forNeighbours.empty(); }

    // Returns what the next report to the neighbours tells. The number of hosts is that of the reachable ones in this
    // data centre, this one included.
    std::vector<quarantined_request> takeForNeighbours(unsigned hosts, instant now);

    // Returns what the next report to other data centres tells. takeForNeighbours() adds to it.
    std::vector<quarantined_request> takeForDataCentres() { return std::exchange(m_forDataCentres, {}); }

    // Returns the quarantines that began since the last call.
    std::vector<quarantine_change> takeChanges() { return std::exchange(m_changes, {}); }

    // Forgets what is too old to matter.
    void tick(instant now);

private:
    struct crash_row {
        std::set<std::string> upstreams;
        instant lastCrashAt = distantPast;
    };

    // Records a quarantine. Returns whether it begins here.
    bool record(const quarantined_request&, quarantine_source, instant now);
    // Returns the time until this host tells all quarantines again.
    duration nextInterval(unsigned hosts);
    std::vector<quarantined_request> chooseRepeated(instant now);

    fleet_quarantine_settings m_settings;
    crash_quarantine m_quarantine;
    std::mt19937_64 m_random;
    // Recent crashes by the fingerprint of the request.
    std::map<std::uint64_t, crash_row> m_crashes;
    instant m_repeatAt = distantPast;
    std::vector<quarantined_request> m_forNeighbours;
    std::vector<quarantined_request> m_forDataCentres;
    std::vector<quarantine_change> m_changes;
};

} // namespace almondmoor
