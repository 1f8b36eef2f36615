// Applies commands to the tables and converts the tables to and from snapshots.

#include "Core/configuration.h"

#include "Core/command.h"
#include "Core/error.h"
#include "Core/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace almondmoor {

namespace {

    absl::Status refuse(absl::StatusCode code, const std::string& detail)
    {
        return makeError(code, "configuration", "", detail);
    }

    template <typename Table>
    absl::Status mustExist(const Table& table, const std::string& name, const char* what)
    {
        if (table.count(name))
            return absl::OkStatus();
        return refuse(absl::StatusCode::kNotFound, absl::StrCat("no ", what, " named '", name, "'; 'show ", what, "s' lists them"));
    }

    template <typename Table>
    absl::Status mustNotExist(const Table& table, const std::string& name, const char* what)
    {
        if (!table.count(name))
            return absl::OkStatus();
        return refuse(absl::StatusCode::kAlreadyExists, absl::StrCat("a ", what, " named '", name, "' exists already"));
    }

} // namespace

// Applies one parsed command to the tables. Each operator() makes all its checks before its first write, so that a refused
// command leaves the tables unchanged.
class configuration_editor {
public:
    // Where a command comes from. In a snapshot the home of a shard may be a host that has left since, if no successor is
    // assigned yet; in the log it must be a member.
    enum class source {
        Log,
        Snapshot
    };

    configuration_editor(configuration& target, config_version version, source from)
        : m_target(target)
        , m_version(version)
        , m_from(from)
    {
    }

    absl::Status operator()(const create_team& command)
    {
        auto status = mustNotExist(m_target.m_teams, command.row.name, "team");
        if (status.ok())
            m_target.m_teams.emplace(command.row.name, command.row);
        return status;
    }

    absl::Status operator()(const change_team& command)
    {
        auto status = mustExist(m_target.m_teams, command.name, "team");
        if (!status.ok())
            return status;
        auto& row = m_target.m_teams.at(command.name);
        row.ratePerSecond = command.ratePerSecond.value_or(row.ratePerSecond);
        row.burst = command.burst.value_or(row.burst);
        row.weight = command.weight.value_or(row.weight);
        return absl::OkStatus();
    }

    absl::Status operator()(const remove_team& command)
    {
        auto status = mustExist(m_target.m_teams, command.name, "team");
        if (!status.ok())
            return status;
        for (const auto& [id, key] : m_target.m_keys) {
            if (key.team == command.name && !key.withdrawn)
                return refuse(absl::StatusCode::kFailedPrecondition, absl::StrCat("key '", id, "' of the team still works; withdraw it first"));
        }
        for (const auto& [prefix, route] : m_target.m_routes) {
            if (std::find(route.teams.begin(), route.teams.end(), command.name) != route.teams.end())
                return refuse(absl::StatusCode::kFailedPrecondition, absl::StrCat("route '", prefix, "' lists the team; remove the route first"));
        }
        m_target.m_teams.erase(command.name);
        return absl::OkStatus();
    }

    absl::Status operator()(const create_key& command)
    {
        if (command.row.id.empty() || command.row.secretHash.empty())
            return refuse(absl::StatusCode::kInvalidArgument, "a logged key needs an id and a hash");
        auto status = mustExist(m_target.m_teams, command.row.team, "team");
        if (status.ok())
            status = mustNotExist(m_target.m_keys, command.row.id, "key");
        if (!status.ok())
            return status;
        m_target.m_keys.emplace(command.row.id, command.row);
        m_target.m_keyByHash.emplace(command.row.secretHash, command.row.id);
        return absl::OkStatus();
    }

    absl::Status operator()(const withdraw_key& command)
    {
        auto status = mustExist(m_target.m_keys, command.id, "key");
        if (!status.ok())
            return status;
        auto& key = m_target.m_keys.at(command.id);
        if (key.withdrawn)
            return refuse(absl::StatusCode::kFailedPrecondition, absl::StrCat("key '", command.id, "' was withdrawn already"));
        key.withdrawn = true;
        m_target.m_keyByHash.erase(key.secretHash);
        return absl::OkStatus();
    }

    absl::Status operator()(const create_service& command)
    {
        auto status = mustNotExist(m_target.m_services, command.row.name, "service");
        if (status.ok())
            m_target.m_services.emplace(command.row.name, command.row);
        return status;
    }

    absl::Status operator()(const create_upstream& command)
    {
        auto status = mustExist(m_target.m_services, command.row.service, "service");
        if (status.ok())
            status = mustNotExist(m_target.m_upstreams, command.row.address, "upstream");
        if (status.ok())
            m_target.m_upstreams.emplace(command.row.address, command.row);
        return status;
    }

    absl::Status operator()(const set_upstream_duty& command)
    {
        auto status = mustExist(m_target.m_upstreams, command.address, "upstream");
        if (status.ok())
            m_target.m_upstreams.at(command.address).duty = command.duty;
        return status;
    }

    absl::Status operator()(const create_route& command)
    {
        auto status = mustExist(m_target.m_services, command.row.service, "service");
        if (status.ok())
            status = mustNotExist(m_target.m_routes, command.row.prefix, "route");
        for (const auto& name : command.row.teams) {
            if (status.ok())
                status = mustExist(m_target.m_teams, name, "team");
        }
        if (status.ok())
            m_target.m_routes.emplace(command.row.prefix, command.row);
        return status;
    }

    absl::Status operator()(const remove_route& command)
    {
        auto status = mustExist(m_target.m_routes, command.prefix, "route");
        if (status.ok())
            m_target.m_routes.erase(command.prefix);
        return status;
    }

