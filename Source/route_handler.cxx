#include "route_handler.h"

#include "Core/rendezvous.h"
#include "logging.h"

#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>

namespace almondmoor {

namespace {

    // Bodies up to this size are read before the dispatch and can be sent again.
    constexpr std::size_t bufferedBodySize = std::size_t { 64 } * 1024;
    // Answers up to this size are passed on only when they are here whole.
    constexpr std::size_t gatheredAnswerSize = std::size_t { 256 } * 1024;
    // Connections that were idle for longer may be dead without a sign. A lost
    // request that may be repeated costs less than a new connection.
    constexpr duration longestIdleRepeatable = std::chrono::seconds(6);
    constexpr duration longestIdle = std::chrono::milliseconds(2000);
    // Time for an upstream's own answer at its deadline to arrive.
    constexpr duration lateAnswerTime = std::chrono::milliseconds(60);
    // Time by which an upstream's deadline lies before the guest's.
    constexpr duration answerTravelTime = std::chrono::milliseconds(5);
    // Part of the time left that an attempt of an idempotent request may take
    // before another upstream is tried.
    constexpr double attemptPart = 0.55;
    // Upstreams that may be out of reach before a request is given up.
    constexpr std::size_t mostConnectFailures = 6;
    // Part of its time for which a request may wait for a host that has just
    // started, and the longest such wait.
    constexpr double startWaitPart = 0.33;
    constexpr duration longestStartWait = std::chrono::milliseconds(500);

    // Times for a new connection. A lost packet is sent again only after a second,
    // and by then another upstream has answered.
    constexpr std::array<duration, 3> connectTimeouts { std::chrono::milliseconds(50), std::chrono::milliseconds(70), std::chrono::milliseconds(150) };

    constexpr int successStatus = 200;
    constexpr int redirectStatus = 300;
    constexpr int misdirectedStatus = 421;
    constexpr int tooManyRequestsStatus = 429;
    constexpr int serverErrorStatus = 500;
    constexpr int badGatewayStatus = 502;
    constexpr int unavailableStatus = 503;

    std::int64_t wholeMs(duration span)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    }

    bool isSuccess(int status)
    {
        return status >= successStatus && status < redirectStatus;
    }

} // namespace

route_handler::route_handler(proxy_runtime& runtime, http_exchange& exchange)
    : m_runtime(runtime)
    , m_exchange(exchange)
    , m_guest(exchange.stream)
    , m_id(exchange.request.get(runtime.wire().requestId, ""))
    , m_plan(runtime.config())
    , m_secret(credentialSecret(exchange.request, runtime.wire().keyScheme))
    , m_limit(exchange.receivedAt + runtime.settings().requestTimeout)
    , m_body(exchange.stream, exchange.framing)
    , m_scanner(m_secret)
{
}

connection_fate route_handler::serve()
{
    m_runtime.counters().add(event::RequestsReceived);
    const bool isClosing = m_runtime.phase() == stop_phase::Closing || m_runtime.phase() == stop_phase::Ending;
    m_fate = m_exchange.request.getKeepAlive() && !isClosing ? connection_fate::Keep : connection_fate::Close;

    using step_function = step (route_handler::*)();
    constexpr std::array<step_function, 7> steps { &route_handler::waitForPlan, &route_handler::readBodyStart, &route_handler::findRoute, &route_handler::readDeadline,
        &route_handler::authorize, &route_handler::checkQuarantine, &route_handler::admit };
    const bool isAllowed = std::all_of(steps.begin(), steps.end(), [this](step_function function) { return (this->*function)() == step::Go; });
    if (isAllowed)
        attemptUntilDone();
    // What is left of a body would be read as the next request.
    if (!m_body.isAtEnd() && m_fate == connection_fate::Keep)
        m_fate = connection_fate::Close;
    const duration total = presentInstant() - m_exchange.receivedAt;
    m_runtime.counters().addLatency(total, total - m_upstreamTime);
    return m_fate;
}

