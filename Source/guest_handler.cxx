#include "guest_handler.h"

#include "Core/rendezvous.h"

#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace almondmoor {

namespace {

    // Bodies up to this size are read before the dispatch and can be sent again.
    constexpr std::size_t bufferedBodySize = std::size_t { 64 } * 1024;
    // Answers of unknown length are gathered up to this size for HTTP/1.0 guests.
    constexpr std::size_t largestGatheredAnswer = 1 << 20;
    constexpr std::uint32_t longestDeadlineMs = 600'000;
    constexpr std::size_t longestIdempotencyKey = 256;
    constexpr unsigned mostAttempts = 4;
    // Guests and upstreams cannot set the headers of this host.
    constexpr std::string_view ownHeaderPrefix = "almondmoor-";
    // Shorter than the idle timeouts of upstreams, so that a connection that breaks
    // in use broke because of what happened in it.
    constexpr duration longestIdleConnection = std::chrono::seconds(1);
    // An attempt of a repeatable request is given up after this multiple of the
    // service's median, so that another upstream still has time.
    constexpr double attemptTimeoutFactor = 10;
    constexpr duration leastAttemptTimeout = std::chrono::milliseconds(250);

    bool isServerError(int status)
    {
        return status >= 500;
    }

} // namespace

guest_handler::guest_handler(host_runtime& runtime, http_exchange& exchange)
    : m_runtime(runtime)
    , m_exchange(exchange)
    , m_guest(exchange.stream)
    , m_id(runtime.nextRequestId())
    , m_held(runtime.currentConfiguration())
    , m_secret(bearerSecret(exchange.request))
    , m_body(exchange.stream, exchange.framing)
    , m_scanner(m_secret)
{
}

connection_fate guest_handler::serve()
{
    m_runtime.counters().add(event::RequestsReceived);
    const bool isKeepAlive = m_exchange.request.getKeepAlive() && !m_runtime.isStopping();
    m_fate = isKeepAlive ? connection_fate::Keep : connection_fate::Close;

    using step_function = step (guest_handler::*)();
    constexpr std::array<step_function, 6> steps { &guest_handler::readDeadline, &guest_handler::authorize, &guest_handler::admit,
        &guest_handler::readBodyStart, &guest_handler::claim, &guest_handler::takeSlot };
    const bool isAllowed = std::all_of(steps.begin(), steps.end(), [this](step_function function) { return (this->*function)() == step::Go; });
    if (isAllowed)
        attemptUntilDone();
    if (m_hasSlot)
        m_runtime.releaseSlot(m_route->service, m_team, presentInstant() - m_slotSince);
    // What is left of a body would be read as the next request.
    if (!m_body.isAtEnd() && m_fate == connection_fate::Keep)
        m_fate = connection_fate::Close;
    const duration total = presentInstant() - m_exchange.receivedAt;
    m_runtime.counters().addLatency(total, total - m_upstreamTime);
    return m_fate;
}

guest_handler::step guest_handler::readDeadline()
{
    duration limit = m_runtime.settings().requestTimeout;
    if (m_exchange.request.has(deadlineHeader)) {
        std::uint32_t ms = 0;
        if (!absl::SimpleAtoi(m_exchange.request.get(deadlineHeader), &ms) || ms == 0 || ms > longestDeadlineMs) {
            refuse(refusal_reason::BadRequest, absl::StrCat(deadlineHeader, " must be a number from 1 to ", longestDeadlineMs));
            return step::Done;
        }
        limit = std::chrono::milliseconds(ms);
    }
    m_deadline = m_exchange.receivedAt + limit;
    return step::Go;
}

