// One host's decisions about client requests under a serving configuration: team
// quotas, the choice of upstreams, retries, and the quarantine of requests that
// crash upstreams.
//
// The class takes no lock and reads no clock. Each host guards its instance with
// one mutex.

#pragma once

#include "Core/evacuation_orders.h"
#include "Core/fleet_quarantine.h"
#include "Core/neighbour_report.h"
#include "Core/priority_admission.h"
#include "Core/quota_reports.h"
#include "Core/retry_budget.h"
#include "Core/return_schedule.h"
#include "Core/serving_config.h"
#include "Core/team_quota.h"
#include "Core/token_lending.h"
#include "Core/upstream_choice.h"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace almondmoor {

struct dispatch_settings {
    choice_settings choice;
    admission_settings admission;
    quota_settings quota;
    cold_settings cold;
    fleet_quarantine_settings quarantine;
    // Retries allowed per first attempt, over the whole fleet.
    double retryRatio = 0.1;
    // Retries beyond the ratio that the whole fleet may make in a window.
    double retrySlack = 10;
};

// The result of one finished attempt at an upstream.
struct attempt_report {
    std::string upstream;
    attempt_result result = attempt_result::Good;
    duration latency {};
    // Fingerprint of the request; used only if the upstream crashed.
    std::uint64_t fingerprint = 0;
    // Name of the request's route; empty if it has none.
    std::string route = {};
};

// How a request ended for its client.
struct request_outcome {
    std::string service;
    unsigned priority = 0;
    // Whether it got a successful response, and whether that came within the target latency.
    bool isServed = false;
    bool isWithinTarget = false;
    // Whether it was refused because the service had no room for it.
    bool lackedRoom = false;
    bool hasMadeTrial = false;
};

class dispatch_core {
public:
    dispatch_core(const dispatch_settings&, std::string host, std::string dataCentre, region_map, std::uint64_t seed);

    void applyConfig(const serving_config&, instant now);
    void applyDirectory(const upstream_directory&, instant now);

    // Applies operators' orders to evacuate data centres. Returns the evacuations that began or
    // ended.
    std::vector<evacuation_event> applyEvacuations(const evacuation_update&, instant now);

    // Returns whether nothing may be sent to the upstreams of a data centre.
    bool isEvacuated(const std::string& dataCentre) const { return m_evacuations.isEvacuated(dataCentre); }

    // Returns when this host learned that the last evacuation of a data centre ended, or
    // distantPast. The upstreams of a data centre that was taken back may be cold.
    instant evacuationEndedAt(const std::string& dataCentre) const { return m_evacuations.endedAt(dataCentre); }

    // Returns the numbers of data centres and of upstreams that are evacuated.
    std::size_t evacuatedDataCentres() const { return m_evacuations.dataCentres().size(); }
    std::size_t evacuatedUpstreams() const { return m_choice.evacuatedCount(); }

    // Sets the number of member hosts in this data centre and in the whole fleet.
    // Both counts include this host.
    void setFleetSize(unsigned neighbours, unsigned hosts);

    // Sets the member hosts, this one included.
    void setMembers(const host_map& members, instant now);

    // Treats the upstreams of a data centre as cold until an instant, for services that limit what cold upstreams get.
    void suspectCold(const std::string& dataCentre, instant until, instant now) { m_choice.cold().suspectDataCentre(dataCentre, until, now); }

    // Returns the changes of cold upstreams since the last call, and their number now.
    std::vector<cold_change> takeColdChanges() { return m_choice.cold().takeChanges(); }
    std::size_t coldUpstreams(instant now) { return m_choice.cold().coldCount(now); }

    bool takeToken(const std::string& team, instant now) { return m_quota.take(team, now); }
    void refundToken(const std::string& team) { m_quota.refund(team); }
    bool isRunningLow(const std::string& team) const { return m_quota.isRunningLow(team); }
    duration timeUntilToken(const std::string& team, instant now) const { return m_quota.timeUntilToken(team, now); }

    // Returns requests for tokens that hosts of other data centres should get now.
    std::vector<token_request> takeTokenRequests(instant now);

    // Returns what this host lends for a request from another data centre, if it lends
    // tokens of this team for its own data centre.
    std::optional<token_grant> lendTokens(const token_request&, instant now);

    // Adds tokens that another data centre granted.
    void recordGrant(const token_grant& it, instant now) { m_lending.recordGrant(m_quota, it, now); }

    // Returns a uniformly distributed random number in [0, 1).
    double drawUniform();

    // Chooses an upstream for the next attempt of a request, unless the room is kept for
    // more urgent requests.
    choice_result choose(const choice_query&, instant now);
    // Returns when a client whose request could not be sent should repeat it. That is the
    // given time at least; for lack of room, clients get different times.
    duration timeUntilReturn(const choice_query&, const choice_result&, duration atLeast, std::uint64_t client, instant now);

    // Records how a request ended.
    void recordOutcome(const request_outcome&, instant now);