route_handler::step route_handler::waitForPlan()
{
    if (m_plan || !m_runtime.isStarting())
        return step::Go;
    double ms = 0;
    duration wait = longestStartWait;
    if (absl::SimpleAtod(m_exchange.request.get(m_runtime.wire().deadlineMs, ""), &ms) && ms > 0)
        wait = std::min(wait, fromSeconds(ms / 1000 * startWaitPart));
    m_plan = m_runtime.waitUntilReady(m_exchange.receivedAt + wait);
    return step::Go;
}

route_handler::step route_handler::readBodyStart()
{
    const auto& limits = m_plan ? m_plan->limits : client_limits {};
    if (m_exchange.framing.kind == body_kind::Length && m_exchange.framing.length > limits.maxBodyBytes) {
        refuse(refusal_reason::BodyTooLarge, "the body is larger than the limit");
        return step::Done;
    }
    const bool expectsContinue = toLower(m_exchange.request.get("Expect", "")) == "100-continue";
    if (expectsContinue && !m_body.isAtEnd())
        (void)m_guest.send("HTTP/1.1 100 Continue\r\n\r\n", bodyDeadline());
    while (!m_body.isAtEnd() && m_outgoing.bodyStart.size() < bufferedBodySize) {
        const auto piece = m_body.next(bodyDeadline());
        if (!piece.ok()) {
            if (isDisconnected(piece.status()))
                m_runtime.counters().add(event::GuestsGone);
            m_fate = connection_fate::Close;
            refuse(absl::IsDeadlineExceeded(piece.status()) ? refusal_reason::BodyTimeout : refusal_reason::BadRequest, std::string(piece.status().message()));
            return step::Done;
        }
        if (m_scanner.sees(*piece)) {
            refuse(refusal_reason::KeyInRequest, "the key stands in the body");
            return step::Done;
        }
        m_outgoing.bodyStart += m_scanner.takeSafe(m_body.isAtEnd());
    }
    if (!m_body.isAtEnd())
        m_outgoing.bodyRest = &m_body;
    m_outgoing.scanner = &m_scanner;
    return step::Go;
}

route_handler::step route_handler::findRoute()
{
    if (m_runtime.phase() == stop_phase::Ending) {
        refuse(refusal_reason::Stopping, "this host is about to stop");
        return step::Done;
    }
    if (!m_plan) {
        refuse(refusal_reason::NoConfiguration, "this host has no configuration yet");
        return step::Done;
    }
    const auto& request = m_exchange.request;
    if (hasDotSegment(request.getURI())) {
        refuse(refusal_reason::BadRequest, "the path holds a segment '.' or '..'");
        return step::Done;
    }
    const std::string host = toLower(request.get("Host", ""));
    m_route = m_plan->findRoute(host, request.getURI());
    // A host name may stand with the port.
    if (!m_route && host.find(':') != std::string::npos)
        m_route = m_plan->findRoute(host.substr(0, host.find(':')), request.getURI());
    if (!m_route) {
        refuse(refusal_reason::NoRoute, "no route of this host begins the path");
        return step::Done;
    }
    m_progress = request_progress(m_route->isIdempotent);
    m_service = chooseService(*m_route, m_runtime.withCore([](dispatch_core& it) { return it.drawUniform(); }));
    return step::Go;
}

route_handler::step route_handler::readDeadline()
{
    duration limit = m_route->timeout > duration::zero() ? m_route->timeout : m_runtime.settings().requestTimeout;
    const std::string& name = m_runtime.wire().deadlineMs;
    if (m_exchange.request.has(name)) {
        double ms = 0;
        if (!absl::SimpleAtod(m_exchange.request.get(name), &ms) || !(ms >= 0)) {
            refuse(refusal_reason::BadRequest, absl::StrCat(name, " must be a number of milliseconds"));
            return step::Done;
        }
        limit = std::min(limit, fromSeconds(std::min(ms / 1000, toSeconds(limit))));
    }
    m_limit = m_exchange.receivedAt + limit;
    return step::Go;
}

