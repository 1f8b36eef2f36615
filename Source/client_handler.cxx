#include "client_handler.h"

#include "Core/rendezvous.h"

#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace almondmoor {

namespace {

    // Request bodies up to this size are read before the dispatch, so that a retry can send them again.
    constexpr std::size_t maxBufferedBodyBytes = std::size_t { 64 } * 1024;
    // For HTTP/1.0 clients, responses of unknown length are buffered up to this size.
    constexpr std::size_t maxBufferedResponseBytes = 1 << 20;
    constexpr std::uint32_t maxDeadlineMs = 600'000;
    constexpr std::size_t maxIdempotencyKeyLength = 256;
    constexpr unsigned maxAttempts = 4;
    // Only the host itself sets headers with this prefix; those of clients and upstreams are dropped.
    constexpr std::string_view reservedHeaderPrefix = "almondmoor-";
    // Shorter than the idle timeouts of upstreams. If a connection fails in use, the cause is therefore the request and
    // not an idle timeout.
    constexpr duration maxConnectionIdleTime = std::chrono::seconds(1);
    // An attempt of an idempotent request times out after this multiple of the median latency of the service, which
    // leaves time for another upstream.
    constexpr double attemptTimeoutFactor = 10;
    constexpr duration minAttemptTimeout = std::chrono::milliseconds(250);

    bool isServerError(int status)
    {
        return status >= 500;
    }

} // namespace

client_handler::client_handler(host_runtime& runtime, http_exchange& exchange)
    : m_runtime(runtime)
    , m_exchange(exchange)
    , m_client(exchange.stream)
    , m_requestId(runtime.nextRequestId())
    , m_configuration(runtime.currentConfiguration())
    , m_secret(bearerSecret(exchange.request))
    , m_requestBody(exchange.stream, exchange.framing)
    , m_scanner(m_secret)
{
}

connection_disposition client_handler::serve()
{
    m_runtime.counters().add(event::RequestsReceived);
    const bool isKeepAlive = m_exchange.request.getKeepAlive() && !m_runtime.isStopping();
    m_disposition = isKeepAlive ? connection_disposition::Keep : connection_disposition::Close;

    using step_function = step (client_handler::*)();
    constexpr std::array<step_function, 6> steps { &client_handler::readDeadline, &client_handler::authorize, &client_handler::admit,
        &client_handler::readBodyStart, &client_handler::claim, &client_handler::takeSlot };
    const bool isAllowed = std::all_of(steps.begin(), steps.end(), [this](step_function function) { return (this->*function)() == step::Continue; });
    if (isAllowed)
        runAttempts();
    if (m_hasSlot)
        m_runtime.releaseSlot(m_route->service, m_team, presentInstant() - m_slotTakenAt);
    // Unread bytes of the body would be parsed as the next request.
    if (!m_requestBody.isAtEnd() && m_disposition == connection_disposition::Keep)
        m_disposition = connection_disposition::Close;
    const duration total = presentInstant() - m_exchange.receivedAt;
    m_runtime.counters().addLatency(total, total - m_upstreamTime);
    return m_disposition;
}

client_handler::step client_handler::readDeadline()
{
    duration timeout = m_runtime.settings().requestTimeout;
    if (m_exchange.request.has(deadlineHeader)) {
        std::uint32_t ms = 0;
        if (!absl::SimpleAtoi(m_exchange.request.get(deadlineHeader), &ms) || ms == 0 || ms > maxDeadlineMs) {
            refuse(refusal_reason::BadRequest, absl::StrCat(deadlineHeader, " must be a number from 1 to ", maxDeadlineMs));
            return step::Done;
        }
        timeout = std::chrono::milliseconds(ms);
    }
    m_deadline = m_exchange.receivedAt + timeout;
    return step::Continue;
}

