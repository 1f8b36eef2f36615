// Each team's rate and burst, kept over all hosts without a message per request.
//
// A data centre owns an equal part of every team's rate, and its hosts share
// that part: each tells the others what it admitted and takes their admissions
// off its own bucket. A host that hears only some of its neighbours uses only
// the part that falls to those it hears and itself, so that the two sides of a
// partition never use more than the whole. Nothing is lent, so nothing is lost
// when hosts stop.
//
// The class has no lock and no clock.

#pragma once

#include "Core/core_time.h"
#include "Core/serving_plan.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondmoor {

struct quota_settings {
    // Data centres among which rates are divided.
    unsigned dataCentres = 1;
    // Requests beyond rate and burst that the operators tolerate in a window, for
    // the whole fleet; half of it widens the buckets.
    double slack = 0;
    // Part of a bucket that is full when a host starts, since the host may have
    // emptied it right before.
    double firstFill = 0.3;
};

class team_quota {
public:
    explicit team_quota(quota_settings settings)
        : m_settings(settings)
    {
    }

    // Follows the teams of a plan. A bucket never holds more than its new burst.
    void adopt(const serving_plan&, instant now);

    // Sets the hosts of this data centre: how many exist and how many of them,
    // this one included, can be heard.
    void setNeighbours(unsigned known, unsigned heard);

    // Takes a token for a request. Returns false if the team's part is used up.
    bool take(const std::string& team, instant now);

    // Gives back the token of a request that was not run.
    void putBack(const std::string& team);

    // Takes off what a neighbour has admitted.
    void noteRemote(const std::string& team, double count, instant now);

    // Returns whether less than half of the team's part is left.
    bool isScarce(const std::string& team) const;

    // Returns when the next token is expected.
    duration nextTokenIn(const std::string& team, instant now) const;

    // Returns what this host admitted since the last call, by team.
    std::map<std::string, unsigned> takeAdmitted();

private:
    struct row {
        double ratePerSecond = 0;
        double burst = 0;
        double level = 0;
        instant filledAt = distantPast;
        unsigned admitted = 0;
    };

    double part() const;
    double depthOf(const row&) const;
    void fill(row&, instant now) const;

    quota_settings m_settings;
    unsigned m_known = 1;
    unsigned m_heard = 1;
    std::map<std::string, row> m_rows;
};

} // namespace almondmoor