guest_handler::step guest_handler::authorize()
{
    const auto& request = m_exchange.request;
    m_route = m_held->findRoute(request.getURI());
    if (!m_route) {
        refuse(refusal_reason::NoRoute, "no route begins with this path");
        return step::Done;
    }
    m_progress = request_progress(m_route->idempotent);
    if (holdsSecret(request, m_secret)) {
        refuse(refusal_reason::KeyInRequest, "the key stands outside the Authorization header");
        return step::Done;
    }
    if (m_route->access == route_access::Open)
        return step::Go;
    if (!m_runtime.withTraffic([](traffic_core& it) { return it.isFresh(presentInstant()); })) {
        refuse(refusal_reason::StaleConfiguration, "this host cannot tell whether keys are still valid");
        return step::Done;
    }
    if (m_secret.empty()) {
        refuse(refusal_reason::NoKey, "this route needs a key as 'Authorization: Bearer KEY'");
        return step::Done;
    }
    m_secretHash = hashSecret(m_secret);
    const client_key* key = m_held->findKey(m_secretHash);
    if (!key) {
        refuse(refusal_reason::UnknownKey, "the key is unknown or withdrawn");
        return step::Done;
    }
    m_team = key->team;
    const auto& listed = m_route->teams;
    const bool isAllowed = m_route->access == route_access::AnyTeam || std::find(listed.begin(), listed.end(), m_team) != listed.end();
    if (!isAllowed) {
        refuse(refusal_reason::TeamNotAllowed, "the key's team may not use this route");
        return step::Done;
    }
    return step::Go;
}

guest_handler::step guest_handler::admit()
{
    if (m_team.empty())
        return step::Go;
    const instant now = presentInstant();
    const bool isAdmitted = m_runtime.withTraffic([&](traffic_core& it) { return it.admit(m_team, now) == admission::Admitted; });
    if (!isAdmitted) {
        m_runtime.counters().add(event::TokenWaits);
        if (!m_runtime.waitForToken(m_team, std::min(m_deadline, now + m_runtime.settings().maxTokenWait))) {
            refuse(refusal_reason::RateExceeded, "the team's rate is used up");
            return step::Done;
        }
    }
    m_hasToken = true;
    m_runtime.counters().addAdmitted(m_team);
    return step::Go;
}

guest_handler::step guest_handler::readBodyStart()
{
    if (m_exchange.framing.kind == body_kind::Length && m_exchange.framing.length > m_runtime.settings().maxBodyBytes) {
        refuse(refusal_reason::BodyTooLarge, "the body is larger than this host takes");
        return step::Done;
    }
    const bool expectsContinue = toLower(m_exchange.request.get("Expect", "")) == "100-continue";
    if (expectsContinue && !m_body.isAtEnd())
        (void)m_guest.send("HTTP/1.1 100 Continue\r\n\r\n", bodyDeadline());
    while (!m_body.isAtEnd() && m_outgoing.bodyPrefix.size() < bufferedBodySize) {
        const auto piece = m_body.next(std::min(m_deadline, bodyDeadline()));
        if (!piece.ok()) {
            const bool isGone = isDisconnected(piece.status());
            if (isGone)
                m_runtime.counters().add(event::ClientsDisconnected);
            const bool isLate = absl::IsDeadlineExceeded(piece.status());
            refuse(isLate ? refusal_reason::BodyTimeout : refusal_reason::BadRequest, std::string(piece.status().message()));
            m_fate = connection_fate::Close;
            return step::Done;
        }
        if (m_scanner.sees(*piece)) {
            refuse(refusal_reason::KeyInRequest, "the key stands in the body");
            return step::Done;
        }
        m_outgoing.bodyPrefix += m_scanner.takeSafe(m_body.isAtEnd());
    }
    if (!m_body.isAtEnd())
        m_outgoing.remainingBody = &m_body;
    m_outgoing.scanner = &m_scanner;
    const std::string line = absl::StrCat(m_team, "\n", m_route->prefix, "\n", m_exchange.request.getMethod(), "\n", m_exchange.request.getURI(), "\n");
    m_fingerprint = stableHash(m_outgoing.bodyPrefix, stableHash(line));
    if (m_runtime.withTraffic([&](traffic_core& it) { return it.isQuarantined(m_fingerprint, presentInstant()); })) {
        refuse(refusal_reason::Quarantined, "upstreams crashed on this request of late");
        return step::Done;
    }
    prepareOutgoing();
    return step::Go;
}

