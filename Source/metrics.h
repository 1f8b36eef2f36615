// Counters and latency summaries of one host, exported in the Prometheus text format.

#pragma once

#include "Core/core_time.h"
#include "Core/outcome.h"
#include "Core/peer_message.h"
#include "Core/trial_policy.h"
#include "Core/upstream_health.h"

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace almondmoor {

// Events that are counted without further labels.
enum class event {
    RequestsReceived,
    ResponsesForwarded,
    ResponsesAborted,
    ClientsDisconnected,
    ConnectionsRefused,
    ConnectionsAccepted,
    AttemptsStarted,
    TokenWaits,
    ClaimsMade,
    ClaimsAlreadyTaken,
    ClaimsUnavailable,
    StoreReads,
    StoreReadFailures,
    StoreCommits,
    StoreCommitsUnknown,
    ChangesApplied,
    CrossRegionBytes,
    PeerFailures,
    StopsForced,
    ServingConfigsRejected,
    UpstreamRowsRejected,
    NeighbourReportsSent,
    NeighbourReportsReceived,
    NeighbourReadingsReceived,
    NeighbourBytesSent,
    TrialsStarted,
    IdleUpstreamsDetected,
    UpstreamPauses,
    UpstreamPausesRejected,
    UpstreamsAnnouncedLeaving,
    ExchangesFailed,
    TokenRequestsSent,
    TokenGrantsSent,
    ColdRequestsSent,
    ColdUpstreamsDenied,
    TableRequestsSent
};

inline constexpr name_table<event, 36> eventNames { {
    { event::RequestsReceived, "requests_received" },
    { event::ResponsesForwarded, "answers_passed" },
    { event::ResponsesAborted, "answers_aborted" },
    { event::ClientsDisconnected, "guests_gone" },
    { event::ConnectionsRefused, "connections_refused" },
    { event::ConnectionsAccepted, "connections_accepted" },
    { event::AttemptsStarted, "attempts_started" },
    { event::TokenWaits, "tokens_waited_for" },
    { event::ClaimsMade, "claims_made" },
    { event::ClaimsAlreadyTaken, "claims_taken" },
    { event::ClaimsUnavailable, "claims_unavailable" },
    { event::StoreReads, "store_reads" },
    { event::StoreReadFailures, "store_read_failures" },
    { event::StoreCommits, "store_commits" },
    { event::StoreCommitsUnknown, "store_commits_unknown" },
    { event::ChangesApplied, "changes_applied" },
    { event::CrossRegionBytes, "cross_region_bytes" },
    { event::PeerFailures, "peer_failures" },
    { event::StopsForced, "stops_forced" },
    { event::ServingConfigsRejected, "plans_refused" },
    { event::UpstreamRowsRejected, "upstream_rows_refused" },
    { event::NeighbourReportsSent, "neighbour_reports_sent" },
    { event::NeighbourReportsReceived, "neighbour_reports_taken" },
    { event::NeighbourReadingsReceived, "neighbour_readings_taken" },
    { event::NeighbourBytesSent, "neighbour_bytes_sent" },
    { event::TrialsStarted, "trials_started" },
    { event::IdleUpstreamsDetected, "upstreams_found_idle" },
    { event::UpstreamPauses, "upstream_pauses" },
    { event::UpstreamPausesRejected, "upstream_pauses_refused" },
    { event::UpstreamsAnnouncedLeaving, "upstreams_announced_leaving" },
    { event::ExchangesFailed, "exchanges_failed" },
    { event::TokenRequestsSent, "token_requests_sent" },
    { event::TokenGrantsSent, "token_grants_sent" },
    { event::ColdRequestsSent, "cold_requests_sent" },
    { event::ColdUpstreamsDenied, "cold_upstreams_denied" },
    { event::TableRequestsSent, "table_requests_sent" },
} };

// Values that may rise and fall.
enum class gauge {
    // Memory that requests hold, and the limit for it; zero without a limit.
    MemoryHeldBytes,
    MemoryLimitBytes,
    DataCentresEvacuated,
    UpstreamsEvacuated,
    // How long ago the store last confirmed, to this host or to a neighbour, that the tables known here are complete.
    StoreConfirmationAgeMs,
    // Requests that are refused at present because they crashed upstreams.
    RequestsQuarantined,
    // Era of the store since it last came back from an older copy; zero if it has not while this host ran.
    StoreEra
};

inline constexpr name_table<gauge, 7> gaugeNames { {
    { gauge::MemoryHeldBytes, "memory_held_bytes" },
    { gauge::MemoryLimitBytes, "memory_limit_bytes" },
    { gauge::DataCentresEvacuated, "data_centres_evacuated" },
    { gauge::UpstreamsEvacuated, "upstreams_evacuated" },
    { gauge::StoreConfirmationAgeMs, "store_confirmation_age_ms" },
    { gauge::RequestsQuarantined, "requests_quarantined" },
    { gauge::StoreEra, "store_era" },
} };

// Requests of one team.
struct team_counts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    // The refused requests that exceeded the team's rate; also counted in refused.
    std::uint64_t rateRefused = 0;
};

