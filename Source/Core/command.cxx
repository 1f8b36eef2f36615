#include "Core/command.h"

#include "Core/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <array>
#include <functional>

namespace almondmoor {

namespace {

    constexpr double greatestRatePerSecond = 1'000'000;
    constexpr double greatestBurst = 1'000'000;
    constexpr double greatestWeight = 1'000;
    constexpr std::size_t longestName = 128;

    // A position in a line of words, with errors that point at the present word.
    class word_cursor {
    public:
        explicit word_cursor(std::string_view line)
        {
            const absl::string_view text(line.data(), line.size());
            for (const absl::string_view word : absl::StrSplit(text, absl::ByAnyChar(" \t\r\n"), absl::SkipEmpty()))
                m_words.emplace_back(word);
        }

        bool atEnd() const { return m_next == m_words.size(); }
        const std::string& peek() const { return atEnd() ? m_end : m_words[m_next]; }
        std::string take() { return atEnd() ? std::string() : m_words[m_next++]; }

        bool takeIf(std::string_view word)
        {
            if (atEnd() || m_words[m_next] != word)
                return false;
            ++m_next;
            return true;
        }

        absl::Status expect(std::string_view word)
        {
            return takeIf(word) ? absl::OkStatus() : error(absl::StrCat("expected '", std::string(word), "'"));
        }

        absl::Status expectEnd() const
        {
            return atEnd() ? absl::OkStatus() : error("expected the end of the command");
        }

        absl::Status error(const std::string& expectation) const
        {
            const std::string found = atEnd() ? "the end" : absl::StrCat("'", m_words[m_next], "'");
            return makeError(absl::StatusCode::kInvalidArgument, "command", "",
                absl::StrCat("at word ", m_next + 1, ", ", found, ": ", expectation));
        }

    private:
        std::vector<std::string> m_words;
        std::size_t m_next = 0;
        std::string m_end;
    };

    bool isNameCharacter(char character)
    {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) || std::string_view("-_.:/[]").find(character) != std::string_view::npos;
    }

    absl::Status takeName(word_cursor& words, std::string_view what, std::string& name)
    {
        const std::string& word = words.peek();
        if (word.empty() || word.size() > longestName || !std::all_of(word.begin(), word.end(), isNameCharacter))
            return words.error(absl::StrCat("expected the name of a ", std::string(what), " (letters, digits, - _ . : /)"));
        name = words.take();
        return absl::OkStatus();
    }

    absl::Status takeNumber(word_cursor& words, std::string_view unit, double least, double greatest, double& value)
    {
        absl::string_view digits = words.peek();
        const absl::string_view suffix(unit.data(), unit.size());
        double parsed = 0;
        const bool hasUnit = absl::ConsumeSuffix(&digits, suffix);
        const bool good = hasUnit && absl::SimpleAtod(digits, &parsed) && parsed >= least && parsed <= greatest;
        if (!good)
            return words.error(absl::StrFormat("expected a number from %.12g%s to %.12g%s", least, std::string(unit), greatest, std::string(unit)));
        value = parsed;
        words.take();
        return absl::OkStatus();
    }

    template <typename Integer>
    absl::Status takeInteger(word_cursor& words, Integer least, Integer greatest, Integer& value)
    {
        std::uint64_t parsed = 0;
        if (!absl::SimpleAtoi(words.peek(), &parsed) || parsed < least || parsed > greatest)
            return words.error(absl::StrCat("expected a whole number from ", least, " to ", greatest));
        value = static_cast<Integer>(parsed);
        words.take();
        return absl::OkStatus();
    }

    absl::Status takeAddress(word_cursor& words, std::string_view what, std::string& address)
    {
        const std::string& word = words.peek();
        const auto colon = word.rfind(':');
        unsigned port = 0;
        const bool good = colon != std::string::npos && colon > 0 && absl::SimpleAtoi(word.substr(colon + 1), &port) && port > 0 && port < 65536
            && word.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
        if (!good)
            return words.error(absl::StrCat("expected the ", std::string(what), " as IP-NUMBER:PORT"));
        address = words.take();
        return absl::OkStatus();
    }

    // Runs parse steps in order and stops at the first error.
    template <typename... Steps>
    absl::Status inOrder(Steps&&... steps)
    {
        absl::Status status;
        (void)((status = steps(), status.ok()) && ...);
        return status;
    }

    template <typename Command>
    absl::StatusOr<command> finish(word_cursor& words, const absl::Status& status, Command result)
    {
        if (!status.ok())
            return status;
        const auto end = words.expectEnd();
        if (!end.ok())
            return end;
        return command(std::move(result));
    }