client_handler::step client_handler::authorize()
{
    const auto& request = m_exchange.request;
    m_route = m_configuration->findRoute(request.getURI());
    if (!m_route) {
        refuse(refusal_reason::NoRoute, "no route begins with this path");
        return step::Done;
    }
    m_progress = request_progress(m_route->idempotent);
    if (containsSecret(request, m_secret)) {
        refuse(refusal_reason::KeyInRequest, "the key stands outside the Authorization header");
        return step::Done;
    }
    if (m_route->access == route_access::Open)
        return step::Continue;
    if (!m_runtime.withTraffic([](traffic_core& it) { return it.isFresh(presentInstant()); })) {
        refuse(refusal_reason::StaleConfiguration, "this host cannot tell whether keys are still valid");
        return step::Done;
    }
    if (m_secret.empty()) {
        refuse(refusal_reason::NoKey, "this route needs a key as 'Authorization: Bearer KEY'");
        return step::Done;
    }
    m_secretHash = hashSecret(m_secret);
    const client_key* key = m_configuration->findKey(m_secretHash);
    if (!key) {
        refuse(refusal_reason::UnknownKey, "the key is unknown or withdrawn");
        return step::Done;
    }
    m_team = key->team;
    const auto& allowedTeams = m_route->teams;
    const bool isAllowed = m_route->access == route_access::AnyTeam || std::find(allowedTeams.begin(), allowedTeams.end(), m_team) != allowedTeams.end();
    if (!isAllowed) {
        refuse(refusal_reason::TeamNotAllowed, "the key's team may not use this route");
        return step::Done;
    }
    return step::Continue;
}

client_handler::step client_handler::admit()
{
    if (m_team.empty())
        return step::Continue;
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
    return step::Continue;
}

client_handler::step client_handler::readBodyStart()
{
    if (m_exchange.framing.kind == body_kind::Length && m_exchange.framing.length > m_runtime.settings().maxBodyBytes) {
        refuse(refusal_reason::BodyTooLarge, "the body is larger than this host takes");
        return step::Done;
    }
    const bool expectsContinue = toLower(m_exchange.request.get("Expect", "")) == "100-continue";
    if (expectsContinue && !m_requestBody.isAtEnd())
        (void)m_client.send("HTTP/1.1 100 Continue\r\n\r\n", nextPieceDeadline());
    while (!m_requestBody.isAtEnd() && m_outgoing.bodyPrefix.size() < maxBufferedBodyBytes) {
        const auto piece = m_requestBody.next(std::min(m_deadline, nextPieceDeadline()));
        if (!piece.ok()) {
            const bool hasDisconnected = isDisconnected(piece.status());
            if (hasDisconnected)
                m_runtime.counters().add(event::ClientsDisconnected);
            const bool isTimeout = absl::IsDeadlineExceeded(piece.status());
            refuse(isTimeout ? refusal_reason::BodyTimeout : refusal_reason::BadRequest, std::string(piece.status().message()));
            m_disposition = connection_disposition::Close;
            return step::Done;
        }
        if (m_scanner.scan(*piece)) {
            refuse(refusal_reason::KeyInRequest, "the key stands in the body");
            return step::Done;
        }
        m_outgoing.bodyPrefix += m_scanner.takeSafeBytes(m_requestBody.isAtEnd());
    }
    if (!m_requestBody.isAtEnd())
        m_outgoing.remainingBody = &m_requestBody;
    m_outgoing.scanner = &m_scanner;
    const std::string fingerprintPrefix = absl::StrCat(m_team, "\n", m_route->prefix, "\n", m_exchange.request.getMethod(), "\n", m_exchange.request.getURI(), "\n");
    m_fingerprint = stableHash(m_outgoing.bodyPrefix, stableHash(fingerprintPrefix));
    if (m_runtime.withTraffic([&](traffic_core& it) { return it.isQuarantined(m_fingerprint, presentInstant()); })) {
        refuse(refusal_reason::Quarantined, "upstreams crashed on this request of late");
        return step::Done;
    }
    prepareOutgoingRequest();
    return step::Continue;
}

void client_handler::prepareOutgoingRequest()
{
    auto& head = m_outgoing.head;
    const auto& request = m_exchange.request;
    head.setMethod(request.getMethod());
    head.setURI(request.getURI());
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    copyEndToEndHeaders(request, head, { "authorization", "content-length", "expect" }, reservedHeaderPrefix);
    if (!head.has("Host"))
        head.set("Host", m_route->service);
    head.set(teamHeader, m_team);
    head.set(requestIdHeader, m_requestId);
    if (m_exchange.framing.kind == body_kind::Chunked)
        head.setChunkedTransferEncoding(true);
    else if (m_exchange.framing.kind == body_kind::Length || request.hasContentLength())
        head.setContentLength64(static_cast<Poco::Int64>(m_exchange.framing.length));
    const bool canReuseConnection = m_route->idempotent && !m_outgoing.remainingBody;
    m_outgoing.maxIdleTime = canReuseConnection ? maxConnectionIdleTime : duration::zero();
}