// All member functions may be called from any thread.
class metrics {
public:
    metrics();

    void add(event, std::uint64_t count = 1);
    std::uint64_t value(event) const;

    void set(gauge, std::uint64_t value);
    std::uint64_t value(gauge) const;

    // The team is empty if the request could not be assigned to one.
    void addRefusal(refusal_reason, const std::string& team);
    // Counts the refusal of a request of a priority; 0 is the most urgent one.
    void addRefusalByPriority(refusal_reason, unsigned priority);
    void addRetry(retry_reason);
    // Counts a trial by its result, and a trial that was due but not made.
    void addTrial(attempt_result);
    void addTrialDenial(trial_denial);
    void addTransition(upstream_state to, bool heldByFloor);
    void addAdmitted(const std::string& team);
    void addPeerMessage(message_kind, std::uint64_t bytes);
    void setColdUpstreams(std::uint64_t count) { m_coldUpstreams = count; }

    // Records the total time of a request, and the part of it that this host added to the upstream's time.
    void addLatency(duration total, duration added);

    team_counts teamCounts(const std::string& team) const;
    std::uint64_t refusals(refusal_reason) const;
    std::uint64_t refusalsOfPriority(refusal_reason, unsigned priority) const;

    // Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    using latency_accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::extended_p_square_quantile>>;

    std::array<std::atomic<std::uint64_t>, eventNames.size()> m_events {};
    std::array<std::atomic<std::uint64_t>, gaugeNames.size()> m_gauges {};
    std::array<std::atomic<std::uint64_t>, refusalReasonCount> m_refusals {};
    std::array<std::atomic<std::uint64_t>, retryReasonNames.size()> m_retries {};
    std::array<std::atomic<std::uint64_t>, attemptResultNames.size()> m_trials {};
    std::array<std::atomic<std::uint64_t>, trialDenialNames.size()> m_trialDenials {};
    std::array<std::atomic<std::uint64_t>, upstreamStateNames.size()> m_transitions {};
    std::atomic<std::uint64_t> m_ejectionsHeldByFloor { 0 };
    std::atomic<std::uint64_t> m_coldUpstreams { 0 };
    std::array<std::atomic<std::uint64_t>, messageKindNames.size()> m_peerMessages {};
    std::array<std::atomic<std::uint64_t>, messageKindNames.size()> m_peerBytes {};
    mutable std::mutex m_mutex;
    std::map<std::string, team_counts> m_teams;
    std::map<std::pair<unsigned, refusal_reason>, std::uint64_t> m_refusalsByPriority;
    latency_accumulator m_totalLatency;
    latency_accumulator m_addedLatency;
};

} // namespace almondmoor