    absl::Status takeRate(word_cursor& words, double& rate)
    {
        return takeNumber(words, "/s", 0.01, greatestRatePerSecond, rate);
    }

    absl::Status takeBurst(word_cursor& words, double& burst)
    {
        return takeNumber(words, "", 1, greatestBurst, burst);
    }

    absl::Status takeWeight(word_cursor& words, double& weight)
    {
        return takeNumber(words, "", 0.01, greatestWeight, weight);
    }

    absl::StatusOr<command> parseCreateTeam(word_cursor& words)
    {
        create_team result;
        auto status = inOrder([&] { return takeName(words, "team", result.row.name); }, [&] { return words.expect("rate"); },
            [&] { return takeRate(words, result.row.ratePerSecond); }, [&] { return words.expect("burst"); },
            [&] { return takeBurst(words, result.row.burst); },
            [&] { return words.takeIf("weight") ? takeWeight(words, result.row.weight) : absl::OkStatus(); });
        return finish(words, status, result);
    }

    absl::StatusOr<command> parseChangeTeam(word_cursor& words)
    {
        change_team result;
        auto status = inOrder([&] { return words.expect("team"); }, [&] { return takeName(words, "team", result.name); });
        while (status.ok() && !words.atEnd()) {
            if (words.takeIf("rate"))
                status = takeRate(words, result.ratePerSecond.emplace());
            else if (words.takeIf("burst"))
                status = takeBurst(words, result.burst.emplace());
            else if (words.takeIf("weight"))
                status = takeWeight(words, result.weight.emplace());
            else
                status = words.error("expected 'rate', 'burst' or 'weight'");
        }
        if (status.ok() && !result.ratePerSecond && !result.burst && !result.weight)
            status = words.error("expected 'rate', 'burst' or 'weight'");
        return finish(words, status, result);
    }

    absl::StatusOr<command> parseCreateKey(word_cursor& words)
    {
        create_key result;
        if (!words.takeIf("for")) {
            auto status = takeName(words, "key", result.row.id);
            if (!status.ok())
                return status;
            if (!words.takeIf("for"))
                return words.error("expected 'for'");
        }
        auto status = inOrder([&] { return words.expect("team"); }, [&] { return takeName(words, "team", result.row.team); },
            [&] { return words.takeIf("hash") ? takeName(words, "hash", result.row.secretHash) : absl::OkStatus(); });
        return finish(words, status, result);
    }

    absl::StatusOr<command> parseCreateService(word_cursor& words)
    {
        create_service result;
        double percent = result.row.floor * 100;
        auto status = inOrder([&] { return takeName(words, "service", result.row.name); },
            [&] { return words.takeIf("floor") ? takeNumber(words, "%", 0, 100, percent) : absl::OkStatus(); });
        result.row.floor = percent / 100;
        return finish(words, status, result);
    }

