// Parses and formats the operators' language.

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

    constexpr double maxRatePerSecond = 1'000'000;
    constexpr double maxBurst = 1'000'000;
    constexpr double maxWeight = 1'000;
    constexpr std::size_t maxNameLength = 128;

    // Reads a line word by word. Errors state the current word and its position.
    class word_cursor {
    public:
        explicit word_cursor(std::string_view line)
        {
            const absl::string_view text(line.data(), line.size());
            for (const absl::string_view word : absl::StrSplit(text, absl::ByAnyChar(" \t\r\n"), absl::SkipEmpty()))
                m_words.emplace_back(word);
        }

        bool isAtEnd() const { return m_nextIndex == m_words.size(); }
        // Returns the current word, or an empty string at the end.
        const std::string& peek() const { return isAtEnd() ? m_emptyWord : m_words[m_nextIndex]; }
        // Returns the current word and advances, or returns an empty string at the end.
        std::string consume() { return isAtEnd() ? std::string() : m_words[m_nextIndex++]; }

        // Advances if the current word is this one. Returns whether it was.
        bool consumeIf(std::string_view word)
        {
            if (isAtEnd() || m_words[m_nextIndex] != word)
                return false;
            ++m_nextIndex;
            return true;
        }

        absl::Status expect(std::string_view word)
        {
            return consumeIf(word) ? absl::OkStatus() : error(absl::StrCat("expected '", std::string(word), "'"));
        }

        absl::Status expectEnd() const
        {
            return isAtEnd() ? absl::OkStatus() : error("expected the end of the command");
        }

        // Makes an error that states the current word and what was expected there.
        absl::Status error(const std::string& expectation) const
        {
            const std::string found = isAtEnd() ? "the end" : absl::StrCat("'", m_words[m_nextIndex], "'");
            return makeError(absl::StatusCode::kInvalidArgument, "command", "",
                absl::StrCat("at word ", m_nextIndex + 1, ", ", found, ": ", expectation));
        }

    private:
        std::vector<std::string> m_words;
        std::size_t m_nextIndex = 0;
        // The word that peek() refers to at the end of the line.
        std::string m_emptyWord;
    };

    bool isNameCharacter(char character)
    {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) || std::string_view("-_.:/[]").find(character) != std::string_view::npos;
    }

    absl::Status parseName(word_cursor& words, std::string_view kind, std::string& name)
    {
        const std::string& word = words.peek();
        if (word.empty() || word.size() > maxNameLength || !std::all_of(word.begin(), word.end(), isNameCharacter))
            return words.error(absl::StrCat("expected the name of a ", std::string(kind), " (letters, digits, - _ . : /)"));
        name = words.consume();
        return absl::OkStatus();
    }

    absl::Status parseNumber(word_cursor& words, std::string_view unit, double minValue, double maxValue, double& value)
    {
        absl::string_view digits = words.peek();
        const absl::string_view suffix(unit.data(), unit.size());
        double parsed = 0;
        const bool hasUnit = absl::ConsumeSuffix(&digits, suffix);
        const bool isValid = hasUnit && absl::SimpleAtod(digits, &parsed) && parsed >= minValue && parsed <= maxValue;
        if (!isValid)
            return words.error(absl::StrFormat("expected a number from %.12g%s to %.12g%s", minValue, std::string(unit), maxValue, std::string(unit)));
        value = parsed;
        words.consume();
        return absl::OkStatus();
    }

    template <typename Integer>
    absl::Status parseInteger(word_cursor& words, Integer minValue, Integer maxValue, Integer& value)
    {
        std::uint64_t parsed = 0;
        if (!absl::SimpleAtoi(words.peek(), &parsed) || parsed < minValue || parsed > maxValue)
            return words.error(absl::StrCat("expected a whole number from ", minValue, " to ", maxValue));
        value = static_cast<Integer>(parsed);
        words.consume();
        return absl::OkStatus();
    }

    absl::Status parseAddress(word_cursor& words, std::string_view kind, std::string& address)
    {
        const std::string& word = words.peek();
        const auto colon = word.rfind(':');
        unsigned port = 0;
        const bool isValid = colon != std::string::npos && colon > 0 && absl::SimpleAtoi(word.substr(colon + 1), &port) && port > 0 && port < 65536
            && word.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
        if (!isValid)
            return words.error(absl::StrCat("expected the ", std::string(kind), " as IP-NUMBER:PORT"));
        address = words.consume();
        return absl::OkStatus();
    }

    // Runs parse steps in order and returns the first error, or OK.
    template <typename... Steps>
    absl::Status runUntilError(Steps&&... steps)
    {
        absl::Status status;
        (void)((status = steps(), status.ok()) && ...);
        return status;
    }

    // Returns the result of a parse, or an error if the parse failed or words are left over.
    template <typename Command>
    absl::StatusOr<command> finishCommand(word_cursor& words, const absl::Status& status, Command result)
    {
        if (!status.ok())
            return status;
        const auto end = words.expectEnd();
        if (!end.ok())
            return end;
        return command(std::move(result));
    }

    absl::Status parseRate(word_cursor& words, double& rate)
    {
        return parseNumber(words, "/s", 0.01, maxRatePerSecond, rate);
    }

    absl::Status parseBurst(word_cursor& words, double& burst)
    {
        return parseNumber(words, "", 1, maxBurst, burst);
    }

    absl::Status parseWeight(word_cursor& words, double& weight)
    {
        return parseNumber(words, "", 0.01, maxWeight, weight);
    }

    absl::StatusOr<command> parseCreateTeam(word_cursor& words)
    {
        create_team result;
        auto status = runUntilError([&] { return parseName(words, "team", result.row.name); }, [&] { return words.expect("rate"); },
            [&] { return parseRate(words, result.row.ratePerSecond); }, [&] { return words.expect("burst"); },
            [&] { return parseBurst(words, result.row.burst); },
            [&] { return words.consumeIf("weight") ? parseWeight(words, result.row.weight) : absl::OkStatus(); });
        return finishCommand(words, status, result);
    }

    absl::StatusOr<command> parseChangeTeam(word_cursor& words)
    {
        change_team result;
        auto status = runUntilError([&] { return words.expect("team"); }, [&] { return parseName(words, "team", result.name); });
        while (status.ok() && !words.isAtEnd()) {
            if (words.consumeIf("rate"))
                status = parseRate(words, result.ratePerSecond.emplace());
            else if (words.consumeIf("burst"))
                status = parseBurst(words, result.burst.emplace());
            else if (words.consumeIf("weight"))
                status = parseWeight(words, result.weight.emplace());
            else
                status = words.error("expected 'rate', 'burst' or 'weight'");
        }
        if (status.ok() && !result.ratePerSecond && !result.burst && !result.weight)
            status = words.error("expected 'rate', 'burst' or 'weight'");
        return finishCommand(words, status, result);
    }

    absl::StatusOr<command> parseCreateKey(word_cursor& words)
    {
        create_key result;
        if (!words.consumeIf("for")) {
            auto status = parseName(words, "key", result.row.id);
            if (!status.ok())
                return status;
            if (!words.consumeIf("for"))
                return words.error("expected 'for'");
        }
        auto status = runUntilError([&] { return words.expect("team"); }, [&] { return parseName(words, "team", result.row.team); },
            [&] { return words.consumeIf("hash") ? parseName(words, "hash", result.row.secretHash) : absl::OkStatus(); });
        return finishCommand(words, status, result);
    }

    absl::StatusOr<command> parseCreateService(word_cursor& words)
    {
        create_service result;
        double percent = result.row.floor * 100;
        auto status = runUntilError([&] { return parseName(words, "service", result.row.name); },
            [&] { return words.consumeIf("floor") ? parseNumber(words, "%", 0, 100, percent) : absl::OkStatus(); });
        result.row.floor = percent / 100;
        return finishCommand(words, status, result);
    }

    absl::StatusOr<command> parseCreateUpstream(word_cursor& words)
    {
        create_upstream result;
        auto& row = result.row;
        auto status = runUntilError([&] { return parseAddress(words, "upstream", row.address); }, [&] { return words.expect("for"); },
            [&] { return words.expect("service"); }, [&] { return parseName(words, "service", row.service); },
            [&] { return words.expect("in"); }, [&] { return parseName(words, "data centre", row.dataCentre); });
        while (status.ok() && !words.isAtEnd()) {
            if (words.consumeIf("slots"))
                status = parseInteger(words, 1U, 10'000U, row.slots);
            else if (words.consumeIf("connections"))
                status = parseInteger(words, 1U, 100'000U, row.connections);
            else
                status = words.error("expected 'slots' or 'connections'");
        }
        return finishCommand(words, status, result);
    }

    absl::Status parseAccess(word_cursor& words, route& row)
    {
        if (words.consumeIf("open")) {
            row.access = route_access::Open;
            return absl::OkStatus();
        }
        auto status = words.expect("teams");
        if (!status.ok())
            return words.error("expected 'open' or 'teams'");
        if (words.consumeIf("any"))
            return absl::OkStatus();
        row.access = route_access::ListedTeams;
        const std::string list = words.peek();
        for (const absl::string_view name : absl::StrSplit(list, ','))
            row.teams.emplace_back(name);
        const bool hasEmptyName = std::any_of(row.teams.begin(), row.teams.end(), [](const auto& name) { return name.empty(); });
        if (hasEmptyName)
            return words.error("expected 'any' or team names separated by commas");
        words.consume();
        return absl::OkStatus();
    }

    absl::StatusOr<command> parseCreateRoute(word_cursor& words)
    {
        create_route result;
        auto& row = result.row;
        if (words.peek().empty() || words.peek().front() != '/')
            return words.error("expected a path that begins with /");
        auto status = runUntilError([&] { return parseName(words, "route", row.prefix); }, [&] { return words.expect("to"); },
            [&] { return parseName(words, "service", row.service); },
            [&] { return parseAccess(words, row); },
            [&] {
                if (words.consumeIf("repeatable"))
                    row.idempotent = true;
                else if (!words.isAtEnd())
                    return words.error("expected 'repeatable' or the end of the command");
                return absl::OkStatus();
            });
        return finishCommand(words, status, result);
    }

    absl::StatusOr<command> parseCreate(word_cursor& words)
    {
        if (words.consumeIf("team"))
            return parseCreateTeam(words);
        if (words.consumeIf("key"))
            return parseCreateKey(words);
        if (words.consumeIf("service"))
            return parseCreateService(words);
        if (words.consumeIf("upstream"))
            return parseCreateUpstream(words);
        if (words.consumeIf("route"))
            return parseCreateRoute(words);
        return words.error("expected 'team', 'key', 'service', 'upstream' or 'route'");
    }

    absl::StatusOr<command> parseRemove(word_cursor& words)
    {
        if (words.consumeIf("team")) {
            remove_team result;
            const absl::Status status = parseName(words, "team", result.name);
            return finishCommand(words, status, result);
        }
        if (words.consumeIf("route")) {
            remove_route result;
            const absl::Status status = parseName(words, "route", result.prefix);
            return finishCommand(words, status, result);
        }
        if (words.consumeIf("host")) {
            remove_host result;
            const absl::Status status = parseName(words, "host", result.name);
            return finishCommand(words, status, result);
        }
        return words.error("expected 'team', 'route' or 'host'");
    }

    absl::StatusOr<command> parseWithdraw(word_cursor& words)
    {
        withdraw_key result;
        auto status = runUntilError([&] { return words.expect("key"); }, [&] { return parseName(words, "key", result.id); });
        return finishCommand(words, status, result);
    }

    absl::StatusOr<command> parseUpstreamDuty(word_cursor& words, upstream_duty duty)
    {
        set_upstream_duty result;
        result.duty = duty;
        auto status = runUntilError([&] { return words.expect("upstream"); }, [&] { return parseAddress(words, "upstream", result.address); });
        return finishCommand(words, status, result);
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
        if (!words.consumeIf("host"))
            return parseUpstreamDuty(words, upstream_duty::Draining);
        drain_host result;
        const absl::Status status = parseName(words, "host", result.name);
        return finishCommand(words, status, result);
    }

    absl::Status parseIncarnation(word_cursor& words, std::uint64_t& incarnation)
    {
        auto status = words.expect("incarnation");
        return status.ok() ? parseInteger<std::uint64_t>(words, 1, UINT64_MAX, incarnation) : status;
    }

    absl::StatusOr<command> parseJoin(word_cursor& words)
    {
        join_host result;
        auto& row = result.row;
        auto status = runUntilError([&] { return words.expect("host"); }, [&] { return parseName(words, "host", row.name); },
            [&] { return parseIncarnation(words, row.incarnation); }, [&] { return words.expect("at"); },
            [&] { return parseAddress(words, "host", row.peerAddress); }, [&] { return words.expect("in"); },
            [&] { return parseName(words, "data centre", row.dataCentre); });
        return finishCommand(words, status, result);
    }

    absl::StatusOr<command> parseLeave(word_cursor& words)
    {
        leave_host result;
        auto status = runUntilError([&] { return words.expect("host"); }, [&] { return parseName(words, "host", result.name); },
            [&] { return parseIncarnation(words, result.incarnation); });
        return finishCommand(words, status, result);
    }

    absl::Status parseShards(word_cursor& words, std::vector<unsigned>& shards)
    {
        const std::string list = words.peek();
        for (const absl::string_view item : absl::StrSplit(list, ',')) {
            unsigned shard = 0;
            if (!absl::SimpleAtoi(item, &shard) || shard >= shardCount)
                return words.error(absl::StrCat("expected shard numbers from 0 to ", shardCount - 1, " separated by commas"));
            shards.push_back(shard);
        }
        words.consume();
        return absl::OkStatus();
    }

    absl::StatusOr<command> parseAssign(word_cursor& words)
    {
        assign_shards result;
        auto status = runUntilError([&] { return words.expect("shards"); }, [&] { return parseShards(words, result.shards); },
            [&] { return words.expect("on"); }, [&] { return parseName(words, "host", result.host); },
            [&] { return parseIncarnation(words, result.incarnation); },
            [&] { result.inherited = !words.consumeIf("unused"); return absl::OkStatus(); });
        return finishCommand(words, status, result);
    }

    constexpr name_table<comparison, 4> comparisonNames { {
        { comparison::Equal, "=" },
        { comparison::NotEqual, "!=" },
        { comparison::Less, "<" },
        { comparison::Greater, ">" },
    } };

    absl::Status parseWhere(word_cursor& words, show_query& query)
    {
        auto column = parseName(words, "column", query.whereColumn);
        if (!column.ok())
            return column;
        const auto relation = valueIn(comparisonNames, std::string_view(words.peek()));
        if (!relation)
            return words.error("expected '=', '!=', '<' or '>'");
        words.consume();
        query.whereComparison = *relation;
        if (words.isAtEnd())
            return words.error("expected a value to compare with");
        query.whereValue = words.consume();
        return absl::OkStatus();
    }

    absl::StatusOr<command> parseShow(word_cursor& words)
    {
        show_query query;
        auto status = parseName(words, "table", query.table);
        while (status.ok() && !words.isAtEnd()) {
            if (words.consumeIf("where"))
                status = parseWhere(words, query);
            else if (words.consumeIf("order"))
                status = runUntilError([&] { return words.expect("by"); }, [&] { return parseName(words, "column", query.orderColumn); });
            else if (words.consumeIf("limit"))
                status = parseInteger<std::size_t>(words, 1, 100'000, query.limit.emplace());
            else
                status = words.error("expected 'where', 'order by' or 'limit'");
        }
        return finishCommand(words, status, query);
    }

    absl::StatusOr<command> parseExplain(word_cursor& words)
    {
        explain_query result;
        auto status = runUntilError([&] { return words.expect("request"); }, [&] { return parseName(words, "request", result.requestId); });
        return finishCommand(words, status, result);
    }

    absl::StatusOr<command> parseStatus(word_cursor& words)
    {
        status_query result;
        auto status = runUntilError([&] { return words.expect("change"); }, [&] { return parseName(words, "change", result.changeId); });
        return finishCommand(words, status, result);
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
        std::string operator()(const create_team& command) const
        {
            return absl::StrCat("create team ", command.row.name, " rate ", command.row.ratePerSecond, "/s burst ", command.row.burst, " weight ", command.row.weight);
        }
        std::string operator()(const change_team& command) const
        {
            std::string text = absl::StrCat("change team ", command.name);
            if (command.ratePerSecond)
                absl::StrAppend(&text, " rate ", *command.ratePerSecond, "/s");
            if (command.burst)
                absl::StrAppend(&text, " burst ", *command.burst);
            if (command.weight)
                absl::StrAppend(&text, " weight ", *command.weight);
            return text;
        }
        std::string operator()(const remove_team& command) const { return absl::StrCat("remove team ", command.name); }
        std::string operator()(const create_key& command) const
        {
            const std::string id = command.row.id.empty() ? "" : absl::StrCat(command.row.id, " ");
            const std::string hash = command.row.secretHash.empty() ? "" : absl::StrCat(" hash ", command.row.secretHash);
            return absl::StrCat("create key ", id, "for team ", command.row.team, hash);
        }
        std::string operator()(const withdraw_key& command) const { return absl::StrCat("withdraw key ", command.id); }
        std::string operator()(const create_service& command) const
        {
            return absl::StrCat("create service ", command.row.name, " floor ", command.row.floor * 100, "%");
        }
        std::string operator()(const create_upstream& command) const
        {
            return absl::StrCat("create upstream ", command.row.address, " for service ", command.row.service, " in ", command.row.dataCentre,
                " slots ", command.row.slots, " connections ", command.row.connections);
        }
        std::string operator()(const set_upstream_duty& command) const
        {
            const std::string_view verb = command.duty == upstream_duty::Serving ? "restore" : command.duty == upstream_duty::Draining ? "drain"
                                                                                                                                       : "retire";
            return absl::StrCat(std::string(verb), " upstream ", command.address);
        }
        std::string operator()(const create_route& command) const
        {
            return absl::StrCat("create route ", command.row.prefix, " to ", command.row.service, " ", formatAccess(command.row),
                command.row.idempotent ? " repeatable" : "");
        }
        std::string operator()(const remove_route& command) const { return absl::StrCat("remove route ", command.prefix); }
        std::string operator()(const join_host& command) const
        {
            return absl::StrCat("join host ", command.row.name, " incarnation ", command.row.incarnation, " at ", command.row.peerAddress, " in ", command.row.dataCentre);
        }
        std::string operator()(const leave_host& command) const
        {
            return absl::StrCat("leave host ", command.name, " incarnation ", command.incarnation);
        }
        std::string operator()(const remove_host& command) const { return absl::StrCat("remove host ", command.name); }
        std::string operator()(const drain_host& command) const { return absl::StrCat("drain host ", command.name); }
        std::string operator()(const assign_shards& command) const
        {
            return absl::StrCat("assign shards ", absl::StrJoin(command.shards, ","), " on ", command.host, " incarnation ", command.incarnation,
                command.inherited ? "" : " unused");
        }
        std::string operator()(const show_query& command) const { return absl::StrCat("show ", command.table); }
        std::string operator()(const explain_query& command) const { return absl::StrCat("explain request ", command.requestId); }
        std::string operator()(const status_query& command) const { return absl::StrCat("status change ", command.changeId); }
    };

    struct subject_formatter {
        std::string operator()(const create_team& command) const { return absl::StrCat("team ", command.row.name); }
        std::string operator()(const change_team& command) const { return absl::StrCat("team ", command.name); }
        std::string operator()(const remove_team& command) const { return absl::StrCat("team ", command.name); }
        std::string operator()(const create_key& command) const { return absl::StrCat("key ", command.row.id); }
        std::string operator()(const withdraw_key& command) const { return absl::StrCat("key ", command.id); }
        std::string operator()(const create_service& command) const { return absl::StrCat("service ", command.row.name); }
        std::string operator()(const create_upstream& command) const { return absl::StrCat("upstream ", command.row.address); }
        std::string operator()(const set_upstream_duty& command) const { return absl::StrCat("upstream ", command.address); }
        std::string operator()(const create_route& command) const { return absl::StrCat("route ", command.row.prefix); }
        std::string operator()(const remove_route& command) const { return absl::StrCat("route ", command.prefix); }
        std::string operator()(const join_host& command) const { return absl::StrCat("host ", command.row.name); }
        std::string operator()(const leave_host& command) const { return absl::StrCat("host ", command.name); }
        std::string operator()(const remove_host& command) const { return absl::StrCat("host ", command.name); }
        std::string operator()(const drain_host& command) const { return absl::StrCat("host ", command.name); }
        std::string operator()(const assign_shards& command) const { return absl::StrCat("shards ", absl::StrJoin(command.shards, ",")); }
        std::string operator()(const show_query& command) const { return command.table; }
        std::string operator()(const explain_query& command) const { return command.requestId; }
        std::string operator()(const status_query& command) const { return command.changeId; }
    };

} // namespace

absl::StatusOr<command> parseCommand(std::string_view line)
{
    word_cursor words(line);
    for (const auto& row : verbs) {
        if (words.consumeIf(row.verb))
            return row.parse(words);
    }
    const auto names = absl::StrJoin(verbs, ", ", [](std::string* out, const verb_row& row) { absl::StrAppend(out, std::string(row.verb)); });
    return words.error(absl::StrCat("expected one of ", names));
}

std::string formatCommand(const command& parsedCommand)
{
    return std::visit(command_formatter {}, parsedCommand);
}

bool isQuery(const command& parsedCommand)
{
    return std::holds_alternative<show_query>(parsedCommand) || std::holds_alternative<explain_query>(parsedCommand) || std::holds_alternative<status_query>(parsedCommand);
}

std::string withoutHash(const std::string& text)
{
    return text.substr(0, text.find(" hash "));
}

std::string subjectOf(const command& parsedCommand)
{
    return std::visit(subject_formatter {}, parsedCommand);
}

} // namespace almondmoor