void guest_handler::prepareOutgoing()
{
    auto& head = m_outgoing.head;
    const auto& request = m_exchange.request;
    head.setMethod(request.getMethod());
    head.setURI(request.getURI());
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    copyEndToEndHeaders(request, head, { "authorization", "content-length", "expect" }, ownHeaderPrefix);
    if (!head.has("Host"))
        head.set("Host", m_route->service);
    head.set(teamHeader, m_team);
    head.set(requestHeader, m_id);
    if (m_exchange.framing.kind == body_kind::Chunked)
        head.setChunkedTransferEncoding(true);
    else if (m_exchange.framing.kind == body_kind::Length || request.hasContentLength())
        head.setContentLength64(static_cast<Poco::Int64>(m_exchange.framing.length));
    const bool mayUseKept = m_route->idempotent && !m_outgoing.remainingBody;
    m_outgoing.maxIdleTime = mayUseKept ? longestIdleConnection : duration::zero();
}

guest_handler::step guest_handler::claim()
{
    if (m_route->idempotent)
        return step::Go;
    const std::string given = m_exchange.request.get(idempotencyHeader, "");
    if (given.empty() || given.size() > longestIdempotencyKey) {
        refuse(refusal_reason::IdempotencyKeyMissing, absl::StrCat("this route needs an ", idempotencyHeader, " of at most ", longestIdempotencyKey, " characters"));
        return step::Done;
    }
    const std::string identity = hashSecret(absl::StrCat(m_team, "\n", m_route->prefix, "\n", given));
    switch (m_runtime.claims().claim(identity, m_id)) {
    case claim_outcome::Claimed:
        m_runtime.counters().add(event::ClaimsMade);
        m_claimIdentity = identity;
        return step::Go;
    case claim_outcome::Taken:
        m_runtime.counters().add(event::ClaimsAlreadyTaken);
        refuse(refusal_reason::Duplicate, "a request with this Idempotency-Key was accepted before; this copy was not run");
        return step::Done;
    case claim_outcome::Unavailable:
        break;
    }
    m_runtime.counters().add(event::ClaimsUnavailable);
    refuse(refusal_reason::ClaimUnavailable, "whether this request ran before cannot be found out now");
    return step::Done;
}

guest_handler::step guest_handler::takeSlot()
{
    const auto slot = m_runtime.waitForSlot(m_route->service, m_team, m_deadline);
    if (!slot.isGranted()) {
        refuse(slot.reason, "no upstream has room for the request in time");
        return step::Done;
    }
    m_hasSlot = true;
    m_slotSince = presentInstant();
    m_firstUpstream = slot.upstream;
    m_runtime.withTraffic([&](traffic_core& it) { it.recordFirstAttempt(m_team, m_route->service); });
    return step::Go;
}

std::optional<refusal_reason> guest_handler::dispatchRefusal(const std::string& upstream)
{
    const instant now = presentInstant();
    if (now >= m_deadline)
        return refusal_reason::QueueTimeout;
    const bool takesWork = m_runtime.withTraffic([&](traffic_core& it) { return it.acceptsNewRequests(upstream); });
    if (!takesWork)
        return refusal_reason::NoUpstream;
    if (m_route->access == route_access::Open)
        return std::nullopt;
    if (!m_runtime.withTraffic([now](traffic_core& it) { return it.isFresh(now); }))
        return refusal_reason::StaleConfiguration;
    const auto held = m_runtime.currentConfiguration();
    return held->findKey(m_secretHash) ? std::nullopt : std::optional(refusal_reason::UnknownKey);
}

duration guest_handler::attemptTimeout(instant now)
{
    const duration left = m_deadline - now;
    if (!m_route->idempotent || m_outgoing.remainingBody)
        return left;
    const duration median = m_runtime.withTraffic([&](traffic_core& it) { return it.router().health().medianLatency(m_route->service); });
    if (median == duration::zero())
        return left / 2;
    const auto patience = fromSeconds(toSeconds(median) * attemptTimeoutFactor);
    return std::min(left, std::max(patience, leastAttemptTimeout));
}