route_handler::step route_handler::authorize()
{
    const auto& request = m_exchange.request;
    if (headerCount(request, "Authorization") > 1) {
        refuse(refusal_reason::BadRequest, "more than one Authorization header is given");
        return step::Done;
    }
    if (holdsSecret(request, m_secret)) {
        refuse(refusal_reason::KeyInRequest, "the key stands outside the Authorization header");
        return step::Done;
    }
    const team_config* found = m_secret.empty() ? nullptr : m_plan->findTeam(m_secret);
    if (found)
        m_team = found->name;
    const bool needsKey = !m_route->isPublic && !m_plan->teams.empty();
    if (needsKey && !found) {
        const bool hasKey = !m_secret.empty();
        refuse(hasKey ? refusal_reason::UnknownKey : refusal_reason::NoKey, hasKey ? "the key is unknown or withdrawn" : "this route needs a key");
        return step::Done;
    }
    return step::Go;
}

route_handler::step route_handler::checkQuarantine()
{
    const auto& request = m_exchange.request;
    const std::string line = absl::StrCat(m_team, "\n", m_route->host, "\n", request.getMethod(), "\n", request.getURI(), "\n");
    m_fingerprint = stableHash(m_outgoing.bodyStart, stableHash(line));
    if (m_runtime.withCore([&](dispatch_core& it) { return it.isQuarantined(m_fingerprint, presentInstant()); })) {
        refuse(refusal_reason::Quarantined, "upstreams crashed on this request of late");
        return step::Done;
    }
    return step::Go;
}

route_handler::step route_handler::admit()
{
    if (m_team.empty() || m_route->isPublic)
        return step::Go;
    const instant now = presentInstant();
    duration next {};
    m_hasToken = m_runtime.withCore([&](dispatch_core& it) {
        const bool isTaken = it.takeToken(m_team, now);
        next = isTaken ? duration::zero() : it.timeUntilToken(m_team, now);
        m_urgency = it.isRunningLow(m_team) ? update_urgency::Raised : update_urgency::Low;
        return isTaken;
    });
    if (!m_hasToken) {
        refuse(refusal_reason::RateExceeded, "the team's rate is used up", next);
        return step::Done;
    }
    m_runtime.counters().addAdmitted(m_team);
    return step::Go;
}

void route_handler::prepareOutgoing()
{
    auto& head = m_outgoing.head;
    const auto& request = m_exchange.request;
    const wire_names& wire = m_runtime.wire();
    head.setMethod(request.getMethod());
    head.setURI(request.getURI());
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    copyEndToEndHeaders(request, head,
        { "authorization", "content-length", "expect", toLower(wire.team), toLower(wire.deadlineMs), toLower(wire.expectedUpstream) });
    if (!m_team.empty())
        head.set(wire.team, m_team);
    if (m_exchange.framing.kind == body_kind::Chunked)
        head.setChunkedTransferEncoding(true);
    else if (m_exchange.framing.kind == body_kind::Length || request.hasContentLength())
        head.setContentLength64(static_cast<Poco::Int64>(m_exchange.framing.length));
    m_outgoing.longestIdle = m_route->isIdempotent ? longestIdleRepeatable : longestIdle;
    if (m_outgoing.bodyRest)
        m_outgoing.longestIdle = duration::zero();
}

