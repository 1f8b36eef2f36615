// Serves one client request by the routes of the serving configuration, for the command 'proxy': checks and admits the
// request, forwards it to upstreams with retries, and sends the response or a refusal.

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

    // Serves the request and returns what to do with the client's connection.
    connection_disposition serve();

private:
    // Whether processing continues after a step.
    enum class step_result {
        Continue,
        // The client has been sent a reply or has disconnected.
        Done
    };

    step_result waitForConfig();
    step_result readBodyPrefix();
    step_result findRoute();
    step_result readDeadline();
    step_result authorize();
    step_result admit();
    step_result checkQuarantine();
    step_result checkMemory();
    void attemptUntilDone();

    // Makes one attempt. This function, endAttempt() and the two handlers return whether another attempt should be made.
    bool attemptOnce(const directory_entry&, const choice_result&);
    bool endAttempt(const directory_entry&, unsigned attemptNumber, exchange_result, upstream_exchange&, duration elapsed);
    bool handleResponse(const directory_entry&, unsigned attemptNumber, upstream_exchange&);
    bool handleLoss(exchange_result);
    // Decides whether the request is sent to another upstream instead of waiting longer for the present one. If so, takes a
    // retry from the budget.
    bool tryReplaceSlowAttempt();
    // Records what the upstream announced about itself in the head of its response.
    void recordAnnouncement(const directory_entry&, upstream_exchange&);
    // Counts a trial, or why a due trial was not made.
    void countTrial(const choice_result&);
    // Records the end of a request for its service.
    void recordOutcome();
    void recordAttempt(const directory_entry&, exchange_result, const upstream_exchange&, duration elapsed);
    // Takes a retry from the budget if a retry is allowed now. Counts the retry, or why it was denied, in the metrics.
    bool tryTakeRetry(retry_reason why);
    // Returns whether the request may be sent again if the next attempt fails.
    bool canRetryNextAttempt() const;
    // Returns how long the next attempt may take.
    duration attemptTimeout(instant now);
    void prepareOutgoingRequest();
    // Lets the regions of the current configuration bind the request as well as those that it began with. The result is
    // kept in m_homes.
    void updateHomes();

    // Passes a response on to the client, its body until the deadline, and logs the request.
    void forwardResponse(upstream_exchange&, body_reader&, std::string bufferedBody, instant answerDeadline);
    // Sends the response's head and the buffered part of its body to the client. The body is complete unless it is too
    // large to buffer; the rest must then follow until the request's deadline.
    void sendResponseStart(upstream_exchange&, std::string bufferedBody, bool isComplete);
    // Ends an attempt that failed because the client disconnected or sent an invalid body.
    void abandonAttempt(unsigned attemptNumber, exchange_result, upstream_exchange&);

    // Replies with a refusal, returns an unused token to the team and logs the request.
    void refuse(refusal_reason, const std::string& detail, duration retryAfter = defaultRetryAfter);
    // The same as the result of a step.
    step_result refuseRequest(refusal_reason, const std::string& detail, duration retryAfter = defaultRetryAfter);
    void sendReply(int status, std::string_view reason, const std::string& detail, duration retryAfter);
    void logRequest(int status, std::string_view reason) const;
    // Returns a hash of the client's connection and the request. A client that repeats the request there has the same.
    std::uint64_t clientId() const;
    instant bodyDeadline() const { return presentInstant() + m_runtime.settings().bodyTimeout; }

    static constexpr duration defaultRetryAfter = std::chrono::milliseconds(200);

    proxy_runtime& m_runtime;
    http_exchange& m_exchange;
    byte_stream& m_client;
    std::string m_id;
    std::shared_ptr<const serving_config> m_config;
    const route_config* m_route = nullptr;
    std::string m_service;
    std::string m_secret;
    // Empty if the request carries no known key.
    std::string m_team;
    // Rank among requests that compete for capacity; 0 goes first.
    unsigned m_priority = 0;
    // What decided about the room for the latest attempt.
    admission_verdict m_admission;
    // Regions in which the request may be served.
    region_limit m_homes;
    // The configuration by which m_homes was last set.
    std::shared_ptr<const serving_config> m_homesConfig;
    // Memory that is held for this request.
    held_memory m_memory;
    // Whether a token was taken from the team's quota for this request.
    bool m_hasToken = false;
    // The earlier of the client's deadline and the end of the route's timeout.
    instant m_deadline;
    body_reader m_body;
    secret_scanner m_scanner;
    outgoing_request m_outgoing;
    std::uint64_t m_fingerprint = 0;
    request_progress m_progress { false };
    std::set<std::string> m_triedUpstreams;
    // Number of attempts in which bytes may have been sent.
    unsigned m_sentAttempts = 0;
    // Reason why the latest attempt failed, for the reply.
    refusal_reason m_lastFailure = refusal_reason::NoUpstream;
    std::string m_lastDetail;
    duration m_timeUntilCapacity = defaultRetryAfter;
    // Upstream, result and duration of each attempt, for the log.
    std::string m_attemptSummary;
    // Total duration of all attempts.
    duration m_upstreamTime {};
    // How soon neighbours should receive a report that includes this request.
    update_urgency m_urgency = update_urgency::Low;
    connection_disposition m_disposition = connection_disposition::Keep;
    // Whether a reply has been started or the client has disconnected.
    bool m_isCompleted = false;
    // Whether the present attempt is a trial, and whether any attempt was one.
    bool m_isTrial = false;
    bool m_hasMadeTrial = false;
    // Whether the client got a complete response that reports no error of the upstream.
    bool m_isServed = false;
};

} // namespace almondmoor
