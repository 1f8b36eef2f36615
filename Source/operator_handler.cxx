// Checks the operator's key, runs commands and queries, and formats their replies.

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

    constexpr std::size_t maxCommandBytes = std::size_t { 16 } * 1024;
    // For reading the rest of a request's body, and for sending the reply.
    constexpr duration transferTimeout = std::chrono::seconds(10);
    // Maximum number of hosts that a reply names as not known to hold a change.
    constexpr std::size_t maxHostsListed = 5;
    // Number of leading digits of the secret's hash in the generated id of a key.
    constexpr std::size_t keyIdHashDigits = 10;
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

    // Returns the reply to a refused command and sets its HTTP status.
    std::string formatRefusal(const absl::Status& error, int& status)
    {
        status = statusFor(error);
        return absl::StrCat("refused: ", errorMessage(error), "\n");
    }

} // namespace

bool operator_handler::isAuthorized(const http_exchange& exchange) const
{
    // Comparing hashes instead of the keys prevents timing attacks: the duration of the comparison does not depend on
    // how many leading characters of a guessed key are right.
    return hashSecret(bearerSecret(exchange.request)) == hashSecret(m_runtime.settings().operatorKey);
}

connection_disposition operator_handler::serve(http_exchange& exchange)
{
    const std::string path = exchange.request.getURI();
    const std::string method = exchange.request.getMethod();
    body_reader body(exchange.stream, exchange.framing);
    std::string replyBody;
    int status = okStatus;
    bool isTooLarge = false;
    std::string requestBody;
    while (!body.isAtEnd() && !isTooLarge) {
        const auto chunk = body.next(presentInstant() + transferTimeout);
        if (!chunk.ok())
            return connection_disposition::Close;
        requestBody += *chunk;
        isTooLarge = requestBody.size() > maxCommandBytes;
    }
    if (path == "/live" && method == "GET") {
        const auto version = m_control.withMember([](fleet_member& member) { return member.held()->version(); });
        replyBody = absl::StrCat("live at version ", version, "\n");
    } else if (path == "/ready" && method == "GET") {
        const bool isReady = m_runtime.isReady();
        status = isReady ? okStatus : unavailableStatus;
        replyBody = isReady ? "ready\n" : "not ready\n";
    } else if (!isAuthorized(exchange)) {
        status = unauthorizedStatus;
        replyBody = "refused: the operator's key is needed as 'Authorization: Bearer KEY'\n";
    } else if (path == "/metrics" && method == "GET") {
        replyBody = m_runtime.counters().text();
    } else if (path == "/command" && method == "POST" && !isTooLarge) {
        replyBody = run(requestBody, exchange.request.get(authorHeader, "operator"), status);
    } else {
        status = notFoundStatus;
        replyBody = "refused: the operator port serves POST /command and GET /metrics, /ready and /live\n";
    }
    Poco::Net::HTTPResponse reply;
    reply.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    reply.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    reply.setContentType("text/plain; charset=utf-8");
    reply.setContentLength64(static_cast<Poco::Int64>(replyBody.size()));
    const bool isKeptAlive = exchange.request.getKeepAlive() && !isTooLarge;
    reply.set("Connection", isKeptAlive ? "keep-alive" : "close");
    const bool isSent = exchange.stream.send(writeHead(reply) + replyBody, presentInstant() + transferTimeout).ok();
    return isSent && isKeptAlive ? connection_disposition::Keep : connection_disposition::Close;
}

std::string operator_handler::run(const std::string& line, const std::string& author, int& status)
{
    status = okStatus;
    const auto parsed = parseCommand(line);
    if (!parsed.ok())
        return formatRefusal(parsed.status(), status);
    if (const auto* query = std::get_if<show_query>(&*parsed))
        return runQuery(*query, status);
    if (const auto* query = std::get_if<explain_query>(&*parsed))
        return runExplain(*query, status);
    if (const auto* query = std::get_if<status_query>(&*parsed))
        return describeChange(m_control.find(query->changeId), *parsed, status);
    if (const auto* create = std::get_if<create_key>(&*parsed))
        return runCreateKey(*create, author, status);
    if (const auto* remove = std::get_if<remove_host>(&*parsed)) {
        const auto held = m_runtime.currentConfiguration();
        const auto found = held->hosts().find(remove->name);
        if (found == held->hosts().end())
            return formatRefusal(makeError(absl::StatusCode::kNotFound, "configuration", "", absl::StrCat("no host named '", remove->name, "'; 'show hosts' lists them")), status);
        return runChange(leave_host { remove->name, found->second.incarnation }, author, status);
    }
    const bool isHostCommand = std::holds_alternative<join_host>(*parsed) || std::holds_alternative<leave_host>(*parsed) || std::holds_alternative<assign_shards>(*parsed);
    if (isHostCommand)
        return formatRefusal(makeError(absl::StatusCode::kInvalidArgument, "command", "", "only hosts themselves send this; see 'remove host'"), status);
    return runChange(*parsed, author, status);
}

