// Serves one guest's request from its head to the end of its answer.

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
inline constexpr const char* requestHeader = "Almondmoor-Request";
inline constexpr const char* teamHeader = "Almondmoor-Team";
inline constexpr const char* deadlineHeader = "Almondmoor-Deadline-Ms";
inline constexpr const char* idempotencyHeader = "Idempotency-Key";

// One object serves one request.
class guest_handler {
public:
    guest_handler(host_runtime&, http_exchange&);

    connection_fate serve();

private:
    // What is left to do with a request after a step.
    enum class step {
        Go,
        // The guest has its reply, or has gone.
        Done
    };

    step readDeadline();
    step authorize();
    step admit();
    step readBodyStart();
    step claim();
    step takeSlot();
    void attemptUntilDone();

    // Returns whether the key and the configuration allow a dispatch now.
    std::optional<refusal_reason> dispatchRefusal(const std::string& upstream);

    // Runs one attempt. Returns true if another one should be made.
    bool attemptOnce(const std::string& upstream);
    void noteResult(const std::string& upstream, exchange_end, const upstream_exchange&);
    bool mayRetry(retry_reason why);
    void passAnswer(const std::string& upstream, upstream_exchange&);
    bool passBody(const std::string& upstream, upstream_exchange&, bool isChunked);
    bool bufferBody(upstream_exchange&, std::string& body);

    void refuse(refusal_reason, const std::string& detail);
    void sendReply(int status, const std::string& reason, const std::string& body, outcome);
    void prepareOutgoing();
    void record(const std::string& outcome, const std::string& reason);
    duration attemptTimeout(instant now);
    instant bodyDeadline() const { return presentInstant() + m_runtime.settings().bodyTimeout; }

    host_runtime& m_runtime;
    http_exchange& m_exchange;
    byte_stream& m_guest;
    std::string m_id;
    std::shared_ptr<const configuration> m_held;
    const route* m_route = nullptr;
    std::string m_secretHash;
    std::string m_secret;
    // Empty on routes open to all.
    std::string m_team;
    instant m_deadline;
    bool m_hasToken = false;
    bool m_hasSlot = false;
    instant m_slotSince;
    std::string m_claimIdentity;
    body_reader m_body;
    secret_scanner m_scanner;
    outgoing_request m_outgoing;
    std::uint64_t m_fingerprint = 0;
    request_progress m_progress { false };
    std::string m_firstUpstream;
    std::set<std::string> m_tried;
    // Reason for which the latest attempt failed, for the reply.
    refusal_reason m_lastFailure = refusal_reason::NoUpstream;
    std::string m_lastDetail;
    duration m_upstreamTime {};
    connection_fate m_fate = connection_fate::Keep;
    bool m_isAnswered = false;
};

} // namespace almondmoor