void route_handler::attemptUntilDone()
{
    prepareOutgoing();
    m_runtime.withCore([&](dispatch_core& it) { it.recordFirstAttempt(m_service); });
    bool goesOn = true;
    while (goesOn && !m_isAnswered) {
        const instant now = presentInstant();
        std::optional<directory_entry> chosen;
        const choice_result result = m_runtime.withCore([&](dispatch_core& it) {
            const bool mayFail = mayTryAfterNext() && it.canRetry(m_service);
            const choice_result choice = it.choose({ m_service, mayFail, &m_tried, m_limit - now, m_route->targetLatency }, now);
            if (choice.upstream)
                chosen = *choice.upstream;
            return choice;
        });
        if (!chosen) {
            const bool isFull = result.refusal == choice_refusal::NoRoom;
            if (m_tried.empty()) {
                m_lastFailure = isFull ? refusal_reason::NoCapacity : refusal_reason::NoUpstream;
                m_lastDetail = isFull ? "all upstreams are busy for longer than the request can wait" : "the service has no upstream";
            } else {
                m_runtime.counters().addRetry(retry_reason::DeniedNoUpstream);
            }
            m_roomIn = std::max(defaultRetryAfter, result.roomIn);
            break;
        }
        if (result.isTrial)
            m_runtime.counters().add(event::TrialsStarted);
        // Neighbours that do not know of it would make the same trial, or fill the upstream.
        if (result.isTrial || result.isBusy)
            m_urgency = update_urgency::High;
        m_runtime.scheduleReport(m_urgency);
        goesOn = attemptOnce(*chosen, result);
        m_runtime.scheduleReport(m_urgency);
    }
    if (!m_isAnswered)
        refuse(m_lastFailure, m_lastDetail, m_roomIn);
}

bool route_handler::mayTryAfterNext() const
{
    return m_route->isIdempotent && !m_outgoing.bodyRest && m_sends + 1 < m_route->maxAttempts;
}

duration route_handler::attemptTime(instant now)
{
    const duration left = m_limit - now;
    return mayTryAfterNext() ? fromSeconds(toSeconds(left) * attemptPart) : left + lateAnswerTime;
}

bool route_handler::attemptOnce(const directory_entry& upstream, const choice_result& choice)
{
    m_outgoing.connectTimeout = connectTimeouts[static_cast<std::size_t>(choice.tier)];
    m_tried.insert(upstream.id);
    const unsigned number = m_progress.beginAttempt(upstream.id);
    m_runtime.counters().add(event::AttemptsStarted);
    const instant startedAt = presentInstant();
    const wire_names& wire = m_runtime.wire();
    m_outgoing.head.set(wire.expectedUpstream, upstream.id);

    bool isStopped = false;
    answer_rules rules { wire.notStarted, wire.requestId, m_id, true };
    upstream_exchange exchange(
        m_runtime.upstreams(), upstream.address, [&] {
            // The upstream may have begun to leave while a connection was made.
            const instant now = presentInstant();
            isStopped = now >= m_limit || !m_runtime.withCore([&](dispatch_core& it) { return it.acceptsNewRequests(upstream.id); });
            if (isStopped)
                return false;
            const duration left = std::max<duration>(std::chrono::milliseconds(1), m_limit - now - answerTravelTime);
            m_outgoing.head.set(wire.deadlineMs, absl::StrCat(wholeMs(left)));
            m_progress.markSent(number);
            ++m_sends;
            return true;
        },
        rules);
    exchange_end end = exchange.run(m_outgoing, m_guest, startedAt + attemptTime(startedAt), m_runtime.settings().bodyTimeout);
    // Work is broken off only if the request can be sent elsewhere.
    const bool isEarly = end == exchange_end::Timeout && presentInstant() < m_limit;
    bool hasRetry = false;
    if (isEarly && exchange.mayWaitOn()) {
        const bool hasOther = m_runtime.withCore([&](dispatch_core& it) { return it.hasOtherUpstream(m_service, m_tried); });
        hasRetry = hasOther && m_runtime.phase() == stop_phase::Running && mayRetry(retry_reason::ResponseTimeout);
        if (!hasRetry)
            end = exchange.waitOn(m_outgoing.head.getMethod(), m_guest, m_limit + lateAnswerTime);
    }
    const duration waited = presentInstant() - startedAt;
    m_upstreamTime += waited;
    m_lastDetail = exchange.detail();
    absl::StrAppend(&m_story, m_story.empty() ? "" : ",", upstream.id, ":", std::string(nameIn(exchangeEndNames, end)), ":", wholeMs(waited), "ms",
        exchange.isOnKeptConnection() ? ":kept" : ":new", ":", std::string(nameIn(distanceTierNames, choice.tier)), ":inflight=", choice.inFlight,
        absl::StrFormat(":failing=%.2f", choice.failing), choice.isTrial ? ":trial" : "");
    if (isStopped) {
        m_runtime.withCore([&](dispatch_core& it) { it.release(upstream.id); });
        m_progress.markNotStarted(number, false);
        m_lastFailure = refusal_reason::NoUpstream;
        exchange.cancel();
        return presentInstant() < m_limit;
    }

    switch (end) {
    case exchange_end::Answered:
        return handleAnswer(upstream, number, exchange);
    case exchange_end::ConnectFailed:
        noteAttempt(upstream, end, exchange, waited);
        m_progress.markNotStarted(number, false);
        m_lastFailure = refusal_reason::ConnectFailed;
        return m_tried.size() < mostConnectFailures && presentInstant() < m_limit;
    case exchange_end::NotStarted:
        noteAttempt(upstream, end, exchange, waited);
        m_progress.markNotStarted(number, true);
        m_lastFailure = refusal_reason::NotStarted;
        exchange.cancel();
        return !m_outgoing.bodyRest && mayRetry(retry_reason::NotStarted);
    case exchange_end::GuestGone:
    case exchange_end::GuestBodyFailed:
        noteAttempt(upstream, end, exchange, waited);
        m_progress.markLost(number);
        exchange.cancel();
        m_lastFailure = refusal_reason::BadRequest;
        m_fate = connection_fate::Close;
        if (end == exchange_end::GuestGone) {
            m_runtime.counters().add(event::GuestsGone);
            m_isAnswered = true;
            logRequest(0, "guest-gone");
        }
        return false;
    case exchange_end::Lost:
    case exchange_end::Timeout:
    case exchange_end::BadAnswer:
        break;
    }
    noteAttempt(upstream, end, exchange, waited);
    m_progress.markLost(number);
    exchange.cancel();
    return handleLoss(end) || hasRetry;
}

