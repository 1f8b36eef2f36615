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

// Applies one parsed command to the tables. Each function checks everything
// before it writes anything.
class configuration_editor {
public:
    // A snapshot may name homes that have left since and await a successor.
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

    absl::Status operator()(const create_team& it)
    {
        auto status = mustNotExist(m_target.m_teams, it.row.name, "team");
        if (status.ok())
            m_target.m_teams.emplace(it.row.name, it.row);
        return status;
    }

    absl::Status operator()(const change_team& it)
    {
        auto status = mustExist(m_target.m_teams, it.name, "team");
        if (!status.ok())
            return status;
        auto& row = m_target.m_teams.at(it.name);
        row.ratePerSecond = it.ratePerSecond.value_or(row.ratePerSecond);
        row.burst = it.burst.value_or(row.burst);
        row.weight = it.weight.value_or(row.weight);
        return absl::OkStatus();
    }

    absl::Status operator()(const remove_team& it)
    {
        auto status = mustExist(m_target.m_teams, it.name, "team");
        if (!status.ok())
            return status;
        for (const auto& [id, key] : m_target.m_keys) {
            if (key.team == it.name && !key.withdrawn)
                return refuse(absl::StatusCode::kFailedPrecondition, absl::StrCat("key '", id, "' of the team still works; withdraw it first"));
        }
        for (const auto& [prefix, route] : m_target.m_routes) {
            if (std::find(route.teams.begin(), route.teams.end(), it.name) != route.teams.end())
                return refuse(absl::StatusCode::kFailedPrecondition, absl::StrCat("route '", prefix, "' lists the team; remove the route first"));
        }
        m_target.m_teams.erase(it.name);
        return absl::OkStatus();
    }

    absl::Status operator()(const create_key& it)
    {
        if (it.row.id.empty() || it.row.secretHash.empty())
            return refuse(absl::StatusCode::kInvalidArgument, "a logged key needs an id and a hash");
        auto status = mustExist(m_target.m_teams, it.row.team, "team");
        if (status.ok())
            status = mustNotExist(m_target.m_keys, it.row.id, "key");
        if (!status.ok())
            return status;
        m_target.m_keys.emplace(it.row.id, it.row);
        m_target.m_keyByHash.emplace(it.row.secretHash, it.row.id);
        return absl::OkStatus();
    }

    absl::Status operator()(const withdraw_key& it)
    {
        auto status = mustExist(m_target.m_keys, it.id, "key");
        if (!status.ok())
            return status;
        auto& key = m_target.m_keys.at(it.id);
        if (key.withdrawn)
            return refuse(absl::StatusCode::kFailedPrecondition, absl::StrCat("key '", it.id, "' was withdrawn already"));
        key.withdrawn = true;
        m_target.m_keyByHash.erase(key.secretHash);
        return absl::OkStatus();
    }

    absl::Status operator()(const create_service& it)
    {
        auto status = mustNotExist(m_target.m_services, it.row.name, "service");
        if (status.ok())
            m_target.m_services.emplace(it.row.name, it.row);
        return status;
    }

    absl::Status operator()(const create_upstream& it)
    {
        auto status = mustExist(m_target.m_services, it.row.service, "service");
        if (status.ok())
            status = mustNotExist(m_target.m_upstreams, it.row.address, "upstream");
        if (status.ok())
            m_target.m_upstreams.emplace(it.row.address, it.row);
        return status;
    }

    absl::Status operator()(const set_upstream_duty& it)
    {
        auto status = mustExist(m_target.m_upstreams, it.address, "upstream");
        if (status.ok())
            m_target.m_upstreams.at(it.address).duty = it.duty;
        return status;
    }

    absl::Status operator()(const create_route& it)
    {
        auto status = mustExist(m_target.m_services, it.row.service, "service");
        if (status.ok())
            status = mustNotExist(m_target.m_routes, it.row.prefix, "route");
        for (const auto& name : it.row.teams) {
            if (status.ok())
                status = mustExist(m_target.m_teams, name, "team");
        }
        if (status.ok())
            m_target.m_routes.emplace(it.row.prefix, it.row);
        return status;
    }

    absl::Status operator()(const remove_route& it)
    {
        auto status = mustExist(m_target.m_routes, it.prefix, "route");
        if (status.ok())
            m_target.m_routes.erase(it.prefix);
        return status;
    }

    absl::Status operator()(const join_host& it)
    {
        const auto found = m_target.m_hosts.find(it.row.name);
        if (found != m_target.m_hosts.end() && found->second.incarnation >= it.row.incarnation)
            return refuse(absl::StatusCode::kFailedPrecondition,
                absl::StrCat("host '", it.row.name, "' joined already with incarnation ", found->second.incarnation));
        m_target.m_hosts[it.row.name] = it.row;
        return absl::OkStatus();
    }

    absl::Status operator()(const leave_host& it)
    {
        auto status = mustExist(m_target.m_hosts, it.name, "host");
        if (!status.ok())
            return status;
        if (m_target.m_hosts.at(it.name).incarnation != it.incarnation)
            return refuse(absl::StatusCode::kFailedPrecondition, absl::StrCat("host '", it.name, "' has started again since"));
        m_target.m_hosts.erase(it.name);
        return absl::OkStatus();
    }

    absl::Status operator()(const remove_host&) { return refuse(absl::StatusCode::kInvalidArgument, "the log holds 'leave host' instead"); }

    absl::Status operator()(const drain_host& it)
    {
        auto status = mustExist(m_target.m_hosts, it.name, "host");
        if (status.ok())
            m_target.m_hosts.at(it.name).draining = true;
        return status;
    }

    absl::Status operator()(const assign_shards& it)
    {
        auto status = mustExist(m_target.m_hosts, it.host, "host");
        if (m_from == source::Log && !status.ok())
            return status;
        for (const unsigned shard : it.shards)
            m_target.m_shardHomes[shard] = shard_home { it.host, it.incarnation, m_version, it.inherited };
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

absl::Status configuration::apply(const change& it)
{
    if (it.version != m_version + 1)
        return refuse(absl::StatusCode::kOutOfRange, absl::StrCat("change ", it.version, " does not follow version ", m_version));
    const auto parsed = parseCommand(it.command);
    if (!parsed.ok())
        return parsed.status();
    auto status = std::visit(configuration_editor(*this, it.version, configuration_editor::source::Log), *parsed);
    if (!status.ok())
        return status;
    m_version = it.version;
    m_lastChange[subjectOf(*parsed)] = absl::StrCat("change ", it.id, " (version ", it.version, ") by ", it.author, ": ", withoutHash(it.command));
    return absl::OkStatus();
}

absl::Status configuration::check(const std::string& commandText) const
{
    configuration copy = *this;
    return copy.apply(change { "check", m_version + 1, "", 0, commandText });
}

const guest_key* configuration::findKey(std::string_view secretHash) const
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

std::string configuration::lastChangeOf(const std::string& thing) const
{
    const auto found = m_lastChange.find(thing);
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
        const auto epochAt = text.find(" epoch ");
        const auto parsed = parseCommand(text.substr(0, epochAt));
        if (!parsed.ok())
            return parsed.status();
        const config_version epoch = epochAt == std::string::npos ? version : std::stoull(text.substr(epochAt + 7));
        auto status = std::visit(configuration_editor(result, epoch, configuration_editor::source::Snapshot), *parsed);
        if (!status.ok())
            return status;
    }
    result.m_version = version;
    return result;
}

} // namespace almondmoor
