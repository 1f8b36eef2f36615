#include "metrics.h"

#include <absl/strings/str_cat.h>

namespace almondmoor {

namespace {

    namespace accumulators = boost::accumulators;

    constexpr std::array<double, 3> quantiles { 0.5, 0.9, 0.99 };

    template <typename Enum>
    std::size_t indexOf(Enum value)
    {
        return static_cast<std::size_t>(value);
    }

    void writeMetric(std::string& out, std::string_view name, std::string_view labels, std::uint64_t value)
    {
        absl::StrAppend(&out, "almondmoor_", std::string(name), std::string(labels), " ", value, "\n");
    }

    std::string formatLabel(std::string_view key, std::string_view value)
    {
        return absl::StrCat("{", std::string(key), "=\"", std::string(value), "\"}");
    }

    template <typename Accumulator>
    void writeLatency(std::string& out, const std::string& name, const Accumulator& latency)
    {
        absl::StrAppend(&out, "# TYPE almondmoor_", name, " summary\n");
        if (accumulators::count(latency) > 0) {
            for (const double quantile : quantiles)
                absl::StrAppend(&out, "almondmoor_", name, "{quantile=\"", quantile, "\"} ", accumulators::quantile(latency, accumulators::quantile_probability = quantile), "\n");
        }
        absl::StrAppend(&out, "almondmoor_", name, "_sum ", accumulators::sum(latency), "\n");
        absl::StrAppend(&out, "almondmoor_", name, "_count ", accumulators::count(latency), "\n");
    }

} // namespace

metrics::metrics()
    : m_totalLatency(accumulators::extended_p_square_probabilities = quantiles)
    , m_addedLatency(accumulators::extended_p_square_probabilities = quantiles)
{
}

void metrics::add(event it, std::uint64_t count)
{
    m_events[indexOf(it)] += count;
}

std::uint64_t metrics::value(event it) const
{
    return m_events[indexOf(it)];
}

void metrics::set(gauge it, std::uint64_t value)
{
    m_gauges[indexOf(it)] = value;
}

std::uint64_t metrics::value(gauge it) const
{
    return m_gauges[indexOf(it)];
}

void metrics::addRefusal(refusal_reason reason, const std::string& team)
{
    ++m_refusals[indexOf(reason)];
    if (team.empty())
        return;
    const std::lock_guard lock(m_mutex);
    team_counts& counts = m_teams[team];
    ++counts.refused;
    counts.rateRefused += reason == refusal_reason::RateExceeded ? 1 : 0;
}

void metrics::addRefusalByPriority(refusal_reason reason, unsigned priority)
{
    const std::lock_guard lock(m_mutex);
    ++m_refusalsByPriority[{ priority, reason }];
}

std::uint64_t metrics::refusalsOfPriority(refusal_reason reason, unsigned priority) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_refusalsByPriority.find({ priority, reason });
    return found == m_refusalsByPriority.end() ? 0 : found->second;
}

void metrics::addRetry(retry_reason reason)
{
    ++m_retries[indexOf(reason)];
}

void metrics::addTrial(attempt_result result)
{
    ++m_trials[indexOf(result)];
}

void metrics::addTrialDenial(trial_denial reason)
{
    ++m_trialDenials[indexOf(reason)];
}

void metrics::addTransition(upstream_state to, bool heldByFloor)
{
    ++m_transitions[indexOf(to)];
    m_ejectionsHeldByFloor += heldByFloor ? 1 : 0;
}

void metrics::addAdmitted(const std::string& team)
{
    const std::lock_guard lock(m_mutex);
    ++m_teams[team].admitted;
}

void metrics::addPeerMessage(message_kind kind, std::uint64_t bytes)
{
    ++m_peerMessages[indexOf(kind)];
    m_peerBytes[indexOf(kind)] += bytes;
}

void metrics::addLatency(duration total, duration added)
{
    const std::lock_guard lock(m_mutex);
    m_totalLatency(toSeconds(total));
    m_addedLatency(toSeconds(added));
}

team_counts metrics::teamCounts(const std::string& team) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? team_counts {} : found->second;
}

std::uint64_t metrics::refusals(refusal_reason reason) const
{
    return m_refusals[indexOf(reason)];
}

std::string metrics::text() const
{
    std::string out;
    for (const auto& [it, name] : eventNames)
        writeMetric(out, absl::StrCat(std::string(name), "_total"), "", m_events[indexOf(it)]);
    for (const auto& [it, name] : gaugeNames)
        writeMetric(out, name, "", m_gauges[indexOf(it)]);
    for (const auto& row : refusalRows)
        writeMetric(out, "refusals_total", formatLabel("reason", row.name), m_refusals[indexOf(row.reason)]);
    for (const auto& [reason, name] : retryReasonNames)
        writeMetric(out, "retries_total", formatLabel("reason", name), m_retries[indexOf(reason)]);
    for (const auto& [result, name] : attemptResultNames)
        writeMetric(out, "trials_total", formatLabel("result", name), m_trials[indexOf(result)]);
    for (const auto& [reason, name] : trialDenialNames)
        writeMetric(out, "trials_denied_total", formatLabel("reason", name), m_trialDenials[indexOf(reason)]);
    for (const auto& [state, name] : upstreamStateNames)
        writeMetric(out, "upstream_transitions_total", formatLabel("to", name), m_transitions[indexOf(state)]);
    writeMetric(out, "ejections_held_by_floor_total", "", m_ejectionsHeldByFloor);
    writeMetric(out, "cold_upstreams", "", m_coldUpstreams);
    for (const auto& [kind, name] : messageKindNames) {
        writeMetric(out, "peer_messages_total", formatLabel("kind", name), m_peerMessages[indexOf(kind)]);
        writeMetric(out, "peer_bytes_total", formatLabel("kind", name), m_peerBytes[indexOf(kind)]);
    }
    const std::lock_guard lock(m_mutex);
    for (const auto& [team, counts] : m_teams) {
        writeMetric(out, "team_admitted_total", formatLabel("team", team), counts.admitted);
        writeMetric(out, "team_refused_total", formatLabel("team", team), counts.refused);
        writeMetric(out, "team_rate_refused_total", formatLabel("team", team), counts.rateRefused);
    }
    for (const auto& [key, count] : m_refusalsByPriority)
        writeMetric(out, "priority_refusals_total", absl::StrCat("{priority=\"", key.first, "\",reason=\"", std::string(rowOf(key.second).name), "\"}"), count);
    writeLatency(out, "request_seconds", m_totalLatency);
    writeLatency(out, "added_seconds", m_addedLatency);
    return out;
}

} // namespace almondmoor
