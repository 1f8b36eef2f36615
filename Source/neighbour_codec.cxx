#include "neighbour_codec.h"

#include "neighbour.pb.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace almondmoor {

namespace {

    // A datagram of a few kilobytes could otherwise expand to gigabytes.
    constexpr std::size_t maxReadingBytes = std::size_t { 8 } << 20;
    constexpr std::size_t decompressPieceBytes = std::size_t { 16 } * 1024;

    std::uint32_t nonNegativeMilliseconds(duration span)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, wholeMilliseconds(span)));
    }

    constexpr double percentPerUnit = 100;

    // Returns a relative latency in whole percent, at least 1 since 0 means that it is unknown.
    std::uint32_t relativePercent(double relativeLatency)
    {
        constexpr double maxPercent = 1'000'000;
        return static_cast<std::uint32_t>(std::clamp(relativeLatency * percentPerUnit, 1.0, maxPercent));
    }

    std::string compress(const std::string& bytes)
    {
        std::ostringstream out;
        Poco::DeflatingOutputStream deflating(out);
        deflating << bytes;
        deflating.close();
        return out.str();
    }

    // Throws Poco::Exception if the bytes are not the output of compress() or hold more than maxReadingBytes.
    std::string decompress(const std::string& bytes)
    {
        std::istringstream in(bytes);
        Poco::InflatingInputStream inflating(in);
        std::string out;
        std::array<char, decompressPieceBytes> piece;
        while (inflating.read(piece.data(), piece.size()) || inflating.gcount() > 0) {
            out.append(piece.data(), static_cast<std::size_t>(inflating.gcount()));
            if (out.size() > maxReadingBytes)
                throw Poco::DataFormatException("the reading is too large");
        }
        return out;
    }

    void encodeConfirmation(const store_confirmation& confirmation, instant now, wire::Confirmation& out)
    {
        out.set_age_ms(nonNegativeMilliseconds(now - confirmation.respondedAt));
        for (const store_position& it : confirmation.lastChanges) {
            out.add_changed_at(it.version);
            out.add_changed_at_era(it.era);
        }
    }

    std::optional<store_confirmation> decodeConfirmation(const wire::Confirmation& in, instant now)
    {
        store_confirmation confirmation;
        if (in.changed_at_size() != static_cast<int>(confirmation.lastChanges.size()))
            return std::nullopt;
        confirmation.respondedAt = now - std::chrono::milliseconds(in.age_ms());
        for (int index = 0; index < in.changed_at_size(); ++index) {
            const std::uint64_t era = index < in.changed_at_era_size() ? in.changed_at_era(index) : 0;
            confirmation.lastChanges[static_cast<std::size_t>(index)] = { era, in.changed_at(index) };
        }
        return confirmation;
    }

    std::optional<neighbour_datagram> decodeReport(const wire::NeighbourReport& in, instant now)
    {
        if (in.host().empty())
            return std::nullopt;
        neighbour_report report;
        report.host = in.host();
        report.dataCentre = in.data_centre();
        report.address = in.address();
        report.incarnation = in.incarnation();
        report.sequence = in.sequence();
        for (const auto& entry : in.in_flight())
            report.inFlight[entry.upstream()] = entry.count();
        report.attemptedUpstreams.assign(in.started().begin(), in.started().end());
        report.idleUpstreams.assign(in.wanted().begin(), in.wanted().end());
        for (const auto& entry : in.admitted())
            report.admitted[entry.team()] = { entry.total(), entry.before() };
        for (const auto& entry : in.samples()) {
            if (entry.result() >= attemptResultNames.size())
                return std::nullopt;
            const auto result = static_cast<attempt_result>(entry.result());
            const auto relativeLatency = entry.relative_percent() > 0 ? std::optional(entry.relative_percent() / percentPerUnit) : std::nullopt;
            report.samples.push_back({ entry.upstream(), result, std::chrono::milliseconds(entry.latency_ms()), entry.fingerprint(), relativeLatency });
        }
        for (const auto& entry : in.leaving())
            report.leavingUpstreams.push_back({ entry.upstream(), entry.started_at_unix_ms() });
        for (const auto& entry : in.moved())
            report.movedTokens[entry.team()] = { entry.lent(), entry.borrowed(), entry.lent_before(), entry.borrowed_before() };
        report.unreachableUpstreams.assign(in.unreachable().begin(), in.unreachable().end());
        report.suspectedUpstreams.assign(in.suspected().begin(), in.suspected().end());
        for (const auto& entry : in.outcomes())
            report.outcomes[entry.service()] = { entry.requests(), entry.unserved() };
        for (int index = 0; index < in.quarantined_size(); ++index) {
            const std::uint32_t ageMs = index < in.quarantined_age_ms_size() ? in.quarantined_age_ms(index) : 0;
            report.quarantined.push_back({ in.quarantined(index), now - std::chrono::milliseconds(ageMs) });
        }
        if (in.has_confirmation())
            report.confirmation = decodeConfirmation(in.confirmation(), now);
        return report;
    }

    std::optional<neighbour_datagram> decodeReading(const wire::TableReading& in)
    {
        wire::StoredRows rows;
        if (in.table() >= followedTableNames.size() || !rows.ParseFromString(decompress(in.packed_rows())))
            return std::nullopt;
        table_reading reading;
        reading.table = static_cast<followed_table>(in.table());
        reading.update.isFullTable = in.is_full_table();
        reading.update.isFirstAfterOutage = in.was_away();
        reading.update.after = { in.era(), in.after() };
        reading.update.position = { in.era(), in.version() };
        reading.isForDataCentre = in.is_for_data_centre();
        for (const auto& row : rows.rows())
            reading.update.rows.push_back({ row.key(), row.value(), row.version(), row.is_removed() });
        return reading;
    }

    std::optional<neighbour_datagram> decodeRequest(const wire::TableRequest& in)
    {
        if (in.table() >= followedTableNames.size() || in.address().empty())
            return std::nullopt;
        return table_request { static_cast<followed_table>(in.table()), in.address(), { in.known_era(), in.known_version() } };
    }

    std::optional<neighbour_datagram> decodeTokenRequest(const wire::TokenRequest& in)
    {
        if (!std::isfinite(in.tokens()) || in.tokens() <= 0 || in.address().empty())
            return std::nullopt;
        return addressed_token_request { { in.team(), in.tokens(), in.number() }, in.address() };
    }

    std::optional<neighbour_datagram> decodeGrant(const wire::TokenGrant& in)
    {
        if (!std::isfinite(in.tokens()) || in.tokens() < 0)
            return std::nullopt;
        return token_grant { in.team(), in.tokens(), in.number() };
    }

} // namespace

