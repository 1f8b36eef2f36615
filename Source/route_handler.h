// Serves one guest's request by the routes of a serving plan, from its head to
// the end of its answer.

#pragma once

#include "Core/request_progress.h"
#include "http_body.h"
#include "http_listener.h"
#include "key_guard.h"
#include "proxy_runtime.h"
#include "upstream_exchange.h"

#include <optional>
#include <set>
#include <string>

namespace almondmoor {

// One object serves one request.
class route_handler {
public:
    route_handler(proxy_runtime&, http_exchange&);

    connection_disposition serve();

private:
    // What is left to do with a request after a step.
    enum class step {
        Go,
        // The guest has its reply, or has gone.
        Done
    };

    step waitForPlan();
    step readBodyStart();
    step findRoute();
    step readDeadline();
    step authorize();
    step admit();
    step checkQuarantine();
    void attemptUntilDone();

    // Makes one attempt. Returns true if another one should be made.
    bool attemptOnce(const directory_entry&, const choice_result&);
    bool handleAnswer(const directory_entry&, unsigned number, upstream_exchange&);
    bool handleLoss(exchange_end);
    std::optional<attempt_result> resultOf(exchange_end, const upstream_exchange&, duration waited) const;
    void noteAttempt(const directory_entry&, exchange_end, const upstream_exchange&, duration waited);
    bool mayRetry(retry_reason why);
    // Returns whether the request may be sent once more if the next attempt fails.
    bool mayTryAfterNext() const;
    duration attemptTime(instant now);
    void prepareOutgoing();

    // Passes an answer that is here whole, or whose body is too long to gather.
    void passAnswer(upstream_exchange&, const std::string& gathered, bool isWhole);
    bool passRest(body_reader&, bool isChunked);

    void refuse(refusal_reason, const std::string& detail, duration retryAfter = defaultRetryAfter);
    void sendReply(int status, std::string_view reason, const std::string& detail, duration retryAfter);
    void logRequest(int status, std::string_view reason) const;
    instant bodyDeadline() const { return presentInstant() + m_runtime.settings().bodyTimeout; }

    static constexpr duration defaultRetryAfter = std::chrono::milliseconds(200);

    proxy_runtime& m_runtime;
    http_exchange& m_exchange;
    byte_stream& m_guest;
    std::string m_id;
    std::shared_ptr<const serving_config> m_plan;
    const route_config* m_route = nullptr;
    std::string m_service;
    std::string m_secret;
    // Empty on routes open to all.
    std::string m_team;
    bool m_hasToken = false;
    // When the guest or the route's timeout ends the request.
    instant m_limit;
    body_reader m_body;
    secret_scanner m_scanner;
    outgoing_request m_outgoing;
    std::uint64_t m_fingerprint = 0;
    request_progress m_progress { false };
    std::set<std::string> m_tried;
    // Attempts at which something was sent.
    unsigned m_sends = 0;
    // Reason for which the latest attempt failed, for the reply.
    refusal_reason m_lastFailure = refusal_reason::NoUpstream;
    std::string m_lastDetail;
    duration m_roomIn = defaultRetryAfter;
    // What became of each attempt, for the log.
    std::string m_story;
    duration m_upstreamTime {};
    // How soon neighbours should hear of this request.
    update_urgency m_urgency = update_urgency::Low;
    connection_disposition m_fate = connection_disposition::Keep;
    bool m_isAnswered = false;
};

} // namespace almondmoor
