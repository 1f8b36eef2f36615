#include "peer_codec.h"

#include <algorithm>
#include <cmath>

namespace almondmoor {

namespace {

    constexpr std::uint32_t maxBucket = 39;
    constexpr std::uint32_t maxSampleCount = 1'000'000;

    void writeHealthReport(const health_report& from, wire::Evidence& to)
    {
        to.set_origin(from.origin);
        to.set_origin_incarnation(from.originIncarnation);
        to.set_data_centre(from.dataCentre);
        to.set_sequence(from.sequence);
        for (const attempt_sample& sample : from.samples) {
            auto& it = *to.add_samples();
            it.set_upstream(sample.upstream);
            it.set_result(static_cast<std::uint32_t>(sample.result));
            it.set_bucket(sample.bucket);
            it.set_fingerprint(sample.fingerprint);
            it.set_count(sample.count);
        }
    }

    health_report readHealthReport(const wire::Evidence& from)
    {
        health_report to { from.origin(), from.origin_incarnation(), from.data_centre(), from.sequence(), {} };
        for (const auto& sample : from.samples()) {
            const bool isValid = sample.result() < attemptResultNames.size() && sample.count() > 0;
            if (!isValid)
                continue;
            to.samples.push_back(attempt_sample { sample.upstream(), static_cast<attempt_result>(sample.result()),
                static_cast<std::uint8_t>(std::min(sample.bucket(), maxBucket)), sample.fingerprint(), std::min(sample.count(), maxSampleCount) });
        }
        return to;
    }

    void writeShareReport(const share_report& from, wire::ShareReport& to)
    {
        to.set_team(from.team);
        to.set_epoch(from.epoch);
        to.set_sequence(from.sequence);
        to.set_rate_per_second(from.ratePerSecond);
        to.set_burst(from.burst);
        to.set_returned_tokens(from.returnedTokens);
        to.set_demand_per_second(from.demandPerSecond);
        to.set_wanted_tokens(from.wantedTokens);
        to.set_held_tokens(from.heldTokens);
        to.set_applied_sequence(from.appliedSequence);
    }

    bool isValidAmount(double value)
    {
        return std::isfinite(value) && value >= 0;
    }

    share_report readShareReport(const wire::ShareReport& from)
    {
        return share_report { from.team(), from.epoch(), from.sequence(), from.rate_per_second(), from.burst(), from.returned_tokens(),
            from.demand_per_second(), from.wanted_tokens(), from.held_tokens(), from.applied_sequence() };
    }

    bool isValid(const share_report& it)
    {
        return isValidAmount(it.ratePerSecond) && isValidAmount(it.burst) && isValidAmount(it.returnedTokens) && isValidAmount(it.demandPerSecond) && isValidAmount(it.wantedTokens)
            && isValidAmount(it.heldTokens);
    }

    void writeShareHandover(const share_handover& from, wire::ShareHandover& to)
    {
        to.set_team(from.team);
        to.set_epoch(from.epoch);
        to.set_rate_per_second(from.ratePerSecond);
        to.set_burst(from.burst);
        to.set_tokens(from.tokens);
    }

    void writeShareGrant(const share_grant& from, wire::ShareGrant& to)
    {
        to.set_team(from.team);
        to.set_epoch(from.epoch);
        to.set_sequence(from.sequence);
        to.set_added_rate(from.addedRate);
        to.set_added_burst(from.addedBurst);
        to.set_added_tokens(from.addedTokens);
        to.set_target_rate(from.targetRate);
        to.set_target_burst(from.targetBurst);
        to.set_target_tokens(from.targetTokens);
        to.set_wait_ms(from.retryAfterMs);
    }

    share_grant readShareGrant(const wire::ShareGrant& from)
    {
        return share_grant { from.team(), from.epoch(), from.sequence(), from.added_rate(), from.added_burst(), from.added_tokens(), from.target_rate(),
            from.target_burst(), from.target_tokens(), from.wait_ms() };
    }