void guest_handler::attemptUntilDone()
{
    std::string upstream = m_firstUpstream;
    while (attemptOnce(upstream)) {
        const auto next = m_runtime.withTraffic([&](traffic_core& it) { return it.pick(m_route->service, m_tried, presentInstant()); });
        if (!next) {
            m_runtime.counters().addRetry(retry_reason::DeniedNoUpstream);
            break;
        }
        upstream = *next;
    }
    if (!m_isAnswered)
        refuse(m_lastFailure, m_lastDetail);
}

bool guest_handler::attemptOnce(const std::string& upstream)
{
    m_tried.insert(upstream);
    const unsigned number = m_progress.beginAttempt(upstream);
    m_runtime.counters().add(event::AttemptsStarted);
    const instant startedAt = presentInstant();
    const instant deadline = startedAt + attemptTimeout(startedAt);
    const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - startedAt).count();
    m_outgoing.head.set(deadlineHeader, absl::StrCat(std::max<std::int64_t>(1, leftMs)));

    std::optional<refusal_reason> stopped;
    upstream_exchange exchange(m_runtime.upstreams(), upstream, [&] {
        stopped = dispatchRefusal(upstream);
        if (stopped)
            return false;
        m_progress.markSent(number);
        return true;
    });
    const exchange_result end = exchange.run(m_outgoing, m_guest, deadline, m_runtime.settings().bodyTimeout);
    m_upstreamTime += presentInstant() - startedAt;
    m_lastDetail = exchange.detail();
    if (stopped) {
        m_runtime.withTraffic([&](traffic_core& it) { it.cancelPick(upstream); });
        m_progress.markNotStarted(number, false);
        m_lastFailure = *stopped;
        m_lastDetail = "the request was stopped right before its dispatch";
        exchange.cancel();
        return *stopped == refusal_reason::NoUpstream && m_progress.attempts().size() < mostAttempts;
    }
    noteResult(upstream, end, exchange);

    switch (end) {
    case exchange_result::ResponseReceived: {
        const bool wantsRetry = isServerError(exchange.response().getStatus()) && m_route->idempotent && !m_outgoing.remainingBody;
        if (wantsRetry && mayRetry(retry_reason::ServerError)) {
            m_progress.markLost(number);
            exchange.cancel();
            m_lastFailure = refusal_reason::BadResponse;
            m_lastDetail = "the upstream answered with an error";
            return true;
        }
        m_progress.markResponded(number);
        passAnswer(upstream, exchange);
        return false;
    }
    case exchange_result::ConnectFailed:
        m_progress.markNotStarted(number, false);
        m_lastFailure = refusal_reason::ConnectFailed;
        return mayRetry(retry_reason::ConnectFailed);
    case exchange_result::NotStarted:
        m_progress.markNotStarted(number, true);
        m_lastFailure = refusal_reason::NotStarted;
        exchange.cancel();
        return !m_outgoing.remainingBody && mayRetry(retry_reason::NotStarted);
    case exchange_result::ClientDisconnected:
    case exchange_result::ClientBodyFailed:
        m_progress.markLost(number);
        exchange.cancel();
        m_lastFailure = refusal_reason::BadRequest;
        if (end == exchange_result::ClientDisconnected)
            m_runtime.counters().add(event::ClientsDisconnected);
        m_fate = connection_fate::Close;
        return false;
    case exchange_result::Lost:
        m_lastFailure = refusal_reason::ResponseLost;
        break;
    case exchange_result::Timeout:
        m_lastFailure = refusal_reason::ResponseTimeout;
        break;
    case exchange_result::BadResponse:
        m_lastFailure = refusal_reason::BadResponse;
        break;
    }
    m_progress.markLost(number);
    exchange.cancel();
    if (m_outgoing.remainingBody)
        return false;
    return mayRetry(end == exchange_result::Timeout ? retry_reason::ResponseTimeout : retry_reason::ResponseLost);
}