std::string encodeReport(const neighbour_report& report, instant now)
{
    wire::Datagram datagram;
    wire::NeighbourReport& out = *datagram.mutable_report();
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
    for (const std::string& upstream : report.attemptedUpstreams)
        out.add_started(upstream);
    for (const std::string& upstream : report.idleUpstreams)
        out.add_wanted(upstream);
    for (const auto& [team, count] : report.admitted) {
        auto* entry = out.add_admitted();
        entry->set_team(team);
        entry->set_total(count.total);
        entry->set_before(count.totalBeforeSeries);
    }
    for (const neighbour_sample& sample : report.samples) {
        auto* entry = out.add_samples();
        entry->set_upstream(sample.upstream);
        entry->set_result(static_cast<std::uint32_t>(sample.result));
        entry->set_latency_ms(nonNegativeMilliseconds(sample.latency));
        entry->set_fingerprint(sample.fingerprint);
        if (sample.relativeLatency)
            entry->set_relative_percent(relativePercent(*sample.relativeLatency));
    }
    for (const auto& [service, outcomes] : report.outcomes) {
        auto* entry = out.add_outcomes();
        entry->set_service(service);
        entry->set_requests(static_cast<std::uint32_t>(outcomes.requests));
        entry->set_unserved(static_cast<std::uint32_t>(outcomes.unserved));
    }
    for (const auto& [team, total] : report.movedTokens) {
        auto* entry = out.add_moved();
        entry->set_team(team);
        entry->set_lent(total.lent);
        entry->set_borrowed(total.borrowed);
        entry->set_lent_before(total.lentBeforeSeries);
        entry->set_borrowed_before(total.borrowedBeforeSeries);
    }
    for (const upstream_incarnation& incarnation : report.leavingUpstreams) {
        auto* entry = out.add_leaving();
        entry->set_upstream(incarnation.id);
        entry->set_started_at_unix_ms(incarnation.startedAtUnixMs);
    }
    for (const std::string& upstream : report.unreachableUpstreams)
        out.add_unreachable(upstream);
    for (const std::string& upstream : report.suspectedUpstreams)
        out.add_suspected(upstream);
    for (const quarantined_request& it : report.quarantined) {
        out.add_quarantined(it.fingerprint);
        out.add_quarantined_age_ms(nonNegativeMilliseconds(now - it.lastCrashAt));
    }
    if (report.confirmation)
        encodeConfirmation(*report.confirmation, now, *out.mutable_confirmation());
    return datagram.SerializeAsString();
}