    // Returns the fraction of the recent requests for a service that was not served, as far
    // as this host knows.
    double lossShare(const std::string& service, instant now) const { return m_losses.share(service, now).value_or(0); }

    bool acceptsNewRequests(const std::string& upstream, const region_limit& homes, instant now) const { return m_choice.acceptsNewRequests(upstream, homes, now); }
    bool hasOtherUpstream(const std::string& service, const std::set<std::string>& tried, const region_limit& homes, instant now) { return m_choice.hasUntried(service, tried, homes, now); }

    // Records what an upstream announced in a response to this host. The next report
    // tells the neighbours if it is leaving.
    void recordAnnouncement(const upstream_incarnation&, const upstream_announcement&, instant now);
    void release(const std::string& upstream) { m_choice.release(upstream); }

    // Counts a request towards the retry budget of its service.
    void recordFirstAttempt(const std::string& service) { m_budget.recordFirstAttempt(service); }

    bool canRetry(const std::string& service) const { return m_budget.canRetry(service); }

    // Takes a retry from the budget of a service. Returns false if the budget is
    // used up.
    bool takeRetry(const std::string& service);

    void finishAttempt(const attempt_report&, instant now);
    bool isQuarantined(std::uint64_t fingerprint, instant now) const { return m_quarantine.isQuarantined(fingerprint, now); }

    // Returns the quarantines that began since the last call, and the number of those that stand.
    std::vector<quarantine_change> takeQuarantineChanges() { return m_quarantine.takeChanges(); }
    std::size_t quarantinedRequests(instant now) const { return m_quarantine.quarantinedCount(now); }

    // Returns the next report to the neighbours and clears what it collected.
    neighbour_report takeReport(instant now);

    // Applies a neighbour's report. Drops a report that is older than the latest
    // one from the same host.
    void recordReport(const neighbour_report&, instant now);

    // What one data centre reports to others. All data centres get the upstreams
    // that began to fail and the requests that crash upstreams; only the nearest
    // ones get the idle upstreams.
    struct peer_report {
        std::vector<neighbour_sample> failures;
        std::vector<quarantined_request> quarantined;
        // Upstreams that need requests from another data centre.
        std::vector<std::string> idleUpstreams;
        // Upstreams that several hosts could not reach.
        std::vector<std::string> suspectedUpstreams;

        bool isEmpty() const { return failures.empty() && quarantined.empty() && idleUpstreams.empty() && suspectedUpstreams.empty(); }
    };

    // Returns what was collected for other data centres since the last call. takeReport() adds to it.
    peer_report takePeerReport();

    // Applies a report from another data centre and forwards what is new to the
    // neighbours with the next report. Returns whether there is anything to forward.
    bool recordPeerReport(const peer_report&, instant now);

    // Counts the reachable neighbours and removes expired crashes and quarantines.
    void tick(instant now);

    // Returns the number of member hosts in this data centre, this one included.
    unsigned knownNeighbours() const { return m_knownNeighbours; }

    // Returns the number of reachable hosts in this data centre, this one included.
    unsigned reachableNeighbours() const { return m_reachable; }

    // Returns the idle upstreams of this data centre, and adds them to the next peer
    // report, which asks the nearest data centres to send requests to them.
    std::vector<idle_upstream> takeIdleUpstreams(instant now);

private:
    struct neighbour_row {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        instant lastReceivedAt = distantPast;
    };

    // Returns the neighbours that sent a report recently.
    std::vector<std::string> reachableNeighbourNames(instant now) const;
    // Decides whether a request of the query's priority may be sent.
    admission_verdict decideAdmission(const choice_query&, bool isRetry, instant now);

    dispatch_settings m_settings;
    std::string m_host;
    std::string m_dataCentre;
    upstream_choice m_choice;
    priority_admission m_admission;
    return_schedule m_returns;
    service_losses m_losses;
    evacuation_orders m_evacuations;
    team_quota m_quota;
    quota_reports m_quotaReports;
    token_lending m_lending;
    retry_budget m_budget;
    fleet_quarantine m_quarantine;
    std::mt19937_64 m_random;
    // Member hosts of this data centre, and how many of them are reachable. Both
    // counts include this host.
    unsigned m_knownNeighbours = 1;
    unsigned m_reachable = 1;
    std::map<std::string, neighbour_row> m_neighbours;
    // The members that the platform knows.
    host_map m_members;
    peer_report m_peerReport;
    // Idle upstreams of other data centres, to be forwarded to the neighbours.
    std::vector<std::string> m_idleElsewhere;
    // Upstreams that hosts of other data centres could not reach, to be forwarded to the neighbours.
    std::vector<std::string> m_suspectedElsewhere;
    // Samples for the next report to the neighbours.
    std::vector<neighbour_sample> m_samples;
    // Upstreams that announced to this host that they are leaving, for the next report.
    std::vector<upstream_incarnation> m_leaving;
};

} // namespace almondmoor
