#include "route_handler.h"

#include "Core/homes.h"
#include "Core/rendezvous.h"
#include "announcement_headers.h"
#include "attempt_outcome.h"
#include "choice_refusals.h"
#include "client_reply.h"
#include "http_status.h"
#include "logging.h"
#include "outgoing_head.h"
#include "request_admission.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace almondmoor {

namespace {

    // Request bodies up to this size are read before the first attempt, so that retries can send them again.
    constexpr std::size_t maxBufferedBodyBytes = std::size_t { 64 } * 1024;
    // Responses up to this size are forwarded only after the whole body has arrived.
    constexpr std::size_t maxBufferedResponseBytes = std::size_t { 256 } * 1024;
    // Maximum time for which a reused connection may have been idle. A connection that was idle for longer may be dead
    // without a sign. Idempotent requests accept more idle time, because a retry of one that is lost costs less than a
    // new connection.
    constexpr duration maxIdleTimeIdempotent = std::chrono::seconds(6);
    constexpr duration maxIdleTime = std::chrono::milliseconds(2000);
    // Time after the deadline for which the host still waits, so that a response that the upstream sends at its own
    // deadline can arrive.
    constexpr duration lateResponseAllowance = std::chrono::milliseconds(60);
    // Time by which the deadline that is sent to an upstream is earlier than the client's.
    constexpr duration responseTravelTime = std::chrono::milliseconds(5);
    // Fraction of the remaining time that an attempt at an idempotent request may take before another upstream is
    // tried.
    constexpr double attemptTimeFraction = 0.55;
    // After a failed connection, another upstream is tried only if fewer than this number have been tried.
    constexpr std::size_t maxConnectFailures = 6;
    // While a host starts, a request waits for the first configuration for at most this fraction of its deadline, and
    // at most for maxStartupWait.
    constexpr double startupWaitFraction = 0.33;
    constexpr duration maxStartupWait = std::chrono::milliseconds(500);

    // Timeouts for opening a connection, by the distance tier of the upstream. TCP retransmits a lost packet of the
    // handshake only after one second, and another upstream can respond within that time.
    constexpr std::array<duration, 3> connectTimeouts { std::chrono::milliseconds(50), std::chrono::milliseconds(70), std::chrono::milliseconds(150) };

} // namespace

route_handler::route_handler(proxy_runtime& runtime, http_exchange& exchange)
    : m_runtime(runtime)
    , m_exchange(exchange)
    , m_client(exchange.stream)
    , m_id(exchange.request.get(runtime.wire().requestId, ""))
    , m_config(runtime.config())
    , m_secret(credentialSecret(exchange.request, runtime.wire().keyScheme))
    , m_memory(runtime.memory())
    , m_deadline(exchange.receivedAt + runtime.settings().requestTimeout)
    , m_body(exchange.stream, exchange.framing)
    , m_scanner(m_secret)
{
}

connection_disposition route_handler::serve()
{
    m_runtime.counters().add(event::RequestsReceived);
    m_memory.set(memory_budget::bytesPerRequest);
    const bool isClosing = m_runtime.phase() == stop_phase::Closing || m_runtime.phase() == stop_phase::Ending;
    m_disposition = m_exchange.request.getKeepAlive() && !isClosing ? connection_disposition::Keep : connection_disposition::Close;

    using step_function = step_result (route_handler::*)();
    constexpr std::array<step_function, 8> steps { &route_handler::waitForConfig, &route_handler::readBodyPrefix, &route_handler::findRoute, &route_handler::readDeadline,
        &route_handler::authorize, &route_handler::checkMemory, &route_handler::checkQuarantine, &route_handler::admit };
    const bool isAllowed = std::all_of(steps.begin(), steps.end(), [this](step_function function) { return (this->*function)() == step_result::Continue; });
    if (isAllowed)
        attemptUntilDone();
    recordOutcome();
    // An unread rest of the body would be parsed as the next request on the connection.
    if (!m_body.isAtEnd() && m_disposition == connection_disposition::Keep)
        m_disposition = connection_disposition::Close;
    const duration total = presentInstant() - m_exchange.receivedAt;
    m_runtime.counters().addLatency(total, total - m_upstreamTime);
    return m_disposition;
}