std::string encodeReading(const table_reading& reading)
{
    wire::Datagram datagram;
    wire::TableReading& out = *datagram.mutable_reading();
    out.set_table(static_cast<std::uint32_t>(reading.table));
    out.set_is_full_table(reading.update.isFullTable);
    out.set_was_away(reading.update.isFirstAfterOutage);
    out.set_after(reading.update.after.version);
    out.set_version(reading.update.position.version);
    out.set_era(reading.update.position.era);
    out.set_is_for_data_centre(reading.isForDataCentre);
    wire::StoredRows rows;
    for (const stored_row& row : reading.update.rows) {
        auto* entry = rows.add_rows();
        entry->set_key(row.key);
        entry->set_value(row.value);
        entry->set_version(row.version);
        entry->set_is_removed(row.isRemoved);
    }
    out.set_packed_rows(compress(rows.SerializeAsString()));
    return datagram.SerializeAsString();
}

std::string encodeRequest(const table_request& request)
{
    wire::Datagram datagram;
    wire::TableRequest& out = *datagram.mutable_request();
    out.set_table(static_cast<std::uint32_t>(request.table));
    out.set_address(request.address);
    out.set_known_version(request.known.version);
    out.set_known_era(request.known.era);
    return datagram.SerializeAsString();
}

std::string encodeTokenRequest(const addressed_token_request& request)
{
    wire::Datagram datagram;
    wire::TokenRequest& out = *datagram.mutable_token_request();
    out.set_team(request.request.team);
    out.set_tokens(request.request.tokens);
    out.set_number(request.request.number);
    out.set_address(request.address);
    return datagram.SerializeAsString();
}

std::string encodeGrant(const token_grant& grant)
{
    wire::Datagram datagram;
    wire::TokenGrant& out = *datagram.mutable_token_grant();
    out.set_team(grant.team);
    out.set_tokens(grant.tokens);
    out.set_number(grant.number);
    return datagram.SerializeAsString();
}

std::optional<neighbour_datagram> decodeDatagram(std::string_view bytes, instant now)
{
    wire::Datagram in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    if (in.has_report())
        return decodeReport(in.report(), now);
    if (in.has_request())
        return decodeRequest(in.request());
    if (in.has_token_request())
        return decodeTokenRequest(in.token_request());
    if (in.has_token_grant())
        return decodeGrant(in.token_grant());
    if (!in.has_reading())
        return std::nullopt;
    try {
        return decodeReading(in.reading());
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::string encodeMembershipEntry(const membership_entry& entry)
{
    wire::RosterEntry out;
    out.set_address(entry.address);
    out.set_data_centre(entry.dataCentre);
    return out.SerializeAsString();
}

std::optional<membership_entry> decodeMembershipEntry(const std::string& bytes)
{
    wire::RosterEntry in;
    if (!in.ParseFromString(bytes) || in.address().empty() || in.data_centre().empty())
        return std::nullopt;
    return membership_entry { in.address(), in.data_centre() };
}

} // namespace almondmoor
