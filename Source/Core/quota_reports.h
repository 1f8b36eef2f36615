// How the hosts of a data centre tell each other which tokens of teams' rates they used for requests, and which they moved
// to or from other data centres.
//
// Reports carry totals since the sender's start, so that the next report makes up for a lost one. They list a team only
// for a while after its totals changed.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/neighbour_report.h"
#include "Core/team_quota.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondmoor {

class quota_reports {
public:
    // Adds the totals of this host to its next report, with what it used and moved since the last one.
    void addTo(neighbour_report&, team_quota&, instant now);

    // Applies the totals of a neighbour: deducts and adds the tokens that it used and moved since its last report that
    // listed the team. With countsFromFirst, all that it did since its start counts; otherwise only what it did after the
    // first report that this host hears.
    void apply(const neighbour_report&, bool countsFromFirst, team_quota&, instant now);

private:
    struct admitted_row {
        admitted_count count;
        instant changedAt = distantPast;
    };
    struct moved_row {
        moved_total total;
        instant changedAt = distantPast;
    };
    // Latest known totals of a neighbour by team.
    struct neighbour_row {
        std::uint64_t incarnation = 0;
        std::map<std::string, std::uint64_t> admitted;
        std::map<std::string, team_quota::moved_tokens> moved;
    };

    void addAdmitted(neighbour_report&, team_quota&, instant now);
    void addMoved(neighbour_report&, team_quota&, instant now);
    static void applyAdmitted(neighbour_row&, const neighbour_report&, bool countsAll, team_quota&, instant now);
    static void applyMoved(neighbour_row&, const neighbour_report&, bool countsAll, team_quota&, instant now);

    // What this host did since its start, by team.
    std::map<std::string, admitted_row> m_admitted;
    std::map<std::string, moved_row> m_moved;
    std::map<std::string, neighbour_row> m_neighbours;
};

} // namespace almondmoor