route_handler::step_result route_handler::waitForConfig()
{
    if (m_config || !m_runtime.isStarting())
        return step_result::Continue;
    double ms = 0;
    duration wait = maxStartupWait;
    if (absl::SimpleAtod(m_exchange.request.get(m_runtime.wire().deadlineMs, ""), &ms) && ms > 0)
        wait = std::min(wait, fromSeconds(ms / 1000 * startupWaitFraction));
    m_config = m_runtime.waitUntilReady(m_exchange.receivedAt + wait);
    return step_result::Continue;
}

route_handler::step_result route_handler::readBodyPrefix()
{
    const auto& limits = m_config ? m_config->limits : client_limits {};
    if (m_exchange.framing.kind == body_kind::Length && m_exchange.framing.length > limits.maxBodyBytes)
        return refuseRequest(refusal_reason::BodyTooLarge, "the body is larger than the limit");
    const bool expectsContinue = toLower(m_exchange.request.get("Expect", "")) == "100-continue";
    if (expectsContinue && !m_body.isAtEnd())
        (void)m_client.send("HTTP/1.1 100 Continue\r\n\r\n", bodyDeadline());
    const std::size_t maxPrefixBytes = m_runtime.memory().bodyLimit(maxBufferedBodyBytes);
    while (!m_body.isAtEnd() && m_outgoing.bodyPrefix.size() < maxPrefixBytes) {
        const auto piece = m_body.next(bodyDeadline());
        if (!piece.ok()) {
            if (isDisconnected(piece.status()))
                m_runtime.counters().add(event::ClientsDisconnected);
            m_disposition = connection_disposition::Close;
            return refuseRequest(absl::IsDeadlineExceeded(piece.status()) ? refusal_reason::BodyTimeout : refusal_reason::BadRequest, std::string(piece.status().message()));
        }
        if (m_scanner.scan(*piece))
            return refuseRequest(refusal_reason::KeyInRequest, "the key stands in the body");
        m_outgoing.bodyPrefix += m_scanner.takeSafeBytes(m_body.isAtEnd());
    }
    m_memory.add(m_outgoing.bodyPrefix.size());
    if (!m_body.isAtEnd())
        m_outgoing.remainingBody = &m_body;
    m_outgoing.scanner = &m_scanner;
    return step_result::Continue;
}

route_handler::step_result route_handler::findRoute()
{
    if (m_runtime.phase() == stop_phase::Ending)
        return refuseRequest(refusal_reason::Stopping, "this host is about to stop");
    if (!m_config)
        return refuseRequest(refusal_reason::NoConfiguration, "this host has no configuration yet");
    const auto& request = m_exchange.request;
    if (hasDotSegment(request.getURI()))
        return refuseRequest(refusal_reason::BadRequest, "the path holds a segment '.' or '..'");
    const std::string host = toLower(request.get("Host", ""));
    m_route = m_config->findRoute(host, request.getURI());
    // The Host header may include a port that the route's host name lacks.
    if (!m_route && host.find(':') != std::string::npos)
        m_route = m_config->findRoute(host.substr(0, host.find(':')), request.getURI());
    if (!m_route)
        return refuseRequest(refusal_reason::NoRoute, "no route of this host begins the path");
    m_progress = request_progress(m_route->isIdempotent);
    m_service = chooseService(*m_route, m_runtime.withCore([](dispatch_core& core) { return core.drawUniform(); }));
    return step_result::Continue;
}

