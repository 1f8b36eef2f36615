// A scripted upstream for tests: it records what it runs and misbehaves on
// order.

#pragma once

#include "http_listener.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace almondmoor {

// How the upstream treats a request. The query of the request's path may order
// one for itself, such as /orders?delay-ms=50.
struct upstream_behaviour {
    duration delay {};
    // Status of the answers.
    int status = 200;
    // Size of the answer's body.
    std::uint64_t bodyBytes = 2;
    bool isChunked = false;
    // Closes the connection before reading the body, after running, or in the
    // middle of the answer.
    bool crashesBeforeRun = false;
    bool crashesAfterRun = false;
    bool cutsAnswer = false;
    // Answers 503 with the header that says it has not started.
    bool refusesToStart = false;
    bool shedsLoad = false;
    // Text sent instead of any answer, when it is not empty.
    std::string rawAnswer;
    // Resets the connection after the raw answer.
    bool resetsAfterRawAnswer = false;
    // Sent with each answer, such as a signature.
    std::string extraHeaders;
    // Name of a header of the request that each answer repeats, or empty.
    std::string echoedHeader;
    // Sent on the connection right before the answer.
    std::string bytesBeforeAnswer;
    // Header line of refusals to start.
    std::string notStartedLine = "Request-Not-Started: yes";
};

// One request that the upstream has run.
struct run_record {
    std::string method;
    std::string target;
    std::string idempotencyKey;
    std::string team;
    // The whole head and the body, to look for what must not be there.
    std::string head;
    std::string body;
};

class stand_in_upstream {
public:
    // Serves on IP-NUMBER:PORT.
    explicit stand_in_upstream(const std::string& address);
    ~stand_in_upstream();

    stand_in_upstream(const stand_in_upstream&) = delete;
    stand_in_upstream& operator=(const stand_in_upstream&) = delete;

    void setBehaviour(const upstream_behaviour&);

    // While held, requests are received and wait; nothing runs.
    void hold(bool isHeld);

    // Waits until a number of requests have been received in all. Returns false
    // if they have not come within the timeout.
    bool waitForReceived(std::size_t count, duration timeout);

    std::vector<run_record> runs() const;
    std::size_t receivedCount() const;

private:
    connection_disposition serve(http_exchange&);
    connection_disposition answer(http_exchange&, const upstream_behaviour&);
    upstream_behaviour behaviourFor(const std::string& target) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    upstream_behaviour m_behaviour;
    bool m_isHeld = false;
    std::size_t m_received = 0;
    std::vector<run_record> m_runs;
    std::unique_ptr<http_listener> m_listener;
};

} // namespace almondmoor
