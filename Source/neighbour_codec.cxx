#include "neighbour_codec.h"

#include "neighbour.pb.h"

namespace almondmoor {

namespace {

    std::uint32_t wholeMilliseconds(duration span)
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, ms));
    }

} // namespace

std::string encodeReport(const neighbour_report& report)
{
    wire::NeighbourReport out;
    out.set_host(report.host);
    out.set_data_centre(report.dataCentre);
    out.set_address(report.address);
    out.set_incarnation(report.incarnation);
    out.set_sequence(report.sequence);
    for (const auto& [upstream, count] : report.inFlight) {
        auto* entry = out.add_in_flight();
        entry->set_upstream(upstream);
        entry->set_count(count);
    }
    for (const auto& [team, count] : report.admitted) {
        auto* entry = out.add_admitted();
        entry->set_team(team);
        entry->set_count(count);
    }
    for (const neighbour_sample& sample : report.samples) {
        auto* entry = out.add_samples();
        entry->set_upstream(sample.upstream);
        entry->set_result(static_cast<std::uint32_t>(sample.result));
        entry->set_latency_ms(wholeMilliseconds(sample.latency));
        entry->set_fingerprint(sample.fingerprint);
    }
    for (const std::uint64_t fingerprint : report.quarantined)
        out.add_quarantined(fingerprint);
    return out.SerializeAsString();
}

std::optional<neighbour_report> decodeReport(const std::string& bytes)
{
    wire::NeighbourReport in;
    if (!in.ParseFromString(bytes) || in.host().empty())
        return std::nullopt;
    neighbour_report report;
    report.host = in.host();
    report.dataCentre = in.data_centre();
    report.address = in.address();
    report.incarnation = in.incarnation();
    report.sequence = in.sequence();
    for (const auto& entry : in.in_flight())
        report.inFlight[entry.upstream()] = entry.count();
    for (const auto& entry : in.admitted())
        report.admitted[entry.team()] = entry.count();
    for (const auto& entry : in.samples()) {
        if (entry.result() >= workResultNames.size())
            return std::nullopt;
        const auto result = static_cast<work_result>(entry.result());
        report.samples.push_back({ entry.upstream(), result, std::chrono::milliseconds(entry.latency_ms()), entry.fingerprint() });
    }
    report.quarantined.assign(in.quarantined().begin(), in.quarantined().end());
    return report;
}

std::string encodeRosterEntry(const roster_entry& entry)
{
    wire::RosterEntry out;
    out.set_address(entry.address);
    out.set_data_centre(entry.dataCentre);
    return out.SerializeAsString();
}

std::optional<roster_entry> decodeRosterEntry(const std::string& bytes)
{
    wire::RosterEntry in;
    if (!in.ParseFromString(bytes) || in.address().empty() || in.data_centre().empty())
        return std::nullopt;
    return roster_entry { in.address(), in.data_centre() };
}

} // namespace almondmoor
