#include "operator_handler.h"

#include "Core/command.h"
#include "http_body.h"
#include "key_guard.h"
#include "operator_tables.h"

#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace almondmoor {

namespace {

    constexpr std::size_t largestCommand = std::size_t { 16 } * 1024;
    constexpr duration replyTimeout = std::chrono::seconds(10);
    constexpr std::size_t hostsNamed = 5;
    constexpr std::size_t keyIdLength = 10;
    constexpr const char* authorHeader = "Almondmoor-Author";

    constexpr int okStatus = 200;
    constexpr int acceptedStatus = 202;
    constexpr int badRequestStatus = 400;
    constexpr int unauthorizedStatus = 401;
    constexpr int notFoundStatus = 404;
    constexpr int conflictStatus = 409;
    constexpr int unavailableStatus = 503;

    int statusFor(const absl::Status& error)
    {
        switch (error.code()) {
        case absl::StatusCode::kInvalidArgument:
            return badRequestStatus;
        case absl::StatusCode::kNotFound:
            return notFoundStatus;
        case absl::StatusCode::kUnavailable:
            return unavailableStatus;
        default:
            return conflictStatus;
        }
    }

    std::string refusal(const absl::Status& error, int& status)
    {
        status = statusFor(error);
        return absl::StrCat("refused: ", errorMessage(error), "\n");
    }

} // namespace

bool operator_handler::isAuthentic(const http_exchange& exchange) const
{
    // Hashes are compared, so that the time taken tells nothing of the key.
    return hashSecret(bearerSecret(exchange.request)) == hashSecret(m_runtime.settings().operatorKey);
}

connection_disposition operator_handler::serve(http_exchange& exchange)
{
    const std::string path = exchange.request.getURI();
    const std::string method = exchange.request.getMethod();
    body_reader body(exchange.stream, exchange.framing);
    std::string text;
    int status = okStatus;
    bool isTooLarge = false;
    std::string line;
    while (!body.isAtEnd() && !isTooLarge) {
        const auto piece = body.next(presentInstant() + replyTimeout);
        if (!piece.ok())
            return connection_disposition::Close;
        line += *piece;
        isTooLarge = line.size() > largestCommand;
    }
    if (path == "/live" && method == "GET") {
        const auto version = m_control.withMember([](fleet_member& it) { return it.held()->version(); });
        text = absl::StrCat("live at version ", version, "\n");
    } else if (path == "/ready" && method == "GET") {
        const bool isReady = m_runtime.isReady();
        status = isReady ? okStatus : unavailableStatus;
        text = isReady ? "ready\n" : "not ready\n";
    } else if (!isAuthentic(exchange)) {
        status = unauthorizedStatus;
        text = "refused: the operator's key is needed as 'Authorization: Bearer KEY'\n";
    } else if (path == "/metrics" && method == "GET") {
        text = m_runtime.counters().text();
    } else if (path == "/command" && method == "POST" && !isTooLarge) {
        text = run(line, exchange.request.get(authorHeader, "operator"), status);
    } else {
        status = notFoundStatus;
        text = "refused: the operator port serves POST /command and GET /metrics, /ready and /live\n";
    }
    Poco::Net::HTTPResponse reply;
    reply.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    reply.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    reply.setContentType("text/plain; charset=utf-8");
    reply.setContentLength64(static_cast<Poco::Int64>(text.size()));
    const bool isKept = exchange.request.getKeepAlive() && !isTooLarge;
    reply.set("Connection", isKept ? "keep-alive" : "close");
    const bool isSent = exchange.stream.send(writeHead(reply) + text, presentInstant() + replyTimeout).ok();
    return isSent && isKept ? connection_disposition::Keep : connection_disposition::Close;
}

