// Enforces each team's rate and burst over all hosts without a message per request.
//
// Each data centre owns an equal fraction of every team's rate, which its hosts
// share: each host reports what it admitted, and its neighbours deduct those requests
// from their own buckets. A host that can reach only some of its neighbours uses only
// the fraction that belongs to itself and the reachable ones, so that the two sides
// of a partition together never exceed the limit. Hosts lend each other no tokens,
// so no tokens are lost when hosts stop.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"
#include "Core/serving_config.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondmoor {

struct quota_settings {
    // Number of data centres among which rates are divided.
    unsigned dataCentres = 1;
    // Requests beyond rate and burst that the operators tolerate in a window, for
    // the whole fleet. Half of them widen the buckets.
    double slack = 0;
    // Fraction of a bucket that is full when a host starts. It is below one because
    // the host may have emptied its bucket just before it restarted.
    double initialFillFraction = 0.3;
};

class team_quota {
public:
    explicit team_quota(quota_settings settings)
        : m_settings(settings)
    {
    }

    // Applies the teams of a configuration. A bucket never holds more than its new
    // capacity.
    void apply(const serving_config&, instant now);

    // Sets the number of hosts in this data centre and how many of them are
    // reachable. Both counts include this host.
    void setNeighbours(unsigned known, unsigned reachable);

    // Takes a token for a request. Returns false if this host has no token of the
    // team left.
    bool take(const std::string& team, instant now);

    // Puts the token of a request that was not run back into the bucket.
    void refund(const std::string& team);

    // Deducts the requests that a neighbour admitted from this host's bucket.
    void recordRemoteAdmissions(const std::string& team, double count, instant now);

    // Returns whether the team's bucket is less than half full.
    bool isRunningLow(const std::string& team) const;

    // Returns the expected time until the next token.
    duration timeUntilToken(const std::string& team, instant now) const;

    // Returns the number of requests that this host admitted since the last call,
    // by team.
    std::map<std::string, unsigned> takeAdmitted();

private:
    struct token_bucket {
        double ratePerSecond = 0;
        double burst = 0;
        // Negative if the neighbours admitted more than the bucket held.
        double tokens = 0;
        instant refilledAt = distantPast;
        // Requests admitted since the last takeAdmitted().
        unsigned admitted = 0;
    };

    // Returns the fraction of each team's rate and burst that this host may use.
    double ownFraction() const;
    double capacityOf(const token_bucket&) const;
    void refill(token_bucket&, instant now) const;

    quota_settings m_settings;
    unsigned m_known = 1;
    unsigned m_reachable = 1;
    std::map<std::string, token_bucket> m_buckets;
};

} // namespace almondmoor
