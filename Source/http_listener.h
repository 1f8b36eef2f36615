// Accepts connections and passes each complete request head to a handler.
//
// One thread polls all connections that are idle or have sent only a part of a head. The handler owns a connection from
// the time its request head is complete until the response is sent. It runs in a fiber on the same thread, so the number
// of running requests is bounded by the connections and not by threads; or, if workers are set, on a pool of threads,
// for handlers that block.

#pragma once

#include "byte_stream.h"
#include "fiber_loop.h"
#include "http_head.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace almondmoor {

struct listener_settings {
    std::string address;
    // Number of threads that run handlers; with 0 they run in fibers.
    unsigned workerCount = 0;
    unsigned maxConnections = 1;
    duration headTimeout {};
    duration idleTimeout {};
    // Maximum delay until the polling thread notices an expired timeout or the end of accepting.
    duration pollInterval = std::chrono::milliseconds(100);
};

// A request whose head has been parsed and is unambiguous, and the connection that it arrived on.
struct http_exchange {
    byte_stream& stream;
    Poco::Net::HTTPRequest request;
    body_framing framing;
    instant receivedAt;
};

// What the listener does with a connection after an exchange.
enum class connection_disposition {
    Keep,
    Close,
    // Close the connection so that the other side sees an error instead of an orderly end.
    Abort
};

// Callbacks by which the owner counts what the listener did. All must be set.
struct listener_callbacks {
    std::function<void()> connectionAccepted;
    std::function<void()> connectionRefused;
    std::function<void(bool isTooLarge)> headRejected;
    // The handler threw an exception; the connection is aborted.
    std::function<void(const std::string& detail)> exchangeFailed = [](const std::string&) {};
};

class http_listener {
public:
    using handler = std::function<connection_disposition(http_exchange&)>;

    http_listener(listener_settings, handler, listener_callbacks);
    ~http_listener();

    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    // Starts to accept connections. Throws Poco::Exception if the address cannot be bound.
    void start();

    // Changes the limits on requests. Open connections follow the new limits too.
    void setLimits(std::size_t maxHeadBytes, duration headTimeout, duration idleTimeout);

    // Soon closes the connections that are idle after an exchange, and closes every other connection after its current
    // or next exchange. New connections are still accepted and serve one exchange each.
    void beginClosing();

    // Stops accepting, and soon closes the port and idle connections. Running exchanges continue.
    void stopAccepting();

    // Returns how many connections are open.
    std::size_t connectionCount() const { return m_openCount; }

    // Returns how many exchanges are running.
    std::size_t runningCount() const { return m_runningCount; }

    // Stops accepting, waits for running exchanges and ends all threads.
    void stop();

private:
    struct connection {
        explicit connection(const Poco::Net::StreamSocket& socket)
            : stream(socket)
        {
        }
        byte_stream stream;
        instant waitingSince = distantPast;
        // Whether the connection has served an exchange. If not, its client is probably about to send a request, so
        // beginClosing() does not close the connection.
        bool hasServedExchange = false;
        // Whether the connection only waits for its client to close it; see closeAfterResponse().
        bool isLingering = false;
    };

    // Closes expired connections and follows the phases of a stop. Calls itself again at intervals.
    void tick();
    // Closes idle connections and the port as the phases of a stop ask for.
    void followStop();
    void accept();
    void onReadable(const std::shared_ptr<connection>&);
    // Starts an exchange if the connection's head is complete or invalid. Returns false if more bytes are needed.
    bool dispatchIfComplete(const std::shared_ptr<connection>&);
    // Runs a function in a fiber or on a worker.
    void execute(std::function<void()>);
    void runExchange(const std::shared_ptr<connection>&, const std::string& head);
    void refuseHead(connection&, bool isTooLarge, const std::string& detail);
    // Ends an exchange, on any thread; the connection goes on as the disposition says.
    void finishExchange(const std::shared_ptr<connection>&, connection_disposition);
    void watch(const std::shared_ptr<connection>&);
    void unwatch(const connection&);
    void closeConnection(const std::shared_ptr<connection>&);
    // Ends the sending side and discards what arrives until the client closes its side, at most for a short time. If
    // the connection were closed while requests that the client sent ahead are unread, the reset would destroy the
    // last response on its way.
    void closeAfterResponse(const std::shared_ptr<connection>&);
    // Calls the handler. An exception ends only this exchange.
    connection_disposition handle(http_exchange&);
    void closeExpired();
    duration timeoutOf(const connection&) const;
    // Closes idle connections. If keepsUnused is set, closes only those that have served an exchange and on which
    // nothing has arrived since; all others serve their request first.
    void closeIdleConnections(bool keepsUnused);
    // Closes the port and idle connections if accepting has ended.
    void closePortWhenStopped();

    listener_settings m_settings;
    handler m_handler;
    listener_callbacks m_callbacks;
    Poco::Net::ServerSocket m_socket;
    fiber_loop m_loop;
    std::atomic<std::size_t> m_openCount { 0 };
    std::atomic<std::size_t> m_runningCount { 0 };
    std::atomic<bool> m_isAccepting { false };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<boost::asio::thread_pool> m_workers;
    std::thread m_pollThread;
    std::atomic<std::size_t> m_maxHeadBytes;
    std::atomic<duration> m_headTimeout;
    std::atomic<duration> m_idleTimeout;
    std::atomic<bool> m_isClosing { false };
    // Once the listener has started, only the polling thread uses the members below.
    // Connections that no handler owns, by descriptor.
    std::map<int, std::shared_ptr<connection>> m_watched;
    bool m_isListening = false;
    bool m_hasClosedIdleConnections = false;
};

} // namespace almondmoor