bool route_handler::handleLoss(exchange_end end)
{
    m_lastFailure = end == exchange_end::Timeout ? refusal_reason::ResponseTimeout
        : end == exchange_end::BadAnswer         ? refusal_reason::BadResponse
                                                 : refusal_reason::ResponseLost;
    // Whether one that was given up early is sent again has been decided.
    if (m_outgoing.bodyRest || end == exchange_end::Timeout)
        return false;
    return mayRetry(retry_reason::ResponseLost);
}

bool route_handler::handleAnswer(const directory_entry& upstream, unsigned number, upstream_exchange& exchange)
{
    const auto& answer = exchange.response();
    const int status = answer.getStatus();
    const duration waited = exchange.latency();
    if (status == misdirectedStatus) {
        noteAttempt(upstream, exchange_end::NotStarted, exchange, waited);
        m_progress.markNotStarted(number, true);
        m_lastFailure = refusal_reason::NotStarted;
        exchange.cancel();
        return !m_outgoing.bodyRest && mayRetry(retry_reason::NotStarted);
    }
    body_reader body(exchange.stream(), exchange.framing());
    std::string gathered;
    bool isBroken = isSuccess(status) && !answer.has(m_runtime.wire().signature);
    const instant bodyLimit = std::max(m_limit, presentInstant()) + lateAnswerTime;
    while (!isBroken && !body.isAtEnd() && gathered.size() < gatheredAnswerSize) {
        const auto piece = body.next(bodyLimit);
        isBroken = !piece.ok();
        if (!isBroken)
            gathered += *piece;
    }
    const exchange_end end = isBroken ? exchange_end::BadAnswer : exchange_end::Answered;
    noteAttempt(upstream, end, exchange, waited);
    if (isBroken) {
        m_lastDetail = "the answer is not whole or not signed";
        m_progress.markLost(number);
        exchange.cancel();
        return handleLoss(exchange_end::BadAnswer);
    }
    const bool mayBeRepeated = status >= serverErrorStatus && m_route->isIdempotent && !m_outgoing.bodyRest;
    if (mayBeRepeated && mayRetry(retry_reason::ServerError)) {
        m_progress.markLost(number);
        exchange.finish();
        m_lastFailure = refusal_reason::BadResponse;
        m_lastDetail = absl::StrCat("the upstream answered with status ", status);
        return true;
    }
    m_progress.markResponded(number);
    passAnswer(exchange, gathered, body.isAtEnd());
    if (!body.isAtEnd() && !passRest(body, exchange.framing().kind != body_kind::Length)) {
        exchange.cancel();
        m_runtime.counters().add(event::AnswersAborted);
        m_fate = connection_fate::Abort;
        logRequest(status, "answer-aborted");
        return false;
    }
    if (m_fate != connection_fate::Abort)
        m_runtime.counters().add(event::AnswersPassed);
    exchange.finish();
    logRequest(status, m_fate == connection_fate::Abort ? "guest-gone" : "");
    return false;
}

