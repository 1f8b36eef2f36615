// Distributes the token bucket of each team over the hosts of the fleet.
//
// A share is a part of a team's token bucket: a part of its rate, a part of its
// burst and some tokens. Shares are moved between hosts, never copied: over any
// window a set of shares admits at most the sum of their bursts plus the sum of
// their rates times the window, however often they were moved.
//
// Each team has a home host, which owns the part of the bucket that is not lent
// to a holder. A holder reports what it holds and needs, and the home replies
// with a grant. The home records a loan before it sends the grant, and a holder
// deducts what it returns before it sends the report. A lost message therefore
// never creates allowance; the allowance in it is missing until the next report
// restores the balance.

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

// A token bucket that holds a part of a team's rate and burst.
struct share {
    double ratePerSecond = 0;
    double burst = 0;
    // Invariant: 0 <= tokens <= burst.
    double tokens = 0;
    instant updatedAt;

    // Adds the tokens that have accrued since the last call, up to the burst.
    void accrue(instant now);

    // Takes one token. Returns false if less than one token is left.
    bool take(instant now);
};

// Sent by a holder to a team's home. The rate, burst and tokens are what the
// holder still holds after deducting what it returns, not differences.
struct share_report {
    std::string team;
    // Epoch of the latest assignment of a home that the holder knows.
    config_version epoch = 0;
    // Increases with each report of this holder about this team. The holder
    // applies only the grant for its newest report.
    std::uint64_t sequence = 0;
    double ratePerSecond = 0;
    double burst = 0;
    double returnedTokens = 0;
    // Requests per second that arrive at the holder, including refused ones.
    double demandPerSecond = 0;
    // Tokens needed for the requests that are waiting now.
    double wantedTokens = 0;
    // Tokens still held; at most `burst`.
    double heldTokens = 0;
    // Sequence of the latest report whose grant the holder applied. From it the
    // home recognises a lost grant and takes its tokens back.
    std::uint64_t appliedSequence = 0;
};

// A home's reply to a share_report.
struct share_grant {
    std::string team;
    config_version epoch = 0;
    std::uint64_t sequence = 0;
    double addedRate = 0;
    double addedBurst = 0;
    double addedTokens = 0;
    // The most that the holder should keep. It returns the rest with its next report.
    double targetRate = 0;
    double targetBurst = 0;
    double targetTokens = 0;
    // Time after which a holder that still lacks tokens should send its next report.
    std::uint32_t retryAfterMs = 0;
};

// Sent by a team's home to its successor: the part of the bucket that is not
// lent. The old home no longer grants anything when it sends this.
struct share_handover {
    std::string team;
    // Epoch of the successor.
    config_version epoch = 0;
    double ratePerSecond = 0;
    double burst = 0;
    double tokens = 0;
};

struct addressed_handover {
    // Name of the host that receives the handover.
    std::string to;
    share_handover handover;
};

struct allowance_settings {
    // Time over which a holder's demand is averaged.
    duration demandWindow = std::chrono::seconds(1);
    // A holder without requests for this long returns its whole share.
    duration idleTimeout = std::chrono::seconds(5);
    // Minimum time between two reports about one team, used while the holder
    // lacks tokens or has tokens to return.
    duration minReportInterval = std::chrono::milliseconds(10);
    // Regular time between two reports about one team.
    duration reportInterval = std::chrono::milliseconds(250);
    // Time after which a report without a grant counts as lost. Until then no
    // other report is sent, since only the grant for the newest one is applied.
    duration grantTimeout = std::chrono::milliseconds(500);
    // Time for which a share of an earlier epoch may be used before the new home
    // has registered it.
    duration registrationGrace = std::chrono::seconds(2);
    // A holder is lent a part of the rate only if its demand and its
    // proportional part of the rate are both at least this, in requests per
    // second. Otherwise it borrows whole tokens.
    double minLentRate = 5.0;
};

// The shares of all teams that one host holds.
class allowance_holder {
public:
    explicit allowance_holder(allowance_settings settings)
        : m_settings(settings)
    {
    }

    // Counts an arriving request towards the team's demand.
    void recordDemand(const std::string& team, instant now);

    // Takes one token of a team's share. Returns false if there is none. The
    // caller must have checked that the host is fresh.
    bool take(const std::string& team, instant now);

    // Puts back the token of a request that was not run.
    void returnToken(const std::string& team, instant now);

    // Sets the number of requests that wait for tokens of a team.
    void setWaitingRequests(const std::string& team, unsigned waitingRequests);

    // Applies a newer configuration. Shares whose home has changed must be
    // registered with the new home within the grace time; they expire at once if
    // the host was not fresh when it received the change. All shares expire at once
    // if the host is no longer a member, since the homes then lend them to others.
    void applyConfiguration(const configuration&, bool wasFresh, bool isMember, instant now);

    // Returns the reports that are due. What they return to the homes is deducted
    // from the held shares.
    std::vector<share_report> dueReports(instant now);

    // Returns reports that give all shares back to their homes, for a planned stop.
    std::vector<share_report> finalReports(instant now);

    // Adds a grant to the held share. Only the grant for the newest report is
    // applied, so late and repeated grants have no effect.
    void applyGrant(const share_grant&, instant now);

    // Returns the held share of a team, with tokens accrued up to `now`.
    share heldShare(const std::string& team, instant now);

