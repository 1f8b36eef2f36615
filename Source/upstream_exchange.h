// One attempt of a request at one upstream: send, wait, read the answer's head.

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

enum class exchange_end {
    // The head of an answer is here; its body can be read.
    Answered,
    // No connection could be made; nothing was sent.
    ConnectFailed,
    // The upstream said, by the agreed header, that it did not start.
    NotStarted,
    // The connection was lost after something may have been sent.
    Lost,
    Timeout,
    // The answer is not proper HTTP, or could not be told from a cut one.
    BadAnswer,
    GuestGone,
    // The guest's body was faulty, too slow or held the key.
    GuestBodyFailed
};

inline constexpr name_table<exchange_end, 8> exchangeEndNames { {
    { exchange_end::Answered, "answered" },
    { exchange_end::ConnectFailed, "connect-failed" },
    { exchange_end::NotStarted, "not-started" },
    { exchange_end::Lost, "lost" },
    { exchange_end::Timeout, "timeout" },
    { exchange_end::BadAnswer, "bad-answer" },
    { exchange_end::GuestGone, "guest-gone" },
    { exchange_end::GuestBodyFailed, "guest-body-failed" },
} };

// A request as it goes to upstreams: cleaned of keys and connection headers.
struct outgoing_request {
    Poco::Net::HTTPRequest head;
    // The body's beginning, or all of it.
    std::string bodyStart;
    // Reads the rest of the body from the guest; null if there is none.
    body_reader* bodyRest = nullptr;
    secret_scanner* scanner = nullptr;
    // Longest time for which a connection may have been idle before it is used;
    // zero asks for a new one.
    duration longestIdle {};
    // Time for a new connection; zero leaves it to the pool.
    duration connectTimeout {};
};

// The header with which an upstream says that it has not begun to run a request.
inline constexpr const char* notStartedHeader = "Request-Not-Started";

// How answers of upstreams are read.
struct answer_rules {
    // Header of answers to requests that the upstream has not begun to run.
    std::string notStarted = notStartedHeader;
    // Header in which answers repeat the id of their request, or empty. An answer
    // with another id belongs to an earlier request and is dropped.
    std::string idHeader;
    std::string id;
    // Whether an answer may end with its connection.
    bool mayEndWithConnection = false;
};

class upstream_exchange {
public:
    // The function is called right before the first byte is sent; if it returns
    // false nothing is sent and the exchange ends as NotStarted.
    upstream_exchange(upstream_pool& pool, std::string upstream, std::function<bool()> beforeSend, answer_rules rules = {})
        : m_pool(pool)
        , m_upstream(std::move(upstream))
        , m_rules(std::move(rules))
        , m_beforeSend(std::move(beforeSend))
    {
    }

    // Sends the request and waits for the head of the answer. The guest's
    // stream is watched so that a guest who leaves cancels the work.
    exchange_end run(const outgoing_request&, byte_stream& guest, instant deadline, duration bodyTimeout);

    // Returns whether run() ended as Timeout while the answer was awaited, so that
    // it may be awaited further.
    bool mayWaitOn() const { return m_mayWaitOn; }

    // Waits on for the head of the answer.
    exchange_end waitOn(const std::string& method, byte_stream& guest, instant deadline) { return receiveHead(method, guest, deadline); }

    const Poco::Net::HTTPResponse& response() const { return m_response; }
    body_framing framing() const { return m_framing; }
    byte_stream& stream() { return *m_stream; }

    // Returns whether the connection had carried other exchanges before.
    bool isOnKeptConnection() const { return m_isKept; }

    // Time from the first byte sent to the answer's head.
    duration latency() const { return m_latency; }
    const std::string& detail() const { return m_detail; }

    // Ends a clean exchange: the connection may be used again.
    void finish();

    // Ends any other exchange: the connection is closed at once, which tells
    // the upstream to stop.
    void cancel();

private:
    exchange_end send(const outgoing_request&, instant deadline, duration bodyTimeout);
    exchange_end sendRest(const outgoing_request&, instant deadline, duration bodyTimeout);
    exchange_end receiveHead(const std::string& method, byte_stream& guest, instant deadline);
    // Reads one head that is no interim one.
    exchange_end receiveOneHead(const std::string& method, byte_stream& guest, instant deadline);
    bool isForAnotherRequest() const;
    bool skipBody(instant deadline);
    exchange_end endOf(const absl::Status&);

    upstream_pool& m_pool;
    std::string m_upstream;
    answer_rules m_rules;
    std::function<bool()> m_beforeSend;
    std::unique_ptr<byte_stream> m_stream;
    Poco::Net::HTTPResponse m_response;
    body_framing m_framing;
    duration m_latency {};
    instant m_sentAt;
    std::string m_detail;
    bool m_isBodySent = false;
    bool m_isKept = false;
    bool m_mayWaitOn = false;
};

} // namespace almondmoor