std::string operator_handler::runChange(const command& parsedCommand, const std::string& author, int& status)
{
    const auto precondition = std::holds_alternative<leave_host>(parsedCommand) ? change_precondition::None : change_precondition::MajorityReachable;
    return describeChange(m_control.propose(formatCommand(parsedCommand), author, precondition), parsedCommand, status);
}

std::string operator_handler::runCreateKey(create_key keyCommand, const std::string& author, int& status)
{
    if (!keyCommand.row.secretHash.empty())
        return formatRefusal(makeError(absl::StatusCode::kInvalidArgument, "command", "", "secrets are drawn here; leave 'hash' out"), status);
    const std::string secret = generateSecret();
    keyCommand.row.secretHash = hashSecret(secret);
    if (keyCommand.row.id.empty())
        keyCommand.row.id = absl::StrCat("k-", keyCommand.row.secretHash.substr(0, keyIdHashDigits));
    std::string text = runChange(keyCommand, author, status);
    if (status != okStatus && status != acceptedStatus)
        return text;
    return absl::StrCat(text, "key ", keyCommand.row.id, " secret ", secret, "\nThe secret is shown this once only.\n");
}

std::string operator_handler::runQuery(const show_query& query, int& status)
{
    auto table = makeTable(query.table, m_runtime, m_control);
    if (!table.ok())
        return formatRefusal(table.status(), status);
    const auto result = applyQuery(*std::move(table), query);
    if (!result.ok())
        return formatRefusal(result.status(), status);
    return formatTable(*result);
}

std::string operator_handler::runExplain(const explain_query& query, int& status)
{
    const auto record = m_runtime.history().find(query.requestId);
    if (!record) {
        status = notFoundStatus;
        return absl::StrCat("refused: no request '", query.requestId, "' among this host's latest; its name begins with the host to ask\n");
    }
    return absl::StrFormat("request %s team %s route %s\noutcome %s%s\nattempts %s\ntook %.1f ms\n", record->id, record->team.empty() ? "none" : record->team,
        record->route.empty() ? "none" : record->route, record->outcome, record->reason.empty() ? "" : absl::StrCat(" reason ", record->reason),
        record->attempts.empty() ? "none" : record->attempts, record->totalMs);
}

std::string operator_handler::describeChange(const change_status& changeStatus, const command& parsedCommand, int& status) const
{
    switch (changeStatus.outcome) {
    case append_outcome::Accepted: {
        if (changeStatus.isConfirmed)
            return absl::StrCat("accepted at version ", changeStatus.version, ", held by ", changeStatus.holderCount, " of ", changeStatus.hostCount, " hosts (change ", changeStatus.changeId, ")\n");
        status = acceptedStatus;
        auto missing = changeStatus.hostsWithout;
        missing.resize(std::min(missing.size(), maxHostsListed));
        return absl::StrCat("written at version ", changeStatus.version, " but not in force: held by ", changeStatus.holderCount, " of ", changeStatus.hostCount,
            " hosts, not known of ", absl::StrJoin(missing, ", "), "; ask again with 'status change ", changeStatus.changeId, "'\n");
    }
    case append_outcome::Conflict: {
        const std::string latestChange = m_runtime.currentConfiguration()->lastChangeOf(subjectOf(parsedCommand));
        const std::string latestChangeLine = latestChange.empty() ? "" : absl::StrCat("latest: ", latestChange, "\n");
        return absl::StrCat(formatRefusal(changeStatus.error, status), latestChangeLine);
    }
    case append_outcome::Unavailable:
        return formatRefusal(changeStatus.error, status);
    case append_outcome::Unknown:
        status = acceptedStatus;
        return absl::StrCat("unknown: ", errorMessage(changeStatus.error), "; ask again with 'status change ", changeStatus.changeId, "'\n");
    }
    return "";
}

} // namespace almondmoor