route_handler::step_result route_handler::readDeadline()
{
    duration timeout = m_route->timeout > duration::zero() ? m_route->timeout : m_runtime.settings().requestTimeout;
    const std::string& name = m_runtime.wire().deadlineMs;
    if (m_exchange.request.has(name)) {
        double ms = 0;
        if (!absl::SimpleAtod(m_exchange.request.get(name), &ms) || !(ms >= 0))
            return refuseRequest(refusal_reason::BadRequest, absl::StrCat(name, " must be a number of milliseconds"));
        timeout = std::min(timeout, fromSeconds(std::min(ms / 1000, toSeconds(timeout))));
    }
    m_deadline = m_exchange.receivedAt + timeout;
    return step_result::Continue;
}

route_handler::step_result route_handler::authorize()
{
    const auto& request = m_exchange.request;
    if (headerCount(request, "Authorization") > 1)
        return refuseRequest(refusal_reason::BadRequest, "more than one Authorization header is given");
    if (containsSecret(request, m_secret))
        return refuseRequest(refusal_reason::KeyInRequest, "the key stands outside the Authorization header");
    const team_config* team = m_secret.empty() ? nullptr : m_config->findTeam(m_secret);
    if (team)
        m_team = team->name;
    m_priority = serving_config::priorityOf(*m_route, team);
    m_homes = homesOf(*m_route, team);
    m_homesConfig = m_config;
    const bool needsKey = !m_route->isPublic && !m_config->teams.empty();
    if (needsKey && !team) {
        const bool hasKey = !m_secret.empty();
        return refuseRequest(hasKey ? refusal_reason::UnknownKey : refusal_reason::NoKey, hasKey ? "the key is unknown or withdrawn" : "this route needs a key");
    }
    return step_result::Continue;
}

route_handler::step_result route_handler::checkMemory()
{
    const memory_budget& memory = m_runtime.memory();
    if (memory.admits(m_config->urgencyOf(m_priority)))
        return step_result::Continue;
    return refuseRequest(refusal_reason::HostMemoryShort, absl::StrCat("this host holds ", memory.heldBytes(), " of ", memory.maxBytes(), " bytes for requests"));
}

route_handler::step_result route_handler::checkQuarantine()
{
    const auto& request = m_exchange.request;
    const std::string line = absl::StrCat(m_team, "\n", m_route->host, "\n", request.getMethod(), "\n", request.getURI(), "\n");
    m_fingerprint = stableHash(m_outgoing.bodyPrefix, stableHash(line));
    if (m_runtime.withCore([&](dispatch_core& core) { return core.isQuarantined(m_fingerprint, presentInstant()); }))
        return refuseRequest(refusal_reason::Quarantined, "upstreams crashed on this request of late");
    return step_result::Continue;
}

route_handler::step_result route_handler::admit()
{
    if (m_team.empty() || m_route->isPublic)
        return step_result::Continue;
    const instant now = presentInstant();
    duration timeUntilToken {};
    m_hasToken = m_runtime.withCore([&](dispatch_core& core) {
        const bool isTaken = core.takeToken(m_team, now);
        timeUntilToken = isTaken ? duration::zero() : core.timeUntilToken(m_team, now);
        m_urgency = core.isRunningLow(m_team) ? update_urgency::Raised : update_urgency::Low;
        return isTaken;
    });
    if (!m_hasToken)
        return refuseRequest(refusal_reason::RateExceeded, "the team's rate is used up", timeUntilToken);
    m_runtime.counters().addAdmitted(m_team);
    return step_result::Continue;
}

void route_handler::prepareOutgoingRequest()
{
    m_outgoing.head = outgoingHead(m_exchange.request, m_exchange.framing, m_team, m_runtime.wire());
    m_outgoing.maxIdleTime = m_route->isIdempotent ? maxIdleTimeIdempotent : maxIdleTime;
    if (m_outgoing.remainingBody)
        m_outgoing.maxIdleTime = duration::zero();
}

void route_handler::updateHomes()
{
    const auto current = m_runtime.config();
    if (!current || current == m_homesConfig)
        return;
    m_homesConfig = current;
    const request_identity identity { m_route->name, m_route->host, m_exchange.request.getURI(), m_team };
    m_homes = homesIn(*m_config, identity).combinedWith(homesIn(*current, identity));
}

