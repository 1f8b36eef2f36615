// What one host decides about guests' requests under a serving plan: team
// quotas, the choice of upstreams, retries and the quarantine of requests that
// crash upstreams.
//
// The class has no lock and no clock. A host guards it with one mutex.

#pragma once

#include "Core/crash_quarantine.h"
#include "Core/neighbour_report.h"
#include "Core/retry_budget.h"
#include "Core/serving_plan.h"
#include "Core/team_quota.h"
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
    quota_settings quota;
    crash_quarantine_settings quarantine { 2, std::chrono::seconds(60) };
    // Retries allowed per first attempt, over the whole fleet.
    double retryRatio = 0.1;
    // Retries beyond the ratio that the fleet may make in a window.
    double retrySlack = 10;
    // Time for which a crash counts against the request that caused it.
    duration crashMemory = std::chrono::seconds(30);
};

// One ended attempt at an upstream.
struct attempt_report {
    std::string upstream;
    work_result result = work_result::Good;
    duration latency {};
    // Fingerprint of the request, for crashes.
    std::uint64_t fingerprint = 0;
};

class dispatch_core {
public:
    dispatch_core(const dispatch_settings&, std::string host, std::string dataCentre, region_map, std::uint64_t seed);

    void adoptPlan(const serving_plan&, instant now);
    void adoptDirectory(const upstream_directory&, instant now);

    // Follows the roster: hosts of this data centre and of the whole fleet, this
    // one included.
    void setFleetSize(unsigned neighbours, unsigned hosts);

    bool takeToken(const std::string& team, instant now) { return m_quota.take(team, now); }
    void putBackToken(const std::string& team) { m_quota.putBack(team); }
    bool isScarce(const std::string& team) const { return m_quota.isScarce(team); }
    duration nextTokenIn(const std::string& team, instant now) const { return m_quota.nextTokenIn(team, now); }

    // Returns a number in [0, 1).
    double draw();

    choice_result choose(const choice_query&, instant now);
    bool takesNewWork(const std::string& upstream) const { return m_choice.acceptsNewRequests(upstream); }
    bool hasOther(const std::string& service, const std::set<std::string>& tried) const { return m_choice.hasUntried(service, tried); }
    void release(const std::string& upstream) { m_choice.release(upstream); }

    // Counts a request towards the retry budget of its service.
    void noteFirstAttempt(const std::string& service) { m_budget.noteFirstAttempt(service); }

    bool hasRetry(const std::string& service) const { return m_budget.mayRetry(service); }

    // Takes a retry from the budget of a service. Returns false if it is used up.
    bool takeRetry(const std::string& service);

    void finishAttempt(const attempt_report&, instant now);
    bool isQuarantined(std::uint64_t fingerprint, instant now) const { return m_quarantine.isQuarantined(fingerprint, now); }

    // Returns what the neighbours should know now.
    neighbour_report takeReport(instant now);

    // Takes in a neighbour's report. Reports that arrive out of order are dropped.
    void noteReport(const neighbour_report&, instant now);

    // What hosts of all data centres should know: upstreams that began to fail
    // and requests that crash upstreams; and what the nearest should know: upstreams
    // that want work.
    struct notice {
        std::vector<neighbour_sample> failures;
        std::vector<std::uint64_t> quarantined;
        std::vector<std::string> wanted;

        bool isEmpty() const { return failures.empty() && quarantined.empty() && wanted.empty(); }
    };

    // Returns what came up since the last call.
    notice takeNotice() { return std::exchange(m_notice, {}); }

    // Takes in a notice from another data centre and passes it on to the
    // neighbours with the next report.
    void noteNotice(const notice&, instant now);

    // Counts the neighbours that are heard, and forgets old crashes.
    void tick(instant now);

    unsigned heardNeighbours() const { return m_heard; }

    // Returns the upstreams of this data centre that are idle, and asks the nearest
    // data centres by the next notice to send them work.
    std::vector<idle_upstream> takeIdle(instant now);

private:
    struct neighbour_row {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::map<std::string, std::uint64_t> admitted;
        instant heardAt = longAgo;
    };
    struct admitted_row {
        admitted_count count;
        instant changedAt = longAgo;
    };
    struct crash_row {
        std::set<std::string> upstreams;
        instant lastAt = longAgo;
    };

    void noteCrash(std::uint64_t fingerprint, const std::string& upstream, instant now);
    void quarantine(std::uint64_t fingerprint, instant now);

    dispatch_settings m_settings;
    std::string m_host;
    upstream_choice m_choice;
    team_quota m_quota;
    retry_budget m_budget;
    crash_quarantine m_quarantine;
    std::mt19937_64 m_random;
    unsigned m_knownNeighbours = 1;
    unsigned m_heard = 1;
    std::map<std::string, neighbour_row> m_neighbours;
    std::map<std::uint64_t, crash_row> m_crashes;
    notice m_notice;
    // Fingerprints to pass on to the neighbours.
    std::vector<std::uint64_t> m_quarantined;
    // Upstreams of other data centres that the neighbours should send work to.
    std::vector<std::string> m_wanted;
    // Admissions since the start, by team; told to neighbours as totals so that
    // a lost report loses none.
    std::map<std::string, admitted_row> m_admitted;
    std::vector<neighbour_sample> m_samples;
};

} // namespace almondmoor