    bool isValid(const share_grant& it)
    {
        return isValidAmount(it.addedRate) && isValidAmount(it.addedBurst) && isValidAmount(it.addedTokens) && isValidAmount(it.targetRate) && isValidAmount(it.targetBurst) && isValidAmount(it.targetTokens);
    }

} // namespace

wire::PeerMessage toWire(const peer_message& from)
{
    wire::PeerMessage to;
    to.set_sender(from.sender);
    to.set_incarnation(from.incarnation);
    to.set_data_centre(from.dataCentre);
    to.set_version(from.version);
    to.set_stamp(from.stamp);
    to.set_echo(from.echo);
    to.set_echo_incarnation(from.echoIncarnation);
    if (from.storeRead.isKnown) {
        to.mutable_store_read()->set_head(from.storeRead.head);
        to.mutable_store_read()->set_age_ms(from.storeRead.ageMs);
    }
    for (const auto& versionReport : from.versionReports) {
        auto& it = *to.add_statements();
        it.set_host(versionReport.host);
        it.set_incarnation(versionReport.incarnation);
        it.set_version(versionReport.version);
        it.set_age_ms(versionReport.ageMs);
    }
    for (const auto& change : from.changes) {
        auto& it = *to.add_changes();
        it.set_id(change.id);
        it.set_version(change.version);
        it.set_author(change.author);
        it.set_accepted_at_unix_ms(change.acceptedAtUnixMs);
        it.set_command(change.command);
    }
    to.set_snapshot_version(from.snapshotVersion);
    for (const auto& command : from.snapshot)
        to.add_snapshot(command);
    to.set_wants_evidence(from.wantsHealthReports);
    for (const auto& report : from.healthReports)
        writeHealthReport(report, *to.add_evidence());
    for (const auto& report : from.shareReports)
        writeShareReport(report, *to.add_share_reports());
    for (const auto& grant : from.shareGrants)
        writeShareGrant(grant, *to.add_share_grants());
    for (const auto& handover : from.shareHandovers)
        writeShareHandover(handover, *to.add_share_handovers());
    for (const auto& quarantine : from.quarantines) {
        auto& it = *to.add_quarantines();
        it.set_fingerprint(quarantine.fingerprint);
        it.set_age_ms(quarantine.ageMs);
    }
    return to;
}

peer_message fromWire(const wire::PeerMessage& from)
{
    peer_message to;
    to.sender = from.sender();
    to.incarnation = from.incarnation();
    to.dataCentre = from.data_centre();
    to.version = from.version();
    to.stamp = from.stamp();
    to.echo = from.echo();
    to.echoIncarnation = from.echo_incarnation();
    if (from.has_store_read())
        to.storeRead = relayed_store_read { true, from.store_read().head(), from.store_read().age_ms() };
    for (const auto& it : from.statements())
        to.versionReports.push_back(relayed_version_report { it.host(), it.incarnation(), it.version(), it.age_ms() });
    for (const auto& it : from.changes())
        to.changes.push_back(change { it.id(), it.version(), it.author(), it.accepted_at_unix_ms(), it.command() });
    to.snapshotVersion = from.snapshot_version();
    to.snapshot.assign(from.snapshot().begin(), from.snapshot().end());
    to.wantsHealthReports = from.wants_evidence();
    for (const auto& it : from.evidence())
        to.healthReports.push_back(readHealthReport(it));
    for (const auto& it : from.share_reports()) {
        if (const auto report = readShareReport(it); isValid(report))
            to.shareReports.push_back(report);
    }
    for (const auto& it : from.share_handovers()) {
        const share_handover handover { it.team(), it.epoch(), it.rate_per_second(), it.burst(), it.tokens() };
        if (isValidAmount(handover.ratePerSecond) && isValidAmount(handover.burst) && isValidAmount(handover.tokens))
            to.shareHandovers.push_back(handover);
    }
    for (const auto& it : from.share_grants()) {
        if (const auto grant = readShareGrant(it); isValid(grant))
            to.shareGrants.push_back(grant);
    }
    for (const auto& it : from.quarantines())
        to.quarantines.push_back(relayed_quarantine { it.fingerprint(), it.age_ms() });
    return to;
}

} // namespace almondmoor