void route_handler::attemptUntilDone()
{
    prepareOutgoingRequest();
    m_runtime.withCore([&](dispatch_core& core) { core.recordFirstAttempt(m_service); });
    bool shouldContinue = true;
    // An attempt that begins while this host is about to stop might not end before the exit.
    while (shouldContinue && !m_isCompleted && (m_triedUpstreams.empty() || m_runtime.phase() != stop_phase::Ending)) {
        const instant now = presentInstant();
        updateHomes();
        // The configuration may have changed while an earlier attempt ran.
        if (!m_triedUpstreams.empty())
            m_priority = currentPriority(*m_runtime.config(), *m_route, m_team);
        std::optional<directory_entry> chosen;
        const choice_result result = m_runtime.withCore([&](dispatch_core& core) {
            const bool canRetry = canRetryNextAttempt() && core.canRetry(m_service);
            const choice_query query { m_service, canRetry, &m_triedUpstreams, m_deadline - now, m_route->targetLatency, m_route->name, m_priority, &m_homes };
            const choice_result choice = core.choose(query, now);
            if (choice.upstream)
                chosen = *choice.upstream;
            else
                m_timeUntilCapacity = core.timeUntilReturn(query, choice, std::max(defaultRetryAfter, choice.timeUntilCapacity), clientId(), now);
            return choice;
        });
        m_runtime.counters().add(event::ColdUpstreamsDenied, result.coldDenied);
        m_runtime.counters().add(event::ColdRequestsSent, result.isCold ? 1 : 0);
        m_admission = result.admission;
        if (!chosen) {
            // An upstream that was tried may have been excluded before anything was sent to it.
            const bool isExcluded = m_sentAttempts == 0 && (result.refusal == choice_refusal::OutsideHomes || result.refusal == choice_refusal::Evacuated);
            if (m_triedUpstreams.empty() || isExcluded) {
                m_lastFailure = reasonOf(result.refusal);
                m_lastDetail = detailOf(result.refusal, m_homes);
            } else {
                m_runtime.counters().addRetry(retry_reason::DeniedNoUpstream);
            }
            break;
        }
        countTrial(result);
        // Neighbours without a report of this request would make the same trial, or overload the busy upstream.
        if (result.isTrial || result.isBusy)
            m_urgency = update_urgency::High;
        m_runtime.scheduleReport(m_urgency);
        shouldContinue = attemptOnce(*chosen, result);
        m_runtime.scheduleReport(m_urgency);
    }
    if (!m_isCompleted)
        refuse(m_lastFailure, m_lastDetail, m_timeUntilCapacity);
}

void route_handler::countTrial(const choice_result& choice)
{
    m_isTrial = choice.isTrial;
    m_hasMadeTrial = m_hasMadeTrial || choice.isTrial;
    if (choice.isTrial)
        m_runtime.counters().add(event::TrialsStarted);
    else if (choice.trialDenial)
        m_runtime.counters().addTrialDenial(*choice.trialDenial);
}

void route_handler::recordOutcome()
{
    if (m_service.empty())
        return;
    const instant now = presentInstant();
    const bool isWithinTarget = m_isServed && now - m_exchange.receivedAt <= m_route->targetLatency;
    const bool lackedRoom = !m_isServed && isForLackOfRoom(m_lastFailure);
    m_runtime.withCore([&](dispatch_core& core) { core.recordOutcome({ m_service, m_priority, m_isServed, isWithinTarget, lackedRoom, m_hasMadeTrial }, now); });
}

bool route_handler::canRetryNextAttempt() const
{
    return m_route->isIdempotent && !m_outgoing.remainingBody && m_sentAttempts + 1 < m_route->maxAttempts;
}

