// One function per table, and the list of tables by name.

#include "operator_tables.h"

#include "Core/command.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace almondmoor {

namespace {

    std::string formatNumber(double value)
    {
        return absl::StrFormat("%g", value);
    }

    text_table teamsTable(host_runtime& runtime, control_loop&)
    {
        text_table table { { "team", "rate", "burst", "weight", "admitted", "refused", "over-rate" }, {} };
        for (const auto& [name, row] : runtime.currentConfiguration()->teams()) {
            const team_counts counts = runtime.counters().teamCounts(name);
            table.rows.push_back({ name, formatNumber(row.ratePerSecond), formatNumber(row.burst), formatNumber(row.weight), absl::StrCat(counts.admitted),
                absl::StrCat(counts.refused), absl::StrCat(counts.rateRefused) });
        }
        return table;
    }

    text_table keysTable(host_runtime& runtime, control_loop&)
    {
        text_table table { { "key", "team", "state" }, {} };
        for (const auto& [id, row] : runtime.currentConfiguration()->keys())
            table.rows.push_back({ id, row.team, row.withdrawn ? "withdrawn" : "valid" });
        return table;
    }

    text_table servicesTable(host_runtime& runtime, control_loop&)
    {
        text_table table { { "service", "floor", "usable", "median-ms", "queued" }, {} };
        const auto held = runtime.currentConfiguration();
        for (const auto& [name, row] : held->services()) {
            runtime.withTraffic([&, service = name, floor = row.floor](traffic_core& traffic) {
                const auto& health = traffic.router().health();
                table.rows.push_back({ service, absl::StrCat(formatNumber(floor * 100), "%"), absl::StrFormat("%.0f%%", health.usableCapacity(service) * 100),
                    absl::StrFormat("%.1f", toSeconds(health.medianLatency(service)) * 1000), absl::StrCat(traffic.queueLength(service)) });
                return 0;
            });
        }
        return table;
    }

    text_table upstreamsTable(host_runtime& runtime, control_loop&)
    {
        text_table table { { "upstream", "service", "data-centre", "duty", "state", "weight", "fail-score", "slow-score", "ejections" }, {} };
        const auto held = runtime.currentConfiguration();
        runtime.withTraffic([&](traffic_core& traffic) {
            for (const auto& [address, row] : traffic.router().health().rows()) {
                const auto configured = held->upstreams().find(address);
                if (configured == held->upstreams().end())
                    continue;
                table.rows.push_back({ address, row.service, configured->second.dataCentre, std::string(nameIn(upstreamDutyNames, row.duty)),
                    std::string(nameIn(upstreamStateNames, row.state)), absl::StrFormat("%.2f", row.weight), absl::StrFormat("%.1f", row.failScore),
                    absl::StrFormat("%.1f", row.slowScore), absl::StrCat(row.ejections) });
            }
            return 0;
        });
        return table;
    }

    std::string accessText(const route& row)
    {
        switch (row.access) {
        case route_access::Open:
            return "open";
        case route_access::AnyTeam:
            return "any";
        case route_access::ListedTeams:
            return absl::StrJoin(row.teams, ",");
        }
        return "";
    }

    text_table routesTable(host_runtime& runtime, control_loop&)
    {
        text_table table { { "route", "service", "teams", "repeatable" }, {} };
        for (const auto& [prefix, row] : runtime.currentConfiguration()->routes())
            table.rows.push_back({ prefix, row.service, accessText(row), row.idempotent ? "yes" : "no" });
        return table;
    }

    text_table hostsTable(host_runtime&, control_loop& control)
    {
        text_table table { { "host", "data-centre", "peer-address", "version", "heard-ms-ago", "relay", "draining" }, {} };
        control.withMember([&](fleet_member& member) {
            const instant now = presentInstant();
            for (const auto& [name, row] : member.held()->hosts()) {
                const auto versionReport = member.freshnessState().versionReports().find(name);
                const bool isKnown = versionReport != member.freshnessState().versionReports().end() && versionReport->second.at != distantPast;
                const bool isSelf = row.peerAddress == member.address();
                const std::string version = isSelf ? absl::StrCat(member.held()->version()) : isKnown ? absl::StrCat(versionReport->second.version)
                                                                                                      : "?";
                const auto age = isKnown ? std::chrono::duration_cast<std::chrono::milliseconds>(now - versionReport->second.at).count() : 0;
                table.rows.push_back({ name, row.dataCentre, row.peerAddress, version, isSelf ? "0" : isKnown ? absl::StrCat(age)
                                                                                                              : "?",
                    member.isRelayHost(name, now) ? "yes" : "no", row.draining ? "yes" : "no" });
            }
            return 0;
        });
        return table;
    }

    text_table changesTable(host_runtime&, control_loop& control)
    {
        text_table table { { "version", "change", "author", "command" }, {} };
        control.withMember([&](fleet_member& member) {
            for (const change& entry : member.history())
                table.rows.push_back({ absl::StrCat(entry.version), entry.id, entry.author, withoutHash(entry.command) });
            return 0;
        });
        return table;
    }

    text_table refusalsTable(host_runtime& runtime, control_loop&)
    {
        text_table table { { "reason", "status", "count" }, {} };
        for (const refusal_row& row : refusalRows)
            table.rows.push_back({ std::string(row.name), absl::StrCat(row.httpStatus), absl::StrCat(runtime.counters().refusals(row.reason)) });
        return table;
    }

    text_table sharesTable(host_runtime& runtime, control_loop&)
    {
        text_table table { { "team", "shard", "home", "held-rate", "held-burst", "held-tokens" }, {} };
        const auto held = runtime.currentConfiguration();
        for (const auto& [name, row] : held->teams()) {
            const unsigned shard = shardOf(name);
            const auto home = held->shardHomes().find(shard);
            const share heldShare = runtime.withTraffic([&, team = name](traffic_core& traffic) { return traffic.holder().heldShare(team, presentInstant()); });
            table.rows.push_back({ name, absl::StrCat(shard), home == held->shardHomes().end() ? "none" : home->second.host,
                absl::StrFormat("%.1f", heldShare.ratePerSecond), absl::StrFormat("%.1f", heldShare.burst), absl::StrFormat("%.1f", heldShare.tokens) });
        }
        return table;
    }

    struct table_entry {
        std::string_view name;
        text_table (*make)(host_runtime&, control_loop&);
    };

    constexpr std::array<table_entry, 9> tables { {
        { "teams", teamsTable },
        { "keys", keysTable },
        { "services", servicesTable },
        { "upstreams", upstreamsTable },
        { "routes", routesTable },
        { "hosts", hostsTable },
        { "changes", changesTable },
        { "refusals", refusalsTable },
        { "shares", sharesTable },
    } };

} // namespace

absl::StatusOr<text_table> makeTable(const std::string& name, host_runtime& runtime, control_loop& control)
{
    for (const auto& entry : tables) {
        if (entry.name == name)
            return entry.make(runtime, control);
    }
    const auto names = absl::StrJoin(tables, ", ", [](std::string* out, const table_entry& entry) { absl::StrAppend(out, std::string(entry.name)); });
    return makeError(absl::StatusCode::kInvalidArgument, "query", "", absl::StrCat("no table '", name, "'; there are ", names));
}

} // namespace almondmoor
