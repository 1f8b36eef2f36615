// A team's rate and burst as a conserved quantity that moves between hosts.
//
// A share is a part of a team's token bucket: a part of its rate, a part of its
// burst and some tokens. Parts are moved, never copied: over any window a set
// of shares admits at most the sum of their bursts plus the sum of their rates
// times the window, however often they were moved.
//
// Each team has a home host, which owns what no holder has been lent. A holder
// reports what it holds and needs; the home answers with a grant. The home
// records a loan before it sends the grant, and a holder deducts what it gives
// back before it reports, so a lost message can only lose allowance until the
// next report restores the balance.

#pragma once

#include "Core/configuration.h"
#include "Core/core_time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace almondmoor {

struct share {
    double ratePerSecond = 0;
    double burst = 0;
    // Invariant: 0 <= tokens <= burst.
    double tokens = 0;
    instant updatedAt;

    // Adds the tokens that have accrued since the last call, up to the burst.
    void accrue(instant now);

    // Takes one token if there is one.
    bool take(instant now);
};

// What a holder tells a team's home. Holdings are absolute, after deducting
// what is given back.
struct share_report {
    std::string team;
    // Epoch of the home's assignment that the holder knows.
    config_version epoch = 0;
    // Grows with each report of this holder about this team; only the answer to
    // the newest one is used.
    std::uint64_t sequence = 0;
    double ratePerSecond = 0;
    double burst = 0;
    double returnedTokens = 0;
    // Requests per second that arrive at the holder, refused ones included.
    double demandPerSecond = 0;
    // Tokens wanted for requests that wait now.
    double wantedTokens = 0;
    // Tokens still held, at most the burst.
    double heldTokens = 0;
    // Sequence of the latest report whose answer was used. The home takes back
    // the tokens of an answer that was lost.
    std::uint64_t appliedSequence = 0;
};

// What a home answers.
struct share_grant {
    std::string team;
    config_version epoch = 0;
    std::uint64_t sequence = 0;
    double addedRate = 0;
    double addedBurst = 0;
    double addedTokens = 0;
    // What the holder should keep at most; it returns the rest with its next report.
    double targetRate = 0;
    double targetBurst = 0;
    double targetTokens = 0;
    // Time after which a holder that is still short should ask again.
    std::uint32_t waitMs = 0;
};

// What a team's home hands to its successor: the part that no holder has. The
// old home grants nothing any more when it sends this.
struct share_handover {
    std::string team;
    // Epoch of the successor.
    config_version epoch = 0;
    double ratePerSecond = 0;
    double burst = 0;
    double tokens = 0;
};

// A handover and the host it goes to.
struct addressed_handover {
    std::string to;
    share_handover handover;
};

struct allowance_settings {
    // Time over which a holder's demand is averaged.
    duration demandWindow = std::chrono::seconds(1);
    // A holder with no demand for this long gives everything back.
    duration idleAfter = std::chrono::seconds(5);
    // Least time between two reports about one team.
    duration reportSpacing = std::chrono::milliseconds(10);
    // Ordinary time between two reports about one team.
    duration reportInterval = std::chrono::milliseconds(250);
    // Time after which an unanswered report counts as lost. Until then no other
    // is sent, since only the answer to the newest one is used.
    duration answerTimeout = std::chrono::milliseconds(500);
    // Time for which a share of an earlier epoch may be used before its new
    // home has registered it.
    duration registrationGrace = std::chrono::seconds(2);
    // A holder is lent a part of the rate only if its demand and its fair part
    // are at least this, in requests per second; below, it borrows whole tokens.
    double leastRateLent = 5.0;
};

// The shares that one host holds.
class allowance_holder {
public:
    explicit allowance_holder(allowance_settings settings)
        : m_settings(settings)
    {
    }

    // Counts an arriving request of a team.
    void noteDemand(const std::string& team, instant now);

    // Takes one token of a team's share. The caller has checked freshness.
    bool take(const std::string& team, instant now);

    // Gives back a token whose request was never dispatched.
    void putBack(const std::string& team, instant now);

    // Sets how many requests wait for tokens of a team.
    void setWanted(const std::string& team, unsigned waiting);

    // Adapts to a newer configuration. Shares whose home has changed must be
    // registered with the new home within the grace time. They are void at once
    // if the host was not fresh when it learned of the change, or if it has been
    // taken off the roster, since then the homes lend its shares to others.
    void adopt(const configuration&, bool wasFresh, bool isMember, instant now);

    // Returns the reports that are due and deducts what they give back.
    std::vector<share_report> dueReports(instant now);

    // Gives back everything, for a planned stop.
    std::vector<share_report> finalReports(instant now);

    // Adds a grant. An answer to any but the newest report is ignored, which is
    // what makes late and repeated answers harmless.
    void applyGrant(const share_grant&, instant now);

    // Returns what is held of a team, after accrual.
    share held(const std::string& team, instant now);