duration route_handler::attemptTimeout(instant now)
{
    return canRetryNextAttempt() ? fromSeconds(toSeconds(m_deadline - now) * attemptTimeFraction) : m_deadline - now + lateResponseAllowance;
}

bool route_handler::attemptOnce(const directory_entry& upstream, const choice_result& choice)
{
    m_outgoing.connectTimeout = connectTimeouts[static_cast<std::size_t>(choice.tier)];
    m_triedUpstreams.insert(upstream.id);
    const unsigned attemptNumber = m_progress.beginAttempt(upstream.id);
    m_runtime.counters().add(event::AttemptsStarted);
    const instant startedAt = presentInstant();
    const wire_names& wire = m_runtime.wire();
    m_outgoing.head.set(wire.expectedUpstream, upstream.id);

    bool isSendCancelled = false;
    response_rules rules { wire.notStarted, wire.requestId, m_id, true };
    upstream_exchange exchange(
        m_runtime.upstreams(), upstream.address, [&] {
            // While the connection was opened, the upstream may have begun to drain or the deadline may have passed.
            const instant now = presentInstant();
            updateHomes();
            isSendCancelled = now >= m_deadline || !m_runtime.withCore([&](dispatch_core& core) { return core.acceptsNewRequests(upstream.id, m_homes, now); });
            if (isSendCancelled)
                return false;
            const duration left = std::max<duration>(std::chrono::milliseconds(1), m_deadline - now - responseTravelTime);
            m_outgoing.head.set(wire.deadlineMs, absl::StrCat(wholeMilliseconds(left)));
            m_progress.markSent(attemptNumber);
            ++m_sentAttempts;
            return true;
        },
        rules);
    exchange_result exchangeResult = exchange.run(m_outgoing, m_client, startedAt + attemptTimeout(startedAt), m_runtime.settings().bodyTimeout);
    // An attempt is cancelled before the deadline only if the request can be sent to another upstream.
    const bool isBeforeDeadline = exchangeResult == exchange_result::Timeout && presentInstant() < m_deadline;
    bool willRetry = false;
    if (isBeforeDeadline && exchange.canContinueWaiting()) {
        willRetry = tryReplaceSlowAttempt();
        if (!willRetry)
            exchangeResult = exchange.continueWaiting(m_outgoing.head.getMethod(), m_client, m_deadline + lateResponseAllowance);
    }
    const duration elapsed = presentInstant() - startedAt;
    m_upstreamTime += elapsed;
    m_lastDetail = exchange.detail();
    absl::StrAppend(&m_attemptSummary, m_attemptSummary.empty() ? "" : ",", summaryOfAttempt(upstream.id, choice, exchangeResult, exchange.isOnReusedConnection(), elapsed));
    if (isSendCancelled) {
        m_runtime.withCore([&](dispatch_core& core) { core.release(upstream.id); });
        m_progress.markNotStarted(attemptNumber, false);
        m_lastFailure = refusal_reason::NoUpstream;
        exchange.cancel();
        return presentInstant() < m_deadline;
    }
    return endAttempt(upstream, attemptNumber, exchangeResult, exchange, elapsed) || willRetry;
}

bool route_handler::tryReplaceSlowAttempt()
{
    updateHomes();
    const bool hasOtherUpstream = m_runtime.withCore([&](dispatch_core& core) { return core.hasOtherUpstream(m_service, m_triedUpstreams, m_homes, presentInstant()); });
    return hasOtherUpstream && m_runtime.phase() == stop_phase::Running && tryTakeRetry(retry_reason::ResponseTimeout);
}

