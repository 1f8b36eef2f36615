// Serves one request of a client, from the head of the request to the end of the response, for the command 'serve'. For
// the command 'proxy', route_handler does this.

#pragma once

#include "Core/request_progress.h"
#include "host_runtime.h"
#include "http_body.h"
#include "http_listener.h"
#include "upstream_exchange.h"

#include <set>
#include <string>

namespace almondmoor {

inline constexpr const char* outcomeHeader = "Almondmoor-Outcome";
inline constexpr const char* reasonHeader = "Almondmoor-Reason";
inline constexpr const char* requestIdHeader = "Almondmoor-Request";
inline constexpr const char* teamHeader = "Almondmoor-Team";
inline constexpr const char* deadlineHeader = "Almondmoor-Deadline-Ms";
inline constexpr const char* idempotencyKeyHeader = "Idempotency-Key";

// Serves a single request: checks the key, admits the request within the team's rate, and forwards it to upstreams.
class client_handler {
public:
    client_handler(host_runtime&, http_exchange&);

    connection_disposition serve();

private:
    // Whether a step lets the request proceed.
    enum class step {
        Continue,
        // The request needs no further step: the client has received a response or has disconnected.
        Done
    };

    step readDeadline();
    step authorize();
    step admit();
    step readBodyStart();
    step claim();
    step takeSlot();
    void runAttempts();

    // Returns the reason why the request must not be sent to the upstream now, or nothing if it may be sent. Checks the
    // key, the age of the configuration, the deadline and the upstream.
    std::optional<refusal_reason> dispatchRefusal(const std::string& upstream);

    // Runs one attempt. Returns whether another attempt should follow.
    bool runAttempt(const std::string& upstream);
    void recordAttemptResult(const std::string& upstream, exchange_result, const upstream_exchange&);
    // Requests a retry from the retry budget and counts the decision in the metrics. After the last permitted attempt,
    // returns false without counting it.
    bool acquireRetry(retry_reason retryReason);
    void forwardResponse(const std::string& upstream, upstream_exchange&);
    bool forwardRemainingBody(const std::string& upstream, upstream_exchange&, bool isChunked);
    bool bufferBody(upstream_exchange&, std::string& bufferedBody);

    void refuse(refusal_reason, const std::string& detail);
    void sendReply(int status, const std::string& reason, const std::string& detail, outcome);
    void prepareOutgoingRequest();
    void recordRequest(const std::string& reportedOutcome, const std::string& reason);
    duration attemptTimeout(instant now);
    instant nextPieceDeadline() const { return presentInstant() + m_runtime.settings().bodyTimeout; }

    host_runtime& m_runtime;
    http_exchange& m_exchange;
    byte_stream& m_client;
    std::string m_requestId;
    std::shared_ptr<const configuration> m_configuration;
    const route* m_route = nullptr;
    std::string m_secretHash;
    std::string m_secret;
    // Empty if the route is open to all clients.
    std::string m_team;
    instant m_deadline;
    bool m_hasToken = false;
    bool m_hasSlot = false;
    instant m_slotTakenAt;
    std::string m_claimIdentity;
    body_reader m_requestBody;
    secret_scanner m_scanner;
    outgoing_request m_outgoing;
    std::uint64_t m_fingerprint = 0;
    request_progress m_progress { false };
    std::string m_firstUpstream;
    std::set<std::string> m_triedUpstreams;
    // Reason for the failure of the latest attempt, which the response to the client reports.
    refusal_reason m_lastFailure = refusal_reason::NoUpstream;
    std::string m_lastFailureDetail;
    duration m_upstreamTime {};
    connection_disposition m_disposition = connection_disposition::Keep;
    bool m_hasResponded = false;
};

} // namespace almondmoor