void route_handler::passAnswer(upstream_exchange& exchange, const std::string& gathered, bool isWhole)
{
    const auto& answer = exchange.response();
    Poco::Net::HTTPResponse head;
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    head.setStatus(answer.getStatus());
    head.setReason(answer.getReason());
    copyEndToEndHeaders(answer, head, { "content-length" });
    const int status = answer.getStatus();
    const bool hasNoBody = status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    const bool isChunked = !isWhole && exchange.framing().kind != body_kind::Length;
    if (isChunked)
        head.setChunkedTransferEncoding(true);
    else if (answer.hasContentLength())
        head.setContentLength64(answer.getContentLength64());
    else if (!hasNoBody)
        head.setContentLength64(static_cast<Poco::Int64>(gathered.size()));
    if (!m_body.isAtEnd())
        m_fate = connection_fate::Close;
    head.set("Connection", m_fate == connection_fate::Keep ? "keep-alive" : "close");
    m_isAnswered = true;
    const std::string start = isChunked ? writeChunk(gathered) : gathered;
    if (!m_guest.send(writeHead(head) + start, bodyDeadline()).ok())
        m_fate = connection_fate::Abort;
}

bool route_handler::passRest(body_reader& body, bool isChunked)
{
    while (!body.isAtEnd()) {
        const auto piece = body.next(bodyDeadline());
        if (!piece.ok())
            return false;
        if (piece->empty())
            break;
        if (!m_guest.send(isChunked ? writeChunk(*piece) : *piece, bodyDeadline()).ok())
            return false;
    }
    return !isChunked || m_guest.send(lastChunk, bodyDeadline()).ok();
}

std::optional<attempt_result> route_handler::resultOf(exchange_end end, const upstream_exchange& exchange, duration waited) const
{
    switch (end) {
    case exchange_end::Answered:
        return exchange.response().getStatus() >= serverErrorStatus ? attempt_result::Failed : attempt_result::Good;
    case exchange_end::ConnectFailed:
        return attempt_result::Unreachable;
    case exchange_end::NotStarted:
        // Another upstream has the address now.
        return exchange.response().getStatus() == misdirectedStatus ? attempt_result::Unreachable : attempt_result::Shed;
    case exchange_end::Lost:
        return attempt_result::Crashed;
    case exchange_end::Timeout:
    case exchange_end::BadAnswer:
        return attempt_result::Failed;
    case exchange_end::GuestGone:
        // A guest who waited longer than answers should take found it hanging.
        return waited > m_route->targetLatency ? std::optional(attempt_result::Failed) : std::nullopt;
    case exchange_end::GuestBodyFailed:
        break;
    }
    return std::nullopt;
}