std::string operator_handler::run(const std::string& line, const std::string& author, int& status)
{
    status = okStatus;
    const auto parsed = parseCommand(line);
    if (!parsed.ok())
        return refusal(parsed.status(), status);
    if (const auto* query = std::get_if<show_query>(&*parsed))
        return runQuery(*query, status);
    if (const auto* query = std::get_if<explain_query>(&*parsed))
        return runExplain(*query, status);
    if (const auto* query = std::get_if<status_query>(&*parsed))
        return describe(m_control.find(query->changeId), *parsed, status);
    if (const auto* create = std::get_if<create_key>(&*parsed))
        return runCreateKey(*create, author, status);
    if (const auto* remove = std::get_if<remove_host>(&*parsed)) {
        const auto held = m_runtime.held();
        const auto found = held->hosts().find(remove->name);
        if (found == held->hosts().end())
            return refusal(makeError(absl::StatusCode::kNotFound, "configuration", "", absl::StrCat("no host named '", remove->name, "'; 'show hosts' lists them")), status);
        return runChange(leave_host { remove->name, found->second.incarnation }, author, status);
    }
    const bool isSystem = std::holds_alternative<join_host>(*parsed) || std::holds_alternative<leave_host>(*parsed) || std::holds_alternative<assign_shards>(*parsed);
    if (isSystem)
        return refusal(makeError(absl::StatusCode::kInvalidArgument, "command", "", "only hosts themselves send this; see 'remove host'"), status);
    return runChange(*parsed, author, status);
}

std::string operator_handler::runChange(const command& it, const std::string& author, int& status)
{
    const auto rule = std::holds_alternative<leave_host>(it) ? change_rule::Always : change_rule::Reachable;
    return describe(m_control.propose(formatCommand(it), author, rule), it, status);
}

std::string operator_handler::runCreateKey(create_key it, const std::string& author, int& status)
{
    if (!it.row.secretHash.empty())
        return refusal(makeError(absl::StatusCode::kInvalidArgument, "command", "", "secrets are drawn here; leave 'hash' out"), status);
    const std::string secret = generateSecret();
    it.row.secretHash = hashSecret(secret);
    if (it.row.id.empty())
        it.row.id = absl::StrCat("k-", it.row.secretHash.substr(0, keyIdLength));
    std::string text = runChange(it, author, status);
    if (status != okStatus && status != acceptedStatus)
        return text;
    return absl::StrCat(text, "key ", it.row.id, " secret ", secret, "\nThe secret is shown this once only.\n");
}

std::string operator_handler::runQuery(const show_query& query, int& status)
{
    auto table = makeTable(query.table, m_runtime, m_control);
    if (!table.ok())
        return refusal(table.status(), status);
    const auto found = applyQuery(*std::move(table), query);
    if (!found.ok())
        return refusal(found.status(), status);
    return writeTable(*found);
}

std::string operator_handler::runExplain(const explain_query& query, int& status)
{
    const auto found = m_runtime.history().find(query.requestId);
    if (!found) {
        status = notFoundStatus;
        return absl::StrCat("refused: no request '", query.requestId, "' among this host's latest; its name begins with the host to ask\n");
    }
    return absl::StrFormat("request %s team %s route %s\noutcome %s%s\nattempts %s\ntook %.1f ms\n", found->id, found->team.empty() ? "none" : found->team,
        found->route.empty() ? "none" : found->route, found->outcome, found->reason.empty() ? "" : absl::StrCat(" reason ", found->reason),
        found->attempts.empty() ? "none" : found->attempts, found->totalMs);
}

std::string operator_handler::describe(const change_report& report, const command& it, int& status) const
{
    switch (report.outcome) {
    case append_outcome::Accepted: {
        if (report.isConfirmed)
            return absl::StrCat("accepted at version ", report.version, ", held by ", report.holders, " of ", report.hosts, " hosts (change ", report.changeId, ")\n");
        status = acceptedStatus;
        auto missing = report.hostsWithout;
        missing.resize(std::min(missing.size(), hostsNamed));
        return absl::StrCat("written at version ", report.version, " but not in force: held by ", report.holders, " of ", report.hosts,
            " hosts, not known of ", absl::StrJoin(missing, ", "), "; ask again with 'status change ", report.changeId, "'\n");
    }
    case append_outcome::Conflict: {
        const std::string last = m_runtime.held()->lastChangeOf(subjectOf(it));
        const std::string winner = last.empty() ? "" : absl::StrCat("latest: ", last, "\n");
        return absl::StrCat(refusal(report.error, status), winner);
    }
    case append_outcome::Unavailable:
        return refusal(report.error, status);
    case append_outcome::Unknown:
        status = acceptedStatus;
        return absl::StrCat("unknown: ", errorMessage(report.error), "; ask again with 'status change ", report.changeId, "'\n");
    }
    return "";
}

} // namespace almondmoor