client_handler::step client_handler::claim()
{
    if (m_route->idempotent)
        return step::Continue;
    const std::string idempotencyKey = m_exchange.request.get(idempotencyKeyHeader, "");
    if (idempotencyKey.empty() || idempotencyKey.size() > maxIdempotencyKeyLength) {
        refuse(refusal_reason::IdempotencyKeyMissing, absl::StrCat("this route needs an ", idempotencyKeyHeader, " of at most ", maxIdempotencyKeyLength, " characters"));
        return step::Done;
    }
    const std::string identity = hashSecret(absl::StrCat(m_team, "\n", m_route->prefix, "\n", idempotencyKey));
    switch (m_runtime.claims().claim(identity, m_requestId)) {
    case claim_outcome::Claimed:
        m_runtime.counters().add(event::ClaimsMade);
        m_claimIdentity = identity;
        return step::Continue;
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

client_handler::step client_handler::takeSlot()
{
    const auto slot = m_runtime.waitForSlot(m_route->service, m_team, m_deadline);
    if (!slot.isGranted()) {
        refuse(slot.reason, "no upstream has room for the request in time");
        return step::Done;
    }
    m_hasSlot = true;
    m_slotTakenAt = presentInstant();
    m_firstUpstream = slot.upstream;
    m_runtime.withTraffic([&](traffic_core& it) { it.recordFirstAttempt(m_team, m_route->service); });
    return step::Continue;
}

std::optional<refusal_reason> client_handler::dispatchRefusal(const std::string& upstream)
{
    const instant now = presentInstant();
    if (now >= m_deadline)
        return refusal_reason::QueueTimeout;
    const bool acceptsRequests = m_runtime.withTraffic([&](traffic_core& it) { return it.acceptsNewRequests(upstream); });
    if (!acceptsRequests)
        return refusal_reason::NoUpstream;
    if (m_route->access == route_access::Open)
        return std::nullopt;
    if (!m_runtime.withTraffic([now](traffic_core& it) { return it.isFresh(now); }))
        return refusal_reason::StaleConfiguration;
    const auto latestConfiguration = m_runtime.currentConfiguration();
    return latestConfiguration->findKey(m_secretHash) ? std::nullopt : std::optional(refusal_reason::UnknownKey);
}

duration client_handler::attemptTimeout(instant now)
{
    const duration remaining = m_deadline - now;
    if (!m_route->idempotent || m_outgoing.remainingBody)
        return remaining;
    const duration median = m_runtime.withTraffic([&](traffic_core& it) { return it.router().health().medianLatency(m_route->service); });
    if (median == duration::zero())
        return remaining / 2;
    const auto attemptLimit = fromSeconds(toSeconds(median) * attemptTimeoutFactor);
    return std::min(remaining, std::max(attemptLimit, minAttemptTimeout));
}

void client_handler::runAttempts()
{
    std::string upstream = m_firstUpstream;
    while (runAttempt(upstream)) {
        const auto next = m_runtime.withTraffic([&](traffic_core& it) { return it.pick(m_route->service, m_triedUpstreams, presentInstant()); });
        if (!next) {
            m_runtime.counters().addRetry(retry_reason::DeniedNoUpstream);
            break;
        }
        upstream = *next;
    }
    if (!m_hasResponded)
        refuse(m_lastFailure, m_lastFailureDetail);
}

bool client_handler::runAttempt(const std::string& upstream)
{
    m_triedUpstreams.insert(upstream);
    const unsigned number = m_progress.beginAttempt(upstream);
    m_runtime.counters().add(event::AttemptsStarted);
    const instant startedAt = presentInstant();
    const instant deadline = startedAt + attemptTimeout(startedAt);
    const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - startedAt).count();
    m_outgoing.head.set(deadlineHeader, absl::StrCat(std::max<std::int64_t>(1, remainingMs)));

    std::optional<refusal_reason> refusal;
    upstream_exchange exchange(m_runtime.upstreams(), upstream, [&] {
        refusal = dispatchRefusal(upstream);
        if (refusal)
            return false;
        m_progress.markSent(number);
        return true;
    });
    const exchange_result exchangeResult = exchange.run(m_outgoing, m_client, deadline, m_runtime.settings().bodyTimeout);
    m_upstreamTime += presentInstant() - startedAt;
    m_lastFailureDetail = exchange.detail();
    if (refusal) {
        m_runtime.withTraffic([&](traffic_core& it) { it.cancelPick(upstream); });
        m_progress.markNotStarted(number, false);
        m_lastFailure = *refusal;
        m_lastFailureDetail = "the request was stopped right before its dispatch";
        exchange.cancel();
        return *refusal == refusal_reason::NoUpstream && m_progress.attempts().size() < maxAttempts;
    }
    recordAttemptResult(upstream, exchangeResult, exchange);

    switch (exchangeResult) {
    case exchange_result::ResponseReceived: {
        const bool shouldRetry = isServerError(exchange.response().getStatus()) && m_route->idempotent && !m_outgoing.remainingBody;
        if (shouldRetry && acquireRetry(retry_reason::ServerError)) {
            m_progress.markLost(number);
            exchange.cancel();
            m_lastFailure = refusal_reason::BadResponse;
            m_lastFailureDetail = "the upstream answered with an error";
            return true;
        }
        m_progress.markResponded(number);
        forwardResponse(upstream, exchange);
        return false;
    }
    case exchange_result::ConnectFailed:
        m_progress.markNotStarted(number, false);
        m_lastFailure = refusal_reason::ConnectFailed;
        return acquireRetry(retry_reason::ConnectFailed);
    case exchange_result::NotStarted:
        m_progress.markNotStarted(number, true);
        m_lastFailure = refusal_reason::NotStarted;
        exchange.cancel();
        return !m_outgoing.remainingBody && acquireRetry(retry_reason::NotStarted);
    case exchange_result::ClientDisconnected:
    case exchange_result::ClientBodyFailed:
        m_progress.markLost(number);
        exchange.cancel();
        m_lastFailure = refusal_reason::BadRequest;
        if (exchangeResult == exchange_result::ClientDisconnected)
            m_runtime.counters().add(event::ClientsDisconnected);
        m_disposition = connection_disposition::Close;
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
    return acquireRetry(exchangeResult == exchange_result::Timeout ? retry_reason::ResponseTimeout : retry_reason::ResponseLost);
}

void client_handler::recordAttemptResult(const std::string& upstream, exchange_result exchangeResult, const upstream_exchange& exchange)
{
    attempt_sample sample { upstream, attempt_result::Good, latencyBucket(exchange.latency()), 0, 1 };
    const int status = exchangeResult == exchange_result::ResponseReceived || exchangeResult == exchange_result::NotStarted ? exchange.response().getStatus() : 0;
    switch (exchangeResult) {
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

bool client_handler::acquireRetry(retry_reason retryReason)
{
    if (m_progress.attempts().size() >= maxAttempts)
        return false;
    const bool mayHaveRun = retryReason != retry_reason::ConnectFailed && retryReason != retry_reason::NotStarted;
    const retry_request retryRequest { m_team, m_route->service, m_route->idempotent, mayHaveRun, m_fingerprint, m_deadline };
    const auto denied = m_runtime.withTraffic([&](traffic_core& it) { return it.requestRetry(retryRequest, presentInstant()); });
    m_runtime.counters().addRetry(denied.value_or(retryReason));
    return !denied;
}

void client_handler::forwardResponse(const std::string& upstream, upstream_exchange& exchange)
{
    const auto& upstreamResponse = exchange.response();
    Poco::Net::HTTPResponse head;
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    head.setStatus(upstreamResponse.getStatus());
    head.setReason(upstreamResponse.getReason());
    copyEndToEndHeaders(upstreamResponse, head, { "content-length" }, reservedHeaderPrefix);
    head.set(outcomeHeader, std::string(nameIn(outcomeNames, outcome::Ran)));
    head.set(requestIdHeader, m_requestId);

    const bool isHttp10Client = m_exchange.request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
    bool isChunked = exchange.framing().kind == body_kind::Chunked;
    std::string bufferedBody;
    m_hasResponded = true;
    if (isChunked && isHttp10Client) {
        if (!bufferBody(exchange, bufferedBody)) {
            exchange.cancel();
            m_runtime.counters().add(event::ResponsesAborted);
            m_disposition = connection_disposition::Abort;
            recordRequest("ran", "answer-aborted");
            return;
        }
        isChunked = false;
        head.setContentLength64(static_cast<Poco::Int64>(bufferedBody.size()));
    } else if (isChunked) {
        head.setChunkedTransferEncoding(true);
    } else if (upstreamResponse.hasContentLength()) {
        head.setContentLength64(upstreamResponse.getContentLength64());
    } else if (upstreamResponse.getStatus() != Poco::Net::HTTPResponse::HTTP_NO_CONTENT && upstreamResponse.getStatus() != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED
        && m_exchange.request.getMethod() != "HEAD") {
        head.setContentLength64(0);
    }
    if (!m_requestBody.isAtEnd())
        m_disposition = connection_disposition::Close;
    head.set("Connection", m_disposition == connection_disposition::Keep ? "keep-alive" : "close");

    const bool isSent = m_client.send(writeHead(head) + bufferedBody, nextPieceDeadline()).ok();
    if (!isSent || !forwardRemainingBody(upstream, exchange, isChunked)) {
        exchange.cancel();
        m_runtime.counters().add(event::ResponsesAborted);
        m_disposition = connection_disposition::Abort;
        recordRequest("ran", "answer-aborted");
        return;
    }
    exchange.finish();
    m_runtime.counters().add(event::ResponsesForwarded);
    recordRequest("ran", "");
}

bool client_handler::forwardRemainingBody(const std::string& upstream, upstream_exchange& exchange, bool isChunked)
{
    const auto found = m_configuration->upstreams().find(upstream);
    const bool crossesRegions = found != m_configuration->upstreams().end() && regionOf(found->second.dataCentre) != regionOf(m_runtime.settings().dataCentre);
    const auto countBytes = [this, crossesRegions](std::size_t bytes) {
        if (crossesRegions)
            m_runtime.counters().add(event::CrossRegionBytes, bytes);
    };
    body_reader body(exchange.stream(), exchange.framing(), &m_client);
    return forwardBody(body, m_client, isChunked, { instant::max(), m_runtime.settings().bodyTimeout }, countBytes).ok();
}

bool client_handler::bufferBody(upstream_exchange& exchange, std::string& bufferedBody)
{
    body_reader body(exchange.stream(), exchange.framing());
    while (!body.isAtEnd()) {
        const auto piece = body.next(nextPieceDeadline());
        if (!piece.ok() || bufferedBody.size() + piece->size() > maxBufferedResponseBytes)
            return false;
        bufferedBody += *piece;
    }
    return true;
}

void client_handler::refuse(refusal_reason reason, const std::string& detail)
{
    const refusal_row& row = rowOf(reason);
    outcome reportedOutcome = m_progress.currentOutcome();
    // This copy of the request was not run, but the earlier one may have been.
    if (reason == refusal_reason::Duplicate)
        reportedOutcome = outcome::Unknown;
    if (reportedOutcome == outcome::NotRun) {
        if (m_hasToken)
            m_runtime.withTraffic([&](traffic_core& it) { it.returnToken(m_team, presentInstant()); });
        if (!m_claimIdentity.empty())
            m_runtime.claims().release(m_claimIdentity, m_requestId);
    }
    m_runtime.counters().addRefusal(reason, m_team);
    recordRequest(std::string(nameIn(outcomeNames, reportedOutcome)), std::string(row.name));
    sendReply(row.httpStatus, std::string(row.name), detail, reportedOutcome);
}

void client_handler::sendReply(int status, const std::string& reason, const std::string& detail, outcome reportedOutcome)
{
    m_hasResponded = true;
    if (!m_requestBody.isAtEnd() && m_disposition == connection_disposition::Keep)
        m_disposition = connection_disposition::Close;
    Poco::Net::HTTPResponse reply;
    reply.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    reply.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    reply.set(outcomeHeader, std::string(nameIn(outcomeNames, reportedOutcome)));
    reply.set(reasonHeader, reason);
    reply.set(requestIdHeader, m_requestId);
    reply.set("Connection", m_disposition == connection_disposition::Keep ? "keep-alive" : "close");
    if (status == Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS || status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
        reply.set("Retry-After", "1");
    reply.setContentType("text/plain");
    const std::string body = absl::StrCat(reason, ": ", detail, "\n");
    reply.setContentLength64(static_cast<Poco::Int64>(body.size()));
    const bool hasBody = m_exchange.request.getMethod() != "HEAD";
    if (!m_client.send(writeHead(reply) + (hasBody ? body : ""), nextPieceDeadline()).ok())
        m_disposition = connection_disposition::Close;
}

void client_handler::recordRequest(const std::string& reportedOutcome, const std::string& reason)
{
    std::string attempts;
    for (const attempt& it : m_progress.attempts())
        absl::StrAppend(&attempts, attempts.empty() ? "" : " ", it.upstream, "=", std::string(nameIn(attemptStageNames, it.stage)));
    const double totalMs = toSeconds(presentInstant() - m_exchange.receivedAt) * 1000;
    m_runtime.history().add(request_record { m_requestId, m_team, m_route ? m_route->prefix : "", reportedOutcome, reason, attempts, totalMs });
}

} // namespace almondmoor