bool route_handler::endAttempt(const directory_entry& upstream, unsigned attemptNumber, exchange_result exchangeResult, upstream_exchange& exchange, duration elapsed)
{
    if (exchangeResult == exchange_result::ResponseReceived || exchangeResult == exchange_result::NotStarted)
        recordAnnouncement(upstream, exchange);

    switch (exchangeResult) {
    case exchange_result::ResponseReceived:
        return handleResponse(upstream, attemptNumber, exchange);
    case exchange_result::ConnectFailed:
        recordAttempt(upstream, exchangeResult, exchange, elapsed);
        m_progress.markNotStarted(attemptNumber, false);
        m_lastFailure = refusal_reason::ConnectFailed;
        return m_triedUpstreams.size() < maxConnectFailures && presentInstant() < m_deadline;
    case exchange_result::NotStarted:
        recordAttempt(upstream, exchangeResult, exchange, elapsed);
        m_progress.markNotStarted(attemptNumber, true);
        m_lastFailure = refusal_reason::NotStarted;
        exchange.cancel();
        return !m_outgoing.remainingBody && tryTakeRetry(retry_reason::NotStarted);
    case exchange_result::ClientDisconnected:
    case exchange_result::ClientBodyFailed:
        recordAttempt(upstream, exchangeResult, exchange, elapsed);
        abandonAttempt(attemptNumber, exchangeResult, exchange);
        return false;
    case exchange_result::Lost:
    case exchange_result::Timeout:
    case exchange_result::BadResponse:
        break;
    }
    recordAttempt(upstream, exchangeResult, exchange, elapsed);
    m_progress.markLost(attemptNumber);
    exchange.cancel();
    return handleLoss(exchangeResult);
}

void route_handler::abandonAttempt(unsigned attemptNumber, exchange_result exchangeResult, upstream_exchange& exchange)
{
    m_progress.markLost(attemptNumber);
    exchange.cancel();
    m_lastFailure = refusal_reason::BadRequest;
    m_disposition = connection_disposition::Close;
    if (exchangeResult != exchange_result::ClientDisconnected)
        return;
    m_runtime.counters().add(event::ClientsDisconnected);
    m_isCompleted = true;
    logRequest(0, "guest-gone");
}

bool route_handler::handleLoss(exchange_result exchangeResult)
{
    m_lastFailure = exchangeResult == exchange_result::Timeout ? refusal_reason::ResponseTimeout
        : exchangeResult == exchange_result::BadResponse       ? refusal_reason::BadResponse
                                                               : refusal_reason::ResponseLost;
    // attemptOnce() has already decided whether a request that timed out is retried.
    if (m_outgoing.remainingBody || exchangeResult == exchange_result::Timeout)
        return false;
    return tryTakeRetry(retry_reason::ResponseLost);
}

bool route_handler::handleResponse(const directory_entry& upstream, unsigned attemptNumber, upstream_exchange& exchange)
{
    const auto& response = exchange.response();
    const int status = response.getStatus();
    const duration elapsed = exchange.latency();
    if (status == misdirectedStatus) {
        recordAttempt(upstream, exchange_result::NotStarted, exchange, elapsed);
        m_progress.markNotStarted(attemptNumber, true);
        m_lastFailure = refusal_reason::NotStarted;
        exchange.cancel();
        return !m_outgoing.remainingBody && tryTakeRetry(retry_reason::NotStarted);
    }
    body_reader body(exchange.stream(), exchange.framing(), &m_client);
    std::string bufferedBody;
    bool isInvalid = isSuccess(status) && !response.has(m_runtime.wire().signature);
    const instant answerDeadline = std::max(m_deadline, presentInstant()) + lateResponseAllowance;
    // What an earlier attempt held is free again.
    m_memory.set(memory_budget::bytesPerRequest + m_outgoing.bodyPrefix.size());
    const std::size_t maxBodyBytes = m_runtime.memory().bodyLimit(maxBufferedResponseBytes);
    const absl::Status buffered = isInvalid ? absl::OkStatus() : bufferBody(body, maxBodyBytes, answerDeadline, bufferedBody);
    m_memory.add(bufferedBody.size());
    if (absl::IsCancelled(buffered)) {
        recordAttempt(upstream, exchange_result::ClientDisconnected, exchange, presentInstant() - exchange.sentAt());
        abandonAttempt(attemptNumber, exchange_result::ClientDisconnected, exchange);
        return false;
    }
    isInvalid = isInvalid || !buffered.ok();
    const exchange_result exchangeResult = isInvalid ? exchange_result::BadResponse : exchange_result::ResponseReceived;
    recordAttempt(upstream, exchangeResult, exchange, elapsed);
    if (isInvalid) {
        m_lastDetail = "the answer is not whole or not signed";
        m_progress.markLost(attemptNumber);
        exchange.cancel();
        return handleLoss(exchange_result::BadResponse);
    }
    // The upstream did not say that it has not started the request, so its status must not say so either.
    if (promisesNotRun(status) && !m_route->isIdempotent) {
        m_lastDetail = absl::StrCat("the upstream answered with status ", status, " and may have run the request");
        m_progress.markLost(attemptNumber);
        exchange.finish();
        return handleLoss(exchange_result::BadResponse);
    }
    const bool canRepeat = status >= serverErrorStatus && m_route->isIdempotent && !m_outgoing.remainingBody;
    if (canRepeat && tryTakeRetry(retry_reason::ServerError)) {
        m_progress.markLost(attemptNumber);
        exchange.finish();
        m_lastFailure = refusal_reason::BadResponse;
        m_lastDetail = absl::StrCat("the upstream answered with status ", status);
        return true;
    }
    m_progress.markResponded(attemptNumber);
    forwardResponse(exchange, body, std::move(bufferedBody), answerDeadline);
    return false;
}

