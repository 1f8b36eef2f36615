#include "metrics.h"

#include <absl/strings/str_cat.h>

namespace almondmoor {

namespace {

    namespace acc = boost::accumulators;

    constexpr std::array<double, 3> quantiles { 0.5, 0.9, 0.99 };

    template <typename Enum>
    std::size_t indexOf(Enum value)
    {
        return static_cast<std::size_t>(value);
    }

    void writeLine(std::string& out, std::string_view name, std::string_view labels, std::uint64_t value)
    {
        absl::StrAppend(&out, "almondmoor_", std::string(name), std::string(labels), " ", value, "\n");
    }

    std::string label(std::string_view key, std::string_view value)
    {
        return absl::StrCat("{", std::string(key), "=\"", std::string(value), "\"}");
    }

    template <typename Accumulator>
    void writeLatency(std::string& out, const std::string& name, const Accumulator& latency)
    {
        absl::StrAppend(&out, "# TYPE almondmoor_", name, " summary\n");
        if (acc::count(latency) > 0) {
            for (const double quantile : quantiles)
                absl::StrAppend(&out, "almondmoor_", name, "{quantile=\"", quantile, "\"} ", acc::quantile(latency, acc::quantile_probability = quantile), "\n");
        }
        absl::StrAppend(&out, "almondmoor_", name, "_sum ", acc::sum(latency), "\n");
        absl::StrAppend(&out, "almondmoor_", name, "_count ", acc::count(latency), "\n");
    }

} // namespace

metrics::metrics()
    : m_total(acc::extended_p_square_probabilities = quantiles)
    , m_added(acc::extended_p_square_probabilities = quantiles)
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

void metrics::addRetry(retry_reason reason)
{
    ++m_retries[indexOf(reason)];
}

void metrics::addTransition(upstream_state to, bool heldByFloor)
{
    ++m_transitions[indexOf(to)];
    m_heldByFloor += heldByFloor ? 1 : 0;
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
    m_total(toSeconds(total));
    m_added(toSeconds(added));
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
        writeLine(out, absl::StrCat(std::string(name), "_total"), "", m_events[indexOf(it)]);
    for (const auto& row : refusalRows)
        writeLine(out, "refusals_total", label("reason", row.name), m_refusals[indexOf(row.reason)]);
    for (const auto& [reason, name] : retryReasonNames)
        writeLine(out, "retries_total", label("reason", name), m_retries[indexOf(reason)]);
    for (const auto& [state, name] : upstreamStateNames)
        writeLine(out, "upstream_transitions_total", label("to", name), m_transitions[indexOf(state)]);
    writeLine(out, "ejections_held_by_floor_total", "", m_heldByFloor);
    for (const auto& [kind, name] : messageKindNames) {
        writeLine(out, "peer_messages_total", label("kind", name), m_peerMessages[indexOf(kind)]);
        writeLine(out, "peer_bytes_total", label("kind", name), m_peerBytes[indexOf(kind)]);
    }
    const std::lock_guard lock(m_mutex);
    for (const auto& [team, counts] : m_teams) {
        writeLine(out, "team_admitted_total", label("team", team), counts.admitted);
        writeLine(out, "team_refused_total", label("team", team), counts.refused);
        writeLine(out, "team_rate_refused_total", label("team", team), counts.rateRefused);
    }
    writeLatency(out, "request_seconds", m_total);
    writeLatency(out, "added_seconds", m_added);
    return out;
}

} // namespace almondmoor