void route_handler::noteAttempt(const directory_entry& upstream, exchange_end end, const upstream_exchange& exchange, duration waited)
{
    const auto result = resultOf(end, exchange, waited);
    if (result != attempt_result::Good)
        m_urgency = update_urgency::High;
    m_runtime.withCore([&](dispatch_core& it) {
        if (result)
            it.finishAttempt({ upstream.id, *result, waited, m_fingerprint }, presentInstant());
        else
            it.release(upstream.id);
    });
}

bool route_handler::mayRetry(retry_reason why)
{
    std::optional<retry_reason> denied;
    const bool mayHaveRun = why != retry_reason::NotStarted;
    const instant now = presentInstant();
    const auto takeRetry = [&](dispatch_core& it) { return !it.isQuarantined(m_fingerprint, now) && it.takeRetry(m_service); };
    if (mayHaveRun && !m_route->isIdempotent)
        denied = retry_reason::DeniedNotIdempotent;
    else if (now >= m_limit)
        denied = retry_reason::DeniedByDeadline;
    else if (m_sends >= m_route->maxAttempts || !m_runtime.withCore(takeRetry))
        denied = retry_reason::DeniedByBudget;
    m_runtime.counters().addRetry(denied.value_or(why));
    return !denied;
}

void route_handler::refuse(refusal_reason reason, const std::string& detail, duration retryAfter)
{
    const refusal_row& row = rowOf(reason);
    const bool isNotRun = m_progress.currentOutcome() == outcome::NotRun;
    if (isNotRun && m_hasToken)
        m_runtime.withCore([&](dispatch_core& it) { it.refundToken(m_team); });
    m_runtime.counters().addRefusal(reason, m_team);
    int status = row.httpStatus;
    // The status says whether the request may have run.
    if (isNotRun && status >= serverErrorStatus)
        status = unavailableStatus;
    else if (!isNotRun && (status == unavailableStatus || status < serverErrorStatus))
        status = badGatewayStatus;
    sendReply(status, row.name, detail, retryAfter);
    logRequest(status, row.name);
}

void route_handler::sendReply(int status, std::string_view reason, const std::string& detail, duration retryAfter)
{
    m_isAnswered = true;
    if (!m_body.isAtEnd() && m_fate == connection_fate::Keep)
        m_fate = connection_fate::Close;
    Poco::Net::HTTPResponse reply;
    reply.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    reply.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    reply.set("Almondmoor-Reason", std::string(reason));
    if (!m_id.empty())
        reply.set(m_runtime.wire().requestId, m_id);
    reply.set("Connection", m_fate == connection_fate::Keep ? "keep-alive" : "close");
    if (status == tooManyRequestsStatus || status == unavailableStatus)
        reply.set("Retry-After", absl::StrFormat("%.2f", std::max(0.05, toSeconds(retryAfter))));
    reply.setContentType("text/plain");
    const std::string body = absl::StrCat(std::string(reason), ": ", detail, "\n");
    reply.setContentLength64(static_cast<Poco::Int64>(body.size()));
    const bool hasBody = m_exchange.request.getMethod() != "HEAD";
    if (!m_guest.send(writeHead(reply) + (hasBody ? body : ""), bodyDeadline()).ok())
        m_fate = connection_fate::Close;
}

void route_handler::logRequest(int status, std::string_view reason) const
{
    const instant now = presentInstant();
    logInfo(absl::StrCat("event=request id=", m_id, " route=", m_route ? m_route->name : "", " team=", m_team, " service=", m_service, " plan=", m_plan ? m_plan->version : 0,
        " status=", status, " reason=", std::string(reason), " total_ms=", wholeMs(now - m_exchange.receivedAt), " left_ms=", wholeMs(m_limit - now), " attempts=", m_story,
        status >= serverErrorStatus && !m_lastDetail.empty() ? absl::StrCat(" detail=\"", m_lastDetail, "\"") : ""));
}

} // namespace almondmoor