void route_handler::forwardResponse(upstream_exchange& exchange, body_reader& body, std::string bufferedBody, instant answerDeadline)
{
    const int status = exchange.response().getStatus();
    sendResponseStart(exchange, std::move(bufferedBody), body.isAtEnd());
    absl::Status forwarded;
    if (!body.isAtEnd())
        forwarded = forwardBody(body, m_client, exchange.framing().kind != body_kind::Length, { answerDeadline, m_runtime.settings().bodyTimeout });
    if (!forwarded.ok()) {
        exchange.cancel();
        m_lastDetail = std::string(forwarded.message());
        m_runtime.counters().add(event::ResponsesAborted);
        m_disposition = connection_disposition::Abort;
        logRequest(status, "answer-aborted");
        return;
    }
    m_isServed = m_disposition != connection_disposition::Abort && status < serverErrorStatus;
    if (m_disposition != connection_disposition::Abort)
        m_runtime.counters().add(event::ResponsesForwarded);
    exchange.finish();
    logRequest(status, m_disposition == connection_disposition::Abort ? "guest-gone" : "");
}

void route_handler::sendResponseStart(upstream_exchange& exchange, std::string bufferedBody, bool isComplete)
{
    const bool isChunked = !isComplete && exchange.framing().kind != body_kind::Length;
    if (!m_body.isAtEnd())
        m_disposition = connection_disposition::Close;
    const auto head = forwardedHead(exchange.response(), { isChunked, bufferedBody.size() }, m_disposition == connection_disposition::Keep);
    m_isCompleted = true;
    std::string bytes = writeHead(head);
    absl::StrAppend(&bytes, isChunked ? writeChunk(bufferedBody) : bufferedBody);
    // The client may read slowly, so only one copy of the body is kept meanwhile.
    std::string().swap(bufferedBody);
    if (!m_client.send(bytes, bodyDeadline()).ok())
        m_disposition = connection_disposition::Abort;
}

void route_handler::recordAnnouncement(const directory_entry& upstream, upstream_exchange& exchange)
{
    const parsed_announcement parsed = readAnnouncement(exchange.response(), m_runtime.wire());
    if (parsed.isMalformed)
        m_runtime.counters().add(event::UpstreamPausesRejected);
    if (!parsed.announcement.isLeaving && !parsed.announcement.pause)
        return;
    m_urgency = update_urgency::High;
    m_runtime.recordAnnouncement(upstream, parsed.announcement, m_id);
    if (parsed.announcement.isLeaving)
        exchange.closeWhenFinished();
}