void guest_handler::noteResult(const std::string& upstream, exchange_result end, const upstream_exchange& exchange)
{
    attempt_sample sample { upstream, attempt_result::Good, latencyBucket(exchange.latency()), 0, 1 };
    const int status = end == exchange_result::ResponseReceived || end == exchange_result::NotStarted ? exchange.response().getStatus() : 0;
    switch (end) {
    case exchange_result::ResponseReceived:
        if (status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE && exchange.response().has("Retry-After"))
            sample.result = attempt_result::Shed;
        else if (isServerError(status))
            sample.result = attempt_result::Failed;
        break;
    case exchange_result::ConnectFailed:
        sample.result = attempt_result::Unreachable;
        break;
    case exchange_result::NotStarted:
        sample.result = attempt_result::Shed;
        break;
    case exchange_result::Lost:
        sample.result = attempt_result::Crashed;
        sample.fingerprint = m_fingerprint;
        break;
    case exchange_result::Timeout:
    case exchange_result::BadResponse:
        sample.result = attempt_result::Failed;
        break;
    case exchange_result::ClientDisconnected:
    case exchange_result::ClientBodyFailed:
        m_runtime.withTraffic([&](traffic_core& it) { it.cancelPick(upstream); });
        return;
    }
    m_runtime.withTraffic([&](traffic_core& it) { it.finishAttempt(sample, presentInstant()); });
}

bool guest_handler::mayRetry(retry_reason why)
{
    if (m_progress.attempts().size() >= mostAttempts)
        return false;
    const bool mayHaveRun = why != retry_reason::ConnectFailed && why != retry_reason::NotStarted;
    const retry_request question { m_team, m_route->service, m_route->idempotent, mayHaveRun, m_fingerprint, m_deadline };
    const auto denied = m_runtime.withTraffic([&](traffic_core& it) { return it.requestRetry(question, presentInstant()); });
    m_runtime.counters().addRetry(denied.value_or(why));
    return !denied;
}

void guest_handler::passAnswer(const std::string& upstream, upstream_exchange& exchange)
{
    const auto& answer = exchange.response();
    Poco::Net::HTTPResponse head;
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    head.setStatus(answer.getStatus());
    head.setReason(answer.getReason());
    copyEndToEndHeaders(answer, head, { "content-length" }, ownHeaderPrefix);
    head.set(outcomeHeader, std::string(nameIn(outcomeNames, outcome::Ran)));
    head.set(requestHeader, m_id);

    const bool isOldGuest = m_exchange.request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
    bool isChunked = exchange.framing().kind == body_kind::Chunked;
    std::string gathered;
    m_isAnswered = true;
    if (isChunked && isOldGuest) {
        if (!bufferBody(exchange, gathered)) {
            exchange.cancel();
            m_runtime.counters().add(event::ResponsesAborted);
            m_fate = connection_fate::Abort;
            record("ran", "answer-aborted");
            return;
        }
        isChunked = false;
        head.setContentLength64(static_cast<Poco::Int64>(gathered.size()));
    } else if (isChunked) {
        head.setChunkedTransferEncoding(true);
    } else if (answer.hasContentLength()) {
        head.setContentLength64(answer.getContentLength64());
    } else if (answer.getStatus() != Poco::Net::HTTPResponse::HTTP_NO_CONTENT && answer.getStatus() != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED
        && m_exchange.request.getMethod() != "HEAD") {
        head.setContentLength64(0);
    }
    if (!m_body.isAtEnd())
        m_fate = connection_fate::Close;
    head.set("Connection", m_fate == connection_fate::Keep ? "keep-alive" : "close");

    const bool isSent = m_guest.send(writeHead(head) + gathered, bodyDeadline()).ok();
    if (!isSent || !passBody(upstream, exchange, isChunked)) {
        exchange.cancel();
        m_runtime.counters().add(event::ResponsesAborted);
        m_fate = connection_fate::Abort;
        record("ran", "answer-aborted");
        return;
    }
    exchange.finish();
    m_runtime.counters().add(event::ResponsesForwarded);
    record("ran", "");
}