    absl::Status operator()(const join_host& command)
    {
        const auto found = m_target.m_hosts.find(command.row.name);
        if (found != m_target.m_hosts.end() && found->second.incarnation >= command.row.incarnation)
            return refuse(absl::StatusCode::kFailedPrecondition,
                absl::StrCat("host '", command.row.name, "' joined already with incarnation ", found->second.incarnation));
        m_target.m_hosts[command.row.name] = command.row;
        return absl::OkStatus();
    }

    absl::Status operator()(const leave_host& command)
    {
        auto status = mustExist(m_target.m_hosts, command.name, "host");
        if (!status.ok())
            return status;
        if (m_target.m_hosts.at(command.name).incarnation != command.incarnation)
            return refuse(absl::StatusCode::kFailedPrecondition, absl::StrCat("host '", command.name, "' has started again since"));
        m_target.m_hosts.erase(command.name);
        return absl::OkStatus();
    }

    absl::Status operator()(const remove_host&) { return refuse(absl::StatusCode::kInvalidArgument, "the log holds 'leave host' instead"); }

    absl::Status operator()(const drain_host& command)
    {
        auto status = mustExist(m_target.m_hosts, command.name, "host");
        if (status.ok())
            m_target.m_hosts.at(command.name).draining = true;
        return status;
    }

    absl::Status operator()(const assign_shards& command)
    {
        auto status = mustExist(m_target.m_hosts, command.host, "host");
        if (m_from == source::Log && !status.ok())
            return status;
        for (const unsigned shard : command.shards)
            m_target.m_shardHomes[shard] = shard_home { command.host, command.incarnation, m_version, command.inherited };
        return absl::OkStatus();
    }

    absl::Status operator()(const show_query&) { return notAChange(); }
    absl::Status operator()(const explain_query&) { return notAChange(); }
    absl::Status operator()(const status_query&) { return notAChange(); }

private:
    static absl::Status notAChange() { return refuse(absl::StatusCode::kInvalidArgument, "a query changes nothing"); }

    configuration& m_target;
    config_version m_version;
    source m_from;
};

unsigned shardOf(std::string_view team)
{
    return static_cast<unsigned>(stableHash(team) % shardCount);
}

absl::Status configuration::apply(const change& entry)
{
    if (entry.version != m_version + 1)
        return refuse(absl::StatusCode::kOutOfRange, absl::StrCat("change ", entry.version, " does not follow version ", m_version));
    const auto parsed = parseCommand(entry.command);
    if (!parsed.ok())
        return parsed.status();
    auto status = std::visit(configuration_editor(*this, entry.version, configuration_editor::source::Log), *parsed);
    if (!status.ok())
        return status;
    m_version = entry.version;
    m_lastChange[subjectOf(*parsed)] = absl::StrCat("change ", entry.id, " (version ", entry.version, ") by ", entry.author, ": ", withoutHash(entry.command));
    return absl::OkStatus();
}

absl::Status configuration::check(const std::string& commandText) const
{
    configuration copy = *this;
    return copy.apply(change { "check", m_version + 1, "", 0, commandText });
}

const client_key* configuration::findKey(std::string_view secretHash) const
{
    const auto found = m_keyByHash.find(secretHash);
    return found == m_keyByHash.end() ? nullptr : &m_keys.at(found->second);
}

const route* configuration::findRoute(std::string_view path) const
{
    std::string candidate(path.substr(0, path.find_first_of("?#")));
    while (true) {
        const auto found = m_routes.find(candidate);
        if (found != m_routes.end())
            return &found->second;
        if (candidate.size() <= 1)
            return nullptr;
        const auto slash = candidate.rfind('/');
        if (slash == std::string::npos)
            return nullptr;
        candidate.resize(slash == 0 ? 1 : slash);
    }
}

std::string configuration::lastChangeOf(const std::string& subject) const
{
    const auto found = m_lastChange.find(subject);
    return found == m_lastChange.end() ? std::string() : found->second;
}

std::vector<std::string> configuration::snapshotCommands() const
{
    std::vector<std::string> commands;
    for (const auto& [name, row] : m_teams)
        commands.push_back(formatCommand(create_team { row }));
    for (const auto& [id, row] : m_keys) {
        if (!row.withdrawn)
            commands.push_back(formatCommand(create_key { row }));
    }
    for (const auto& [name, row] : m_services)
        commands.push_back(formatCommand(create_service { row }));
    for (const auto& [address, row] : m_upstreams) {
        commands.push_back(formatCommand(create_upstream { row }));
        if (row.duty != upstream_duty::Serving)
            commands.push_back(formatCommand(set_upstream_duty { address, row.duty }));
    }
    for (const auto& [prefix, row] : m_routes)
        commands.push_back(formatCommand(create_route { row }));
    for (const auto& [name, row] : m_hosts) {
        commands.push_back(formatCommand(join_host { row }));
        if (row.draining)
            commands.push_back(formatCommand(drain_host { name }));
    }
    for (const auto& [shard, home] : m_shardHomes)
        commands.push_back(absl::StrCat("assign shards ", shard, " on ", home.host, " incarnation ", home.incarnation,
            home.inherited ? "" : " unused", " epoch ", home.epoch));
    return commands;
}

absl::StatusOr<configuration> configuration::fromSnapshot(config_version version, const std::vector<std::string>& commands)
{
    configuration result;
    for (const auto& text : commands) {
        const auto epochPosition = text.find(" epoch ");
        const auto parsed = parseCommand(text.substr(0, epochPosition));
        if (!parsed.ok())
            return parsed.status();
        const config_version epoch = epochPosition == std::string::npos ? version : std::stoull(text.substr(epochPosition + 7));
        auto status = std::visit(configuration_editor(result, epoch, configuration_editor::source::Snapshot), *parsed);
        if (!status.ok())
            return status;
    }
    result.m_version = version;
    return result;
}

} // namespace almondmoor
