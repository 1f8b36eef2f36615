// Counters and latency figures of one host, in the Prometheus text format.

#pragma once

#include "Core/core_time.h"
#include "Core/outcome.h"
#include "Core/peer_message.h"
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

namespace almondmoor {

// Things that are only counted.
enum class event {
    RequestsReceived,
    AnswersPassed,
    AnswersAborted,
    GuestsGone,
    ConnectionsRefused,
    ConnectionsAccepted,
    AttemptsStarted,
    TokensWaitedFor,
    ClaimsMade,
    ClaimsTaken,
    ClaimsUnavailable,
    StoreReads,
    StoreReadFailures,
    StoreCommits,
    StoreCommitsUnknown,
    ChangesApplied,
    CrossRegionBytes,
    PeerFailures,
    StopsForced,
    PlansRefused,
    UpstreamRowsRefused,
    NeighbourReportsSent,
    NeighbourReportsTaken,
    NeighbourReadingsTaken,
    NeighbourBytesSent,
    TrialsStarted,
    UpstreamsFoundIdle
};

inline constexpr name_table<event, 27> eventNames { {
    { event::RequestsReceived, "requests_received" },
    { event::AnswersPassed, "answers_passed" },
    { event::AnswersAborted, "answers_aborted" },
    { event::GuestsGone, "guests_gone" },
    { event::ConnectionsRefused, "connections_refused" },
    { event::ConnectionsAccepted, "connections_accepted" },
    { event::AttemptsStarted, "attempts_started" },
    { event::TokensWaitedFor, "tokens_waited_for" },
    { event::ClaimsMade, "claims_made" },
    { event::ClaimsTaken, "claims_taken" },
    { event::ClaimsUnavailable, "claims_unavailable" },
    { event::StoreReads, "store_reads" },
    { event::StoreReadFailures, "store_read_failures" },
    { event::StoreCommits, "store_commits" },
    { event::StoreCommitsUnknown, "store_commits_unknown" },
    { event::ChangesApplied, "changes_applied" },
    { event::CrossRegionBytes, "cross_region_bytes" },
    { event::PeerFailures, "peer_failures" },
    { event::StopsForced, "stops_forced" },
    { event::PlansRefused, "plans_refused" },
    { event::UpstreamRowsRefused, "upstream_rows_refused" },
    { event::NeighbourReportsSent, "neighbour_reports_sent" },
    { event::NeighbourReportsTaken, "neighbour_reports_taken" },
    { event::NeighbourReadingsTaken, "neighbour_readings_taken" },
    { event::NeighbourBytesSent, "neighbour_bytes_sent" },
    { event::TrialsStarted, "trials_started" },
    { event::UpstreamsFoundIdle, "upstreams_found_idle" },
} };

struct team_counts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t rateRefused = 0;
};

// All members may be called from any thread.
class metrics {
public:
    metrics();

    void add(event, std::uint64_t count = 1);
    std::uint64_t value(event) const;

    void addRefusal(refusal_reason, const std::string& team);
    void addRetry(retry_reason);
    void addTransition(upstream_state to, bool heldByFloor);
    void addAdmitted(const std::string& team);
    void addPeerMessage(message_kind, std::uint64_t bytes);

    // Records how long a request took and how much of it was spent here.
    void addLatency(duration total, duration added);

    team_counts teamCounts(const std::string& team) const;
    std::uint64_t refusals(refusal_reason) const;

    // Writes everything in the Prometheus text format.
    std::string text() const;

private:
    using latency_accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::extended_p_square_quantile>>;

    std::array<std::atomic<std::uint64_t>, eventNames.size()> m_events {};
    std::array<std::atomic<std::uint64_t>, refusalReasonCount> m_refusals {};
    std::array<std::atomic<std::uint64_t>, retryReasonNames.size()> m_retries {};
    std::array<std::atomic<std::uint64_t>, upstreamStateNames.size()> m_transitions {};
    std::atomic<std::uint64_t> m_heldByFloor { 0 };
    std::array<std::atomic<std::uint64_t>, messageKindNames.size()> m_peerMessages {};
    std::array<std::atomic<std::uint64_t>, messageKindNames.size()> m_peerBytes {};
    mutable std::mutex m_mutex;
    std::map<std::string, team_counts> m_teams;
    latency_accumulator m_total;
    latency_accumulator m_added;
};

} // namespace almondmoor