bool guest_handler::passBody(const std::string& upstream, upstream_exchange& exchange, bool isChunked)
{
    const auto found = m_held->upstreams().find(upstream);
    const bool crossesRegions = found != m_held->upstreams().end() && regionOf(found->second.dataCentre) != regionOf(m_runtime.settings().dataCentre);
    body_reader body(exchange.stream(), exchange.framing());
    while (!body.isAtEnd()) {
        const auto piece = body.next(bodyDeadline());
        if (!piece.ok())
            return false;
        if (piece->empty())
            break;
        if (crossesRegions)
            m_runtime.counters().add(event::CrossRegionBytes, piece->size());
        if (!m_guest.send(isChunked ? writeChunk(*piece) : *piece, bodyDeadline()).ok())
            return false;
    }
    return !isChunked || m_guest.send(lastChunk, bodyDeadline()).ok();
}

bool guest_handler::bufferBody(upstream_exchange& exchange, std::string& gathered)
{
    body_reader body(exchange.stream(), exchange.framing());
    while (!body.isAtEnd()) {
        const auto piece = body.next(bodyDeadline());
        if (!piece.ok() || gathered.size() + piece->size() > largestGatheredAnswer)
            return false;
        gathered += *piece;
    }
    return true;
}

void guest_handler::refuse(refusal_reason reason, const std::string& detail)
{
    const refusal_row& row = rowOf(reason);
    outcome claimed = m_progress.currentOutcome();
    // The copy was not run, but the action may have been.
    if (reason == refusal_reason::Duplicate)
        claimed = outcome::Unknown;
    if (claimed == outcome::NotRun) {
        if (m_hasToken)
            m_runtime.withTraffic([&](traffic_core& it) { it.returnToken(m_team, presentInstant()); });
        if (!m_claimIdentity.empty())
            m_runtime.claims().release(m_claimIdentity, m_id);
    }
    m_runtime.counters().addRefusal(reason, m_team);
    record(std::string(nameIn(outcomeNames, claimed)), std::string(row.name));
    sendReply(row.httpStatus, std::string(row.name), detail, claimed);
}

void guest_handler::sendReply(int status, const std::string& reason, const std::string& detail, outcome claimed)
{
    m_isAnswered = true;
    if (!m_body.isAtEnd() && m_fate == connection_fate::Keep)
        m_fate = connection_fate::Close;
    Poco::Net::HTTPResponse reply;
    reply.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    reply.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    reply.set(outcomeHeader, std::string(nameIn(outcomeNames, claimed)));
    reply.set(reasonHeader, reason);
    reply.set(requestHeader, m_id);
    reply.set("Connection", m_fate == connection_fate::Keep ? "keep-alive" : "close");
    if (status == Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS || status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
        reply.set("Retry-After", "1");
    reply.setContentType("text/plain");
    const std::string body = absl::StrCat(reason, ": ", detail, "\n");
    reply.setContentLength64(static_cast<Poco::Int64>(body.size()));
    const bool hasBody = m_exchange.request.getMethod() != "HEAD";
    if (!m_guest.send(writeHead(reply) + (hasBody ? body : ""), bodyDeadline()).ok())
        m_fate = connection_fate::Close;
}

void guest_handler::record(const std::string& claimed, const std::string& reason)
{
    std::string attempts;
    for (const attempt& it : m_progress.attempts())
        absl::StrAppend(&attempts, attempts.empty() ? "" : " ", it.upstream, "=", std::string(nameIn(attemptStageNames, it.stage)));
    const double totalMs = toSeconds(presentInstant() - m_exchange.receivedAt) * 1000;
    m_runtime.history().add(request_record { m_id, m_team, m_route ? m_route->prefix : "", claimed, reason, attempts, totalMs });
}

} // namespace almondmoor