    absl::StatusOr<command> parseCreateUpstream(word_cursor& words)
    {
        create_upstream result;
        auto& row = result.row;
        auto status = inOrder([&] { return takeAddress(words, "upstream", row.address); }, [&] { return words.expect("for"); },
            [&] { return words.expect("service"); }, [&] { return takeName(words, "service", row.service); },
            [&] { return words.expect("in"); }, [&] { return takeName(words, "data centre", row.dataCentre); });
        while (status.ok() && !words.atEnd()) {
            if (words.takeIf("slots"))
                status = takeInteger(words, 1U, 10'000U, row.slots);
            else if (words.takeIf("connections"))
                status = takeInteger(words, 1U, 100'000U, row.connections);
            else
                status = words.error("expected 'slots' or 'connections'");
        }
        return finish(words, status, result);
    }

    absl::Status takeAccess(word_cursor& words, route& row)
    {
        if (words.takeIf("open")) {
            row.access = route_access::Open;
            return absl::OkStatus();
        }
        auto status = words.expect("teams");
        if (!status.ok())
            return words.error("expected 'open' or 'teams'");
        if (words.takeIf("any"))
            return absl::OkStatus();
        row.access = route_access::ListedTeams;
        const std::string list = words.peek();
        for (const absl::string_view name : absl::StrSplit(list, ','))
            row.teams.emplace_back(name);
        const bool bad = std::any_of(row.teams.begin(), row.teams.end(), [](const auto& name) { return name.empty(); });
        if (bad)
            return words.error("expected 'any' or team names separated by commas");
        words.take();
        return absl::OkStatus();
    }

    absl::StatusOr<command> parseCreateRoute(word_cursor& words)
    {
        create_route result;
        auto& row = result.row;
        if (words.peek().empty() || words.peek().front() != '/')
            return words.error("expected a path that begins with /");
        auto status = inOrder([&] { return takeName(words, "route", row.prefix); }, [&] { return words.expect("to"); },
            [&] { return takeName(words, "service", row.service); },
            [&] { return takeAccess(words, row); },
            [&] {
                if (words.takeIf("repeatable"))
                    row.idempotent = true;
                else if (!words.atEnd())
                    return words.error("expected 'repeatable' or the end of the command");
                return absl::OkStatus();
            });
        return finish(words, status, result);
    }

    absl::StatusOr<command> parseCreate(word_cursor& words)
    {
        if (words.takeIf("team"))
            return parseCreateTeam(words);
        if (words.takeIf("key"))
            return parseCreateKey(words);
        if (words.takeIf("service"))
            return parseCreateService(words);
        if (words.takeIf("upstream"))
            return parseCreateUpstream(words);
        if (words.takeIf("route"))
            return parseCreateRoute(words);
        return words.error("expected 'team', 'key', 'service', 'upstream' or 'route'");
    }

    absl::StatusOr<command> parseRemove(word_cursor& words)
    {
        if (words.takeIf("team")) {
            remove_team result;
            const absl::Status status = takeName(words, "team", result.name);
            return finish(words, status, result);
        }
        if (words.takeIf("route")) {
            remove_route result;
            const absl::Status status = takeName(words, "route", result.prefix);
            return finish(words, status, result);
        }
        if (words.takeIf("host")) {
            remove_host result;
            const absl::Status status = takeName(words, "host", result.name);
            return finish(words, status, result);
        }
        return words.error("expected 'team', 'route' or 'host'");
    }

    absl::StatusOr<command> parseWithdraw(word_cursor& words)
    {
        withdraw_key result;
        auto status = inOrder([&] { return words.expect("key"); }, [&] { return takeName(words, "key", result.id); });
        return finish(words, status, result);
    }

    absl::StatusOr<command> parseUpstreamDuty(word_cursor& words, upstream_duty duty)
    {
        set_upstream_duty result;
        result.duty = duty;
        auto status = inOrder([&] { return words.expect("upstream"); }, [&] { return takeAddress(words, "upstream", result.address); });
        return finish(words, status, result);
    }

    absl::StatusOr<command> parseRetire(word_cursor& words)
    {
        return parseUpstreamDuty(words, upstream_duty::Retired);
    }

    absl::StatusOr<command> parseRestore(word_cursor& words)
    {
        return parseUpstreamDuty(words, upstream_duty::Serving);
    }

    absl::StatusOr<command> parseDrain(word_cursor& words)
    {
        if (!words.takeIf("host"))
            return parseUpstreamDuty(words, upstream_duty::Draining);
        drain_host result;
        const absl::Status status = takeName(words, "host", result.name);
        return finish(words, status, result);
    }

    absl::Status takeIncarnation(word_cursor& words, std::uint64_t& incarnation)
    {
        auto status = words.expect("incarnation");
        return status.ok() ? takeInteger<std::uint64_t>(words, 1, UINT64_MAX, incarnation) : status;
    }

    absl::StatusOr<command> parseJoin(word_cursor& words)
    {
        join_host result;
        auto& row = result.row;
        auto status = inOrder([&] { return words.expect("host"); }, [&] { return takeName(words, "host", row.name); },
            [&] { return takeIncarnation(words, row.incarnation); }, [&] { return words.expect("at"); },
            [&] { return takeAddress(words, "host", row.peerAddress); }, [&] { return words.expect("in"); },
            [&] { return takeName(words, "data centre", row.dataCentre); });
        return finish(words, status, result);
    }

    absl::StatusOr<command> parseLeave(word_cursor& words)
    {
        leave_host result;
        auto status = inOrder([&] { return words.expect("host"); }, [&] { return takeName(words, "host", result.name); },
            [&] { return takeIncarnation(words, result.incarnation); });
        return finish(words, status, result);
    }

    absl::Status takeShards(word_cursor& words, std::vector<unsigned>& shards)
    {
        const std::string list = words.peek();
        for (const absl::string_view item : absl::StrSplit(list, ',')) {
            unsigned shard = 0;
            if (!absl::SimpleAtoi(item, &shard) || shard >= shardCount)
                return words.error(absl::StrCat("expected shard numbers from 0 to ", shardCount - 1, " separated by commas"));
            shards.push_back(shard);
        }
        words.take();
        return absl::OkStatus();
    }

    absl::StatusOr<command> parseAssign(word_cursor& words)
    {
        assign_shards result;
        auto status = inOrder([&] { return words.expect("shards"); }, [&] { return takeShards(words, result.shards); },
            [&] { return words.expect("on"); }, [&] { return takeName(words, "host", result.host); },
            [&] { return takeIncarnation(words, result.incarnation); },
            [&] { result.inherited = !words.takeIf("unused"); return absl::OkStatus(); });
        return finish(words, status, result);
    }

    constexpr name_table<comparison, 4> comparisonNames { {
        { comparison::Equal, "=" },
        { comparison::NotEqual, "!=" },
        { comparison::Less, "<" },
        { comparison::Greater, ">" },
    } };

    absl::Status takeWhere(word_cursor& words, show_query& query)
    {
        auto column = takeName(words, "column", query.whereColumn);
        if (!column.ok())
            return column;
        const auto how = valueIn(comparisonNames, std::string_view(words.peek()));
        if (!how)
            return words.error("expected '=', '!=', '<' or '>'");
        words.take();
        query.whereIs = *how;
        if (words.atEnd())
            return words.error("expected a value to compare with");
        query.whereValue = words.take();
        return absl::OkStatus();
    }

    absl::StatusOr<command> parseShow(word_cursor& words)
    {
        show_query query;
        auto status = takeName(words, "table", query.table);
        while (status.ok() && !words.atEnd()) {
            if (words.takeIf("where"))
                status = takeWhere(words, query);
            else if (words.takeIf("order"))
                status = inOrder([&] { return words.expect("by"); }, [&] { return takeName(words, "column", query.orderColumn); });
            else if (words.takeIf("limit"))
                status = takeInteger<std::size_t>(words, 1, 100'000, query.limit.emplace());
            else
                status = words.error("expected 'where', 'order by' or 'limit'");
        }
        return finish(words, status, query);
    }

    absl::StatusOr<command> parseExplain(word_cursor& words)
    {
        explain_query result;
        auto status = inOrder([&] { return words.expect("request"); }, [&] { return takeName(words, "request", result.requestId); });
        return finish(words, status, result);
    }

    absl::StatusOr<command> parseStatus(word_cursor& words)
    {
        status_query result;
        auto status = inOrder([&] { return words.expect("change"); }, [&] { return takeName(words, "change", result.changeId); });
        return finish(words, status, result);
    }

    struct verb_row {
        std::string_view verb;
        absl::StatusOr<command> (*parse)(word_cursor&);
    };

    constexpr std::array<verb_row, 13> verbs { {
        { "show", parseShow },
        { "explain", parseExplain },
        { "status", parseStatus },
        { "create", parseCreate },
        { "change", parseChangeTeam },
        { "remove", parseRemove },
        { "withdraw", parseWithdraw },
        { "retire", parseRetire },
        { "drain", parseDrain },
        { "restore", parseRestore },
        { "join", parseJoin },
        { "leave", parseLeave },
        { "assign", parseAssign },
    } };

    std::string formatAccess(const route& row)
    {
        switch (row.access) {
        case route_access::Open:
            return "open";
        case route_access::AnyTeam:
            return "teams any";
        case route_access::ListedTeams:
            return absl::StrCat("teams ", absl::StrJoin(row.teams, ","));
        }
        return "";
    }

    struct command_formatter {
        std::string operator()(const create_team& it) const
        {
            return absl::StrCat("create team ", it.row.name, " rate ", it.row.ratePerSecond, "/s burst ", it.row.burst, " weight ", it.row.weight);
        }
        std::string operator()(const change_team& it) const
        {
            std::string text = absl::StrCat("change team ", it.name);
            if (it.ratePerSecond)
                absl::StrAppend(&text, " rate ", *it.ratePerSecond, "/s");
            if (it.burst)
                absl::StrAppend(&text, " burst ", *it.burst);
            if (it.weight)
                absl::StrAppend(&text, " weight ", *it.weight);
            return text;
        }
        std::string operator()(const remove_team& it) const { return absl::StrCat("remove team ", it.name); }
        std::string operator()(const create_key& it) const
        {
            const std::string id = it.row.id.empty() ? "" : absl::StrCat(it.row.id, " ");
            const std::string hash = it.row.secretHash.empty() ? "" : absl::StrCat(" hash ", it.row.secretHash);
            return absl::StrCat("create key ", id, "for team ", it.row.team, hash);
        }
        std::string operator()(const withdraw_key& it) const { return absl::StrCat("withdraw key ", it.id); }
        std::string operator()(const create_service& it) const
        {
            return absl::StrCat("create service ", it.row.name, " floor ", it.row.floor * 100, "%");
        }
        std::string operator()(const create_upstream& it) const
        {
            return absl::StrCat("create upstream ", it.row.address, " for service ", it.row.service, " in ", it.row.dataCentre,
                " slots ", it.row.slots, " connections ", it.row.connections);
        }
        std::string operator()(const set_upstream_duty& it) const
        {
            const std::string_view verb = it.duty == upstream_duty::Serving ? "restore" : it.duty == upstream_duty::Draining ? "drain"
                                                                                                                             : "retire";
            return absl::StrCat(std::string(verb), " upstream ", it.address);
        }
        std::string operator()(const create_route& it) const
        {
            return absl::StrCat("create route ", it.row.prefix, " to ", it.row.service, " ", formatAccess(it.row),
                it.row.idempotent ? " repeatable" : "");
        }
        std::string operator()(const remove_route& it) const { return absl::StrCat("remove route ", it.prefix); }
        std::string operator()(const join_host& it) const
        {
            return absl::StrCat("join host ", it.row.name, " incarnation ", it.row.incarnation, " at ", it.row.peerAddress, " in ", it.row.dataCentre);
        }
        std::string operator()(const leave_host& it) const
        {
            return absl::StrCat("leave host ", it.name, " incarnation ", it.incarnation);
        }
        std::string operator()(const remove_host& it) const { return absl::StrCat("remove host ", it.name); }
        std::string operator()(const drain_host& it) const { return absl::StrCat("drain host ", it.name); }
        std::string operator()(const assign_shards& it) const
        {
            return absl::StrCat("assign shards ", absl::StrJoin(it.shards, ","), " on ", it.host, " incarnation ", it.incarnation,
                it.inherited ? "" : " unused");
        }
        std::string operator()(const show_query& it) const { return absl::StrCat("show ", it.table); }
        std::string operator()(const explain_query& it) const { return absl::StrCat("explain request ", it.requestId); }
        std::string operator()(const status_query& it) const { return absl::StrCat("status change ", it.changeId); }
    };

    struct subject_finder {
        std::string operator()(const create_team& it) const { return absl::StrCat("team ", it.row.name); }
        std::string operator()(const change_team& it) const { return absl::StrCat("team ", it.name); }
        std::string operator()(const remove_team& it) const { return absl::StrCat("team ", it.name); }
        std::string operator()(const create_key& it) const { return absl::StrCat("key ", it.row.id); }
        std::string operator()(const withdraw_key& it) const { return absl::StrCat("key ", it.id); }
        std::string operator()(const create_service& it) const { return absl::StrCat("service ", it.row.name); }
        std::string operator()(const create_upstream& it) const { return absl::StrCat("upstream ", it.row.address); }
        std::string operator()(const set_upstream_duty& it) const { return absl::StrCat("upstream ", it.address); }
        std::string operator()(const create_route& it) const { return absl::StrCat("route ", it.row.prefix); }
        std::string operator()(const remove_route& it) const { return absl::StrCat("route ", it.prefix); }
        std::string operator()(const join_host& it) const { return absl::StrCat("host ", it.row.name); }
        std::string operator()(const leave_host& it) const { return absl::StrCat("host ", it.name); }
        std::string operator()(const remove_host& it) const { return absl::StrCat("host ", it.name); }
        std::string operator()(const drain_host& it) const { return absl::StrCat("host ", it.name); }
        std::string operator()(const assign_shards& it) const { return absl::StrCat("shards ", absl::StrJoin(it.shards, ",")); }
        std::string operator()(const show_query& it) const { return it.table; }
        std::string operator()(const explain_query& it) const { return it.requestId; }
        std::string operator()(const status_query& it) const { return it.changeId; }
    };

} // namespace

absl::StatusOr<command> parseCommand(std::string_view line)
{
    word_cursor words(line);
    for (const auto& row : verbs) {
        if (words.takeIf(row.verb))
            return row.parse(words);
    }
    const auto names = absl::StrJoin(verbs, ", ", [](std::string* out, const verb_row& row) { absl::StrAppend(out, std::string(row.verb)); });
    return words.error(absl::StrCat("expected one of ", names));
}

std::string formatCommand(const command& it)
{
    return std::visit(command_formatter {}, it);
}

bool isQuery(const command& it)
{
    return std::holds_alternative<show_query>(it) || std::holds_alternative<explain_query>(it) || std::holds_alternative<status_query>(it);
}

std::string withoutHash(const std::string& text)
{
    return text.substr(0, text.find(" hash "));
}

std::string subjectOf(const command& it)
{
    return std::visit(subject_finder {}, it);
}

} // namespace almondmoor
