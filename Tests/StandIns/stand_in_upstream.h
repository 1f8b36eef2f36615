// A stand-in for an upstream in tests: it records the requests that it runs and can inject faults.

#pragma once

#include "http_listener.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace almondmoor {

// How the upstream handles a request. The query of a request's target may override some of it for that request, e.g.
// /orders?delay-ms=50.
struct upstream_behaviour {
    duration delay {};
    // HTTP status of the response.
    int status = 200;
    // Size of the response body in bytes.
    std::uint64_t bodyBytes = 2;
    bool isChunked = false;
    bool isEndless = false;
    // Ends the connection before reading the request body, after running the request, or in the middle of the response
    // body.
    bool crashesBeforeRun = false;
    bool crashesAfterRun = false;
    bool truncatesResponse = false;
    // Both respond with status 503 without running the request: the first with notStartedHeaderLine, the second with
    // Retry-After.
    bool refusesToStart = false;
    bool shedsLoad = false;
    // Responds before it has read the request's body, then reads nothing and keeps the connection open.
    bool respondsBeforeBody = false;
    // If not empty, sent instead of a response before the connection is closed.
    std::string rawResponse;
    // Resets the connection after the raw response instead of closing it.
    bool resetsAfterRawResponse = false;
    // Header lines that are added to each response, e.g. a signature. Each must end in CR LF.
    std::string extraHeaders;
    // Name of a request header that is copied to the response, or empty.
    std::string echoedHeader;
    // Sent on the connection immediately before the response.
    std::string bytesBeforeResponse;
    // If the query of the request says endless=yes, the first text is sent instead of a response, and then the second
    // one over and over until the caller closes the connection. Without a second text nothing more is sent.
    std::string endlessStart;
    std::string endlessPiece;
    // Header line of responses that refuse to start a request.
    std::string notStartedHeaderLine = "Request-Not-Started: yes";
};

// One request that the upstream has run.
struct run_record {
    std::string method;
    std::string target;
    std::string idempotencyKey;
    std::string team;
    // The whole head and the body, so that tests can check that something is absent.
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

    // While the upstream is held, it receives requests but runs none; they wait.
    void hold(bool isHeld);

    // Ends all responses that have no end, and the connections of requests whose body is not read.
    void stopEndless();

    // Returns how many bytes of responses without an end were sent.
    std::uint64_t endlessBytes() const { return m_endlessBytes; }

    // Waits until the total number of received requests reaches a count. Returns false on timeout.
    bool waitForReceived(std::size_t count, duration timeout);

    std::vector<run_record> runs() const;
    std::size_t receivedCount() const;
    std::size_t connectionCount() const { return m_listener->connectionCount(); }

private:
    connection_disposition serve(http_exchange&);
    connection_disposition sendResponse(http_exchange&, const upstream_behaviour&);
    void sendWithoutEnd(http_exchange&, const upstream_behaviour&);
    bool isEndlessStopped() const;
    void waitUntilEndlessStopped();
    upstream_behaviour behaviourFor(const std::string& target) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    upstream_behaviour m_behaviour;
    bool m_isHeld = false;
    std::size_t m_received = 0;
    bool m_isEndlessStopped = false;
    std::atomic<std::uint64_t> m_endlessBytes { 0 };
    std::vector<run_record> m_runs;
    std::unique_ptr<http_listener> m_listener;
};

} // namespace almondmoor
