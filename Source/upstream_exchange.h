// One attempt at a request with one upstream: sends the request, waits for the response and reads its head.

#pragma once

#include "Core/name_table.h"
#include "http_body.h"
#include "http_head.h"
#include "key_guard.h"
#include "upstream_pool.h"

#include <functional>
#include <memory>
#include <string>

namespace almondmoor {

enum class exchange_result {
    // The head of a response was read; the body can be read next.
    ResponseReceived,
    // No connection could be opened; nothing was sent.
    ConnectFailed,
    // The response has the header by which upstreams report that they have not started the request, or beforeSend()
    // returned false and nothing was sent.
    NotStarted,
    // The connection was lost after bytes may have been sent.
    Lost,
    Timeout,
    // The response is not valid HTTP, belongs to another request, or could not be distinguished from a truncated one.
    BadResponse,
    ClientDisconnected,
    // The client's body was malformed, arrived too slowly or contained the client's key.
    ClientBodyFailed
};

inline constexpr name_table<exchange_result, 8> exchangeResultNames { {
    { exchange_result::ResponseReceived, "answered" },
    { exchange_result::ConnectFailed, "connect-failed" },
    { exchange_result::NotStarted, "not-started" },
    { exchange_result::Lost, "lost" },
    { exchange_result::Timeout, "timeout" },
    { exchange_result::BadResponse, "bad-answer" },
    { exchange_result::ClientDisconnected, "guest-gone" },
    { exchange_result::ClientBodyFailed, "guest-body-failed" },
} };

// A request in the form that is sent to upstreams, without the client's key and without connection headers.
struct outgoing_request {
    Poco::Net::HTTPRequest head;
    // The beginning of the body, or the whole body.
    std::string bodyPrefix;
    // Reads the rest of the body from the client; null if bodyPrefix is the whole body.
    body_reader* remainingBody = nullptr;
    // Searches the rest of the body for the client's key. Not null if remainingBody is set.
    secret_scanner* scanner = nullptr;
    // Maximum time for which a reused connection may have been idle; zero always opens a new connection.
    duration maxIdleTime {};
    // Timeout for opening a new connection; zero sets none. The pool's own timeout applies in both cases.
    duration connectTimeout {};
};

// Header by which an upstream reports that it has not started a request.
inline constexpr const char* notStartedHeader = "Request-Not-Started";

// How responses of upstreams are interpreted.
struct response_rules {
    // Name of the header by which an upstream reports that it has not started the request.
    std::string notStarted = notStartedHeader;
    // Name of the header in which responses repeat the id of their request, or empty if they don't. A response with
    // another id belongs to an earlier request and is discarded. A response without an id is accepted only on a
    // connection that carried no earlier request.
    std::string idHeader;
    std::string id;
    // Whether the end of the connection may mark the end of a response body.
    bool acceptsBodyUntilClose = false;
};

class upstream_exchange {
public:
    // beforeSend is called right before the first byte is sent. If it returns false, nothing is sent and run()
    // returns NotStarted.
    upstream_exchange(upstream_pool& pool, std::string upstream, std::function<bool()> beforeSend, response_rules rules = {})
        : m_pool(pool)
        , m_upstream(std::move(upstream))
        , m_rules(std::move(rules))
        , m_beforeSend(std::move(beforeSend))
    {
    }

    // Sends the request and waits for the head of the response, both until the deadline. Returns ClientDisconnected as
    // soon as the client closes its connection during a wait. Each piece of the client's body must arrive within
    // bodyTimeout.
    exchange_result run(const outgoing_request&, byte_stream& client, instant deadline, duration bodyTimeout);

    // Returns whether the last wait for the head of the response timed out, so that continueWaiting() may be called.
    bool canContinueWaiting() const { return m_canContinueWaiting; }

    // Waits for the head of the response until a later deadline.
    exchange_result continueWaiting(const std::string& method, byte_stream& client, instant deadline) { return receiveHead(method, client, deadline); }

    const Poco::Net::HTTPResponse& response() const { return m_response; }
    body_framing framing() const { return m_framing; }
    byte_stream& stream() { return *m_stream; }

    // Returns whether the connection had carried other exchanges before this one.
    bool isOnReusedConnection() const { return m_isReused; }

    // Returns when the first byte was sent.
    instant sentAt() const { return m_sentAt; }

    // Returns the time from the first byte sent to the head of the response.
    duration latency() const { return m_latency; }

    // Returns the message of the error that ended the exchange.
    const std::string& detail() const { return m_detail; }

    // Makes finish() close the connection instead of keeping it for reuse.
    void closeWhenFinished() { m_mustClose = true; }

    // Ends a complete exchange and returns the connection to the pool if it can be reused.
    void finish();

    // Ends any other exchange: closes the connection at once, so that the upstream stops processing the request.
    void cancel();

private:
    // These functions return ResponseReceived if they succeed. After the first two, the head of the response can be
    // read next; after receiveHead(), its body.
    exchange_result send(const outgoing_request&, byte_stream& client, instant deadline, duration bodyTimeout);
    exchange_result sendRemainingBody(const outgoing_request&, byte_stream& client, instant deadline, duration bodyTimeout);
    exchange_result receiveHead(const std::string& method, byte_stream& client, instant deadline);
    // Reads heads up to the first one that is not an interim response (status 1xx).
    exchange_result receiveFinalHead(const std::string& method, byte_stream& client, instant deadline);
    bool isForAnotherRequest() const;
    // Returns whether the response could belong to an earlier request on the connection, since it has no id.
    bool hasUnknownRequest() const;
    bool discardBody(instant deadline);
    exchange_result resultFromStatus(const absl::Status&);

    upstream_pool& m_pool;
    std::string m_upstream;
    response_rules m_rules;
    std::function<bool()> m_beforeSend;
    std::unique_ptr<byte_stream> m_stream;
    Poco::Net::HTTPResponse m_response;
    body_framing m_framing;
    duration m_latency {};
    instant m_sentAt;
    std::string m_detail;
    bool m_isBodySent = false;
    bool m_isReused = false;
    bool m_mustClose = false;
    bool m_canContinueWaiting = false;
};

} // namespace almondmoor