    std::size_t teamCount() const { return m_rows.size(); }

private:
    struct team_row {
        share held;
        config_version epoch = 0;
        std::uint64_t sequence = 0;
        std::uint64_t appliedSequence = 0;
        bool isAwaitingGrant = false;
        double demandPerSecond = 0;
        instant demandUpdatedAt = distantPast;
        instant lastArrivalAt = distantPast;
        std::optional<instant> reportedAt;
        // When the share expires unless its new home registers it before; empty if
        // the share is registered.
        std::optional<instant> expiresAt;
        unsigned waitingRequests = 0;
        double targetRate = 0;
        double targetBurst = 0;
        double targetTokens = 0;
        // Time from the latest report until the next one while tokens are missing.
        duration retryDelay {};
        // True if the latest grant left the holder with tokens above its target,
        // which it can return.
        bool hasExcessTokens = false;
    };

    void decayDemand(team_row&, instant now) const;
    void clearIfExpired(team_row&, instant now) const;
    bool isReportDue(const team_row&, instant now) const;
    bool isIdle(const team_row&, instant now) const;
    share_report makeReport(const std::string& team, team_row&, bool returnAll, instant now);

    allowance_settings m_settings;
    std::map<std::string, team_row> m_rows;
    std::map<unsigned, config_version> m_epochs;
    // Homes lend only to members.
    bool m_isMember = false;
    // Sequences are shared by all teams, so that a row that is removed and
    // created again never reuses a sequence.
    std::uint64_t m_nextSequence = 1;
};

// Lends the allowance of the teams whose home is this host.
class allowance_home {
public:
    allowance_home(allowance_settings settings, duration fence)
        : m_settings(settings)
        , m_fence(fence)
    {
    }

    // Applies a newer configuration: takes over newly assigned shards, hands
    // over those assigned elsewhere, applies changed rates and marks the loans
    // of holders that are no longer members.
    void applyConfiguration(const configuration&, const std::string& self, std::uint64_t selfIncarnation, instant now);

    // Records that a majority of the members holds the log up to a version. This
    // starts the wait after which unregistered shares of an earlier epoch, and the
    // shares of removed holders, can no longer be in use.
    void recordConfirmedVersion(config_version, instant now);

    // Records a holder's report and returns the grant for it. Returns nothing if
    // this host is not the team's home at the report's epoch, the report is not
    // newer than the last one, or the holder is not a member.
    std::optional<share_grant> handleReport(const std::string& holder, std::uint64_t holderIncarnation, const share_report&, instant now);

    // Returns and clears the handovers that applyConfiguration() created.
    std::vector<addressed_handover> takeHandovers();

    // Adds the previous home's pool to this one. Handovers that are repeated,
    // late or of a team with another home have no effect.
    void acceptHandover(const share_handover&, instant now);

    std::size_t teamCount() const { return m_rows.size(); }

    // Returns the sum of all loans of a team.
    share totalLent(const std::string& team) const;

    // Returns the part of a team's bucket that is not lent, as of its latest update.
    share pool(const std::string& team) const;

private:
    struct holder_key {
        std::string name;
        std::uint64_t incarnation = 0;
        bool operator<(const holder_key& other) const { return std::tie(name, incarnation) < std::tie(other.name, other.incarnation); }
    };

    struct loan_row {
        double ratePerSecond = 0;
        double burst = 0;
        std::uint64_t sequence = 0;
        double demandPerSecond = 0;
        double heldTokens = 0;
        // Tokens that the holder wanted but that were not granted.
        double unmetTokens = 0;
        // The latest grant. Its tokens go back to the pool if it is lost.
        std::uint64_t grantSequence = 0;
        double grantedTokens = 0;
        instant reportedAt = distantPast;
        // The version at which the holder was no longer a member, and the instant
        // from which its share can no longer be in use.
        std::optional<config_version> removedAtVersion;
        std::optional<instant> reclaimAt;
    };

    struct team_row {
        double ratePerSecond = 0;
        double burst = 0;
        config_version epoch = 0;
        // The part of the bucket that is not lent.
        share pool;
        std::map<holder_key, loan_row> loans;
        // After a takeover: what hosts may still hold under the earlier epoch and
        // have not registered here. This part is neither lent nor in the pool.
        double unregisteredRate = 0;
        double unregisteredBurst = 0;
        // True from a takeover until every share of the earlier epoch is either
        // registered here or expired.
        bool isRegistrationOpen = false;
        bool hasHandover = false;
        std::optional<instant> registrationEndsAt;
    };

    void updatePool(team_row&, instant now) const;
    void setTargets(const team_row&, const share_report&, share_grant&, instant now) const;
    static std::uint32_t retryDelayMs(const team_row&, double missingTokens);
    static double totalDemand(const team_row&, duration ttl, instant now);

    allowance_settings m_settings;
    // Time after the confirmation of a version by which every host either holds
    // that version or has stopped using its shares.
    duration m_fence;
    std::map<std::string, team_row> m_rows;
    // Epochs of the shards whose home this host was in the last applied
    // configuration. A team that is later added to one of them is new, so no
    // shares of an earlier epoch exist.
    std::map<unsigned, config_version> m_shards;
    std::vector<addressed_handover> m_handovers;
    config_version m_confirmedVersion = 0;
    // Incarnations of the members.
    std::map<std::string, std::uint64_t> m_members;
};

} // namespace almondmoor