    std::size_t teamCount() const { return m_rows.size(); }

private:
    struct row {
        share held;
        config_version epoch = 0;
        std::uint64_t sequence = 0;
        std::uint64_t appliedSequence = 0;
        bool isAwaitingAnswer = false;
        double demandPerSecond = 0;
        instant demandAt = distantPast;
        instant lastArrivalAt = distantPast;
        std::optional<instant> reportedAt;
        // Set while the share awaits registration with a new home.
        std::optional<instant> voidAt;
        unsigned waiting = 0;
        double targetRate = 0;
        double targetBurst = 0;
        double targetTokens = 0;
        // Time to wait before asking again, from the latest answer.
        duration askAgainAfter {};
        // True if the home has since asked for some of the stock.
        bool hasExcess = false;
    };

    void decayDemand(row&, instant now) const;
    void dropIfVoid(row&, instant now) const;
    bool isReportDue(const row&, instant now) const;
    bool isIdle(const row&, instant now) const;
    share_report report(const std::string& team, row&, bool returnAll, instant now);

    allowance_settings m_settings;
    std::map<std::string, row> m_rows;
    std::map<unsigned, config_version> m_epochs;
    // Homes lend to hosts of the roster only.
    bool m_isMember = false;
    // Reports are numbered across all teams so that a row that was dropped and
    // made again never reuses a number.
    std::uint64_t m_nextSequence = 1;
};

// The allowance of the teams whose home is this host.
class allowance_home {
public:
    allowance_home(allowance_settings settings, duration fence)
        : m_settings(settings)
        , m_fence(fence)
    {
    }

    // Adapts to a newer configuration: takes over shards, drops lost ones,
    // follows changed rates, and notes holders that left the roster.
    void adopt(const configuration&, const std::string& self, std::uint64_t selfIncarnation, instant now);

    // Tells up to which version a majority of the roster is known to hold the
    // log, which starts the fences of takeovers and of lost holders.
    void noteConfirmed(config_version, instant now);

    // Answers a holder's report, or returns nothing if this host is not the
    // team's home at the report's epoch, the report is old, or the holder is not
    // in the roster.
    std::optional<share_grant> answer(const std::string& holder, std::uint64_t holderIncarnation, const share_report&, instant now);

    // Returns what this host must hand to other homes since it last adopted.
    std::vector<addressed_handover> takeHandovers();

    // Takes over what the previous home had in its pool. Repeated, late or
    // foreign ones have no effect.
    void accept(const share_handover&, instant now);

    std::size_t teamCount() const { return m_rows.size(); }

    // Returns the sum of what holders have been lent of a team.
    share lent(const std::string& team) const;

    // Returns what of a team no holder has, as of the latest report.
    share pool(const std::string& team) const;

private:
    struct holder_key {
        std::string name;
        std::uint64_t incarnation = 0;
        bool operator<(const holder_key& other) const { return std::tie(name, incarnation) < std::tie(other.name, other.incarnation); }
    };

    struct loan {
        double ratePerSecond = 0;
        double burst = 0;
        std::uint64_t sequence = 0;
        double demandPerSecond = 0;
        double heldTokens = 0;
        // Tokens that the holder wanted and did not get.
        double unmetTokens = 0;
        // The latest grant, in case it is lost.
        std::uint64_t grantSequence = 0;
        double grantedTokens = 0;
        instant reportedAt = distantPast;
        // The version at which the holder was gone from the roster, and the
        // instant from which its share is surely unused.
        std::optional<config_version> goneAt;
        std::optional<instant> reclaimAt;
    };

    struct row {
        double ratePerSecond = 0;
        double burst = 0;
        config_version epoch = 0;
        // The part of the bucket that no holder has.
        share pool;
        std::map<holder_key, loan> loans;
        // Takeovers: what hosts may still hold under the earlier epoch without
        // having registered it here. It is neither lent nor in the pool.
        double unregisteredRate = 0;
        double unregisteredBurst = 0;
        // True from a takeover until every share of the earlier epoch is
        // registered here or void.
        bool inCensus = false;
        bool hasHandover = false;
        std::optional<instant> censusEndsAt;
    };

    void settle(row&, instant now) const;
    void setTargets(const row&, const share_report&, share_grant&, instant now) const;
    static std::uint32_t waitForTokens(const row&, double missing);
    static double totalDemand(const row&, duration window, instant now);

    allowance_settings m_settings;
    // Time after the confirmation of a version until every host holds it or has
    // stopped using its shares.
    duration m_fence;
    std::map<std::string, row> m_rows;
    // Shards whose home this host was when it last adopted a configuration. A
    // team that appears in one of them later is new and inherits nothing.
    std::map<unsigned, config_version> m_shards;
    std::vector<addressed_handover> m_handovers;
    config_version m_confirmed = 0;
    // Incarnations of the roster's hosts.
    std::map<std::string, std::uint64_t> m_roster;
};

} // namespace almondmoor
