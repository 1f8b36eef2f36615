// Enforces each team's rate and burst over all hosts without a message per request.
//
// Each data centre owns an equal fraction of every team's rate, which its hosts
// share: each host reports what it admitted, and its neighbours deduct those requests
// from their own buckets. A host that can reach only some of its neighbours uses only
// the fraction that belongs to itself and the reachable ones, so that the two sides
// of a partition together never exceed the limit.
//
// A team's requests seldom spread evenly, so one data centre moves tokens to another
// that runs short. The lender deducts the tokens before it sends them. A message that
// is lost takes its tokens along, and the rates of both refill what is missing, so the
// data centres together never hold more than the limit.
//
// The class takes no lock and reads no clock.

#pragma once

#include "Core/core_time.h"
#include "Core/serving_config.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondmoor {

struct quota_settings {
    // Number of data centres among which rates are divided.
    unsigned dataCentres = 1;
    // Requests beyond rate and burst that the operators tolerate in a window, for
    // the whole fleet. Half of them or more widen the buckets.
    double slack = 0;
    // The same as a fraction of what rate and burst allow in a window. Half of it widens
    // the buckets too.
    double overage = 0;
    duration window = std::chrono::seconds(5);
    // Largest fraction of a bucket that is full when a host starts. It is below one because
    // the host may have emptied its bucket just before it restarted.
    double initialFillFraction = 0.3;
    // Whether the whole fleet starts for the first time, so that no earlier process
    // used any tokens and all buckets are full.
    bool isFirstStart = false;
};

// A team that is short of tokens in this data centre.
struct token_shortage {
    std::string team;
    // Tokens that would cover the demand of the near future.
    double missing = 0;
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

    // Returns the teams with recent requests whose tokens may run out soon.
    std::vector<token_shortage> shortages(instant now);

    // Takes tokens for another data centre out of the bucket: at most the given number,
    // and none that this data centre will soon need itself. Returns how many.
    double lend(const std::string& team, double tokens, instant now);

    // Adds tokens that another data centre lent, as far as the bucket has room.
    void borrow(const std::string& team, double tokens, instant now);

    // Adds tokens that a neighbour borrowed for this data centre, or deducts tokens that
    // it lent.
    void recordRemoteBorrowing(const std::string& team, double tokens, instant now);
    void recordRemoteLending(const std::string& team, double tokens, instant now);

    // Tokens that this host moved between data centres since the last call, by team.
    struct moved_tokens {
        double lent = 0;
        double borrowed = 0;
    };
    std::map<std::string, moved_tokens> takeMoved();

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
        // Average rate of the team's requests in this data centre, per second, as of
        // demandAt.
        double demand = 0;
        instant demandAt = distantPast;
    };

    // Returns the fraction of each team's rate and burst that this host may use.
    double ownFraction() const;
    // Returns the requests beyond rate and burst that are tolerated in a window, and how
    // many of them widen the buckets.
    double toleratedExcess(const token_bucket&) const;
    double usedExcess(const token_bucket&) const;
    // Returns what the buckets of all data centres together hold at most.
    double fullBucket(const token_bucket&) const;
    double initialTokens(const token_bucket&) const;
    double capacityOf(const token_bucket&) const;
    void refill(token_bucket&, instant now) const;
    // Returns the bucket of a team that has a limit, refilled, or null.
    token_bucket* limitedBucket(const std::string& team, instant now);
    // Counts requests of a team that arrived in this data centre.
    void recordDemand(const std::string& team, token_bucket&, double count, instant now);
    static double demandOf(const token_bucket&, instant now);

    quota_settings m_settings;
    unsigned m_known = 1;
    unsigned m_reachable = 1;
    // Largest value of ownFraction() since the first call of setNeighbours().
    double m_largestFraction = 0;
    std::map<std::string, token_bucket> m_buckets;
    // Teams whose demand is not negligible. Bounds the work of shortages().
    std::set<std::string> m_active;
    std::map<std::string, moved_tokens> m_moved;
};

} // namespace almondmoor