void route_handler::recordAttempt(const directory_entry& upstream, exchange_result exchangeResult, const upstream_exchange& exchange, duration elapsed)
{
    const auto result = attemptResultOf(exchangeResult, exchange, elapsed, m_route->targetLatency);
    if (result != attempt_result::Good)
        m_urgency = update_urgency::High;
    if (m_isTrial && result)
        m_runtime.counters().addTrial(*result);
    m_runtime.withCore([&](dispatch_core& core) {
        if (result)
            core.finishAttempt({ upstream.id, *result, elapsed, m_fingerprint, m_route->name }, presentInstant());
        else
            core.release(upstream.id);
    });
}

bool route_handler::tryTakeRetry(retry_reason why)
{
    std::optional<retry_reason> denied;
    const bool mayHaveRun = why != retry_reason::NotStarted;
    const instant now = presentInstant();
    const auto takeRetry = [&](dispatch_core& core) { return !core.isQuarantined(m_fingerprint, now) && core.takeRetry(m_service); };
    if (mayHaveRun && !m_route->isIdempotent)
        denied = retry_reason::DeniedNotIdempotent;
    else if (now >= m_deadline)
        denied = retry_reason::DeniedByDeadline;
    else if (m_sentAttempts >= m_route->maxAttempts || !m_runtime.withCore(takeRetry))
        denied = retry_reason::DeniedByBudget;
    m_runtime.counters().addRetry(denied.value_or(why));
    return !denied;
}

std::uint64_t route_handler::clientId() const
{
    return stableHash(absl::StrCat(m_client.descriptor()), m_fingerprint);
}

route_handler::step_result route_handler::refuseRequest(refusal_reason reason, const std::string& detail, duration retryAfter)
{
    refuse(reason, detail, retryAfter);
    return step_result::Done;
}

void route_handler::refuse(refusal_reason reason, const std::string& detail, duration retryAfter)
{
    const refusal_row& row = rowOf(reason);
    const bool isNotRun = m_progress.currentOutcome() == outcome::NotRun;
    if (isNotRun && m_hasToken)
        m_runtime.withCore([&](dispatch_core& core) { core.refundToken(m_team); });
    m_runtime.counters().addRefusal(reason, m_team);
    if (m_route)
        m_runtime.counters().addRefusalByPriority(reason, m_priority);
    const int status = refusalStatus(row, isNotRun);
    sendReply(status, row.name, detail, retryAfter);
    logRequest(status, row.name);
}

void route_handler::sendReply(int status, std::string_view reason, const std::string& detail, duration retryAfter)
{
    m_isCompleted = true;
    if (!m_body.isAtEnd() && m_disposition == connection_disposition::Keep)
        m_disposition = connection_disposition::Close;
    const refusal_reply refusal { status, reason, detail, retryAfter, m_runtime.wire().requestId, m_id, m_disposition == connection_disposition::Keep, m_exchange.request.getMethod() != "HEAD" };
    if (!m_client.send(writeRefusal(refusal), bodyDeadline()).ok())
        m_disposition = connection_disposition::Close;
}

void route_handler::logRequest(int status, std::string_view reason) const
{
    const instant now = presentInstant();
    logInfo(absl::StrCat("event=request id=", m_id, " route=", m_route ? m_route->name : "", " team=", m_team, " service=", m_service, " priority=", m_priority, formatAdmission(m_admission), " plan=", m_config ? m_config->version : 0,
        " status=", status, " reason=", std::string(reason), " total_ms=", wholeMilliseconds(now - m_exchange.receivedAt), " left_ms=", wholeMilliseconds(m_deadline - now), " attempts=", m_attemptSummary,
        (status >= serverErrorStatus || m_disposition == connection_disposition::Abort) && !m_lastDetail.empty() ? absl::StrCat(" detail=\"", m_lastDetail, "\"") : ""));
}

} // namespace almondmoor
