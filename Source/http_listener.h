// Accepts connections and hands each complete request head to a worker.
//
// One thread polls all connections that are idle or still sending a head, so
// that neither costs a worker. A worker has a connection from a complete head
// until the answer is sent.

#pragma once

#include "byte_stream.h"
#include "http_head.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace almondmoor {

struct listener_settings {
    std::string address;
    unsigned workers = 1;
    unsigned connections = 1;
    duration headTimeout {};
    duration idleTimeout {};
    // How late limits and the end of accepting may be noticed.
    duration pollInterval = std::chrono::milliseconds(100);
};

// A request whose head has arrived and is free of ambiguity.
struct http_exchange {
    byte_stream& stream;
    Poco::Net::HTTPRequest request;
    body_framing framing;
    instant receivedAt;
};

// What becomes of a connection after an exchange.
enum class connection_fate {
    Keep,
    Close,
    // Closed so that the other side sees an error.
    Abort
};

// Counts of what the listener did, by the owner's choice.
struct listener_events {
    std::function<void()> accepted;
    std::function<void()> refused;
    std::function<void(bool isTooLarge)> badHead;
};

class http_listener {
public:
    using handler = std::function<connection_fate(http_exchange&)>;

    http_listener(listener_settings, handler, listener_events);
    ~http_listener();

    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    // Begins to accept. Throws Poco::Exception if the address cannot be had.
    void start();

    // Changes the limits for guests; connections that are open follow them too.
    void setLimits(std::size_t largestHeadBytes, duration headTimeout, duration idleTimeout);

    // Closes idle connections soon, and each other one after its exchange. New
    // connections are still served, one exchange each.
    void beginClosing();

    // Stops accepting and soon closes idle connections; running exchanges go on.
    void stopAccepting();

    // Returns how many connections are open.
    std::size_t connectionCount() const { return m_open; }

    // Returns how many exchanges are running.
    std::size_t runningCount() const { return m_running; }

    // Ends everything. Running exchanges are waited for.
    void stop();

private:
    struct connection {
        explicit connection(const Poco::Net::StreamSocket& socket)
            : stream(socket)
        {
        }
        byte_stream stream;
        instant waitingSince = distantPast;
        // Whether it has carried an exchange; one that has not is about to.
        bool hasServed = false;
    };

    void poll();
    void accept();
    void onReadable(const std::shared_ptr<connection>&);
    // Gives the connection to a worker if its head is complete. Returns false
    // if the connection must wait for more.
    bool dispatchIfComplete(const std::shared_ptr<connection>&);
    void runExchange(const std::shared_ptr<connection>&, const std::string& block);
    void refuseHead(connection&, bool isTooLarge, const std::string& detail);
    void park(const std::shared_ptr<connection>&);
    void drop(const std::shared_ptr<connection>&);
    void closeExpired();
    // Closes the connections that have carried an exchange and on which nothing
    // has arrived since. The others, if they are to be kept, get an answer first.
    void dropIdle(bool keepsNew);
    // Closes the port and idle connections once accepting has ended.
    void closeIdle();

    listener_settings m_settings;
    handler m_handler;
    listener_events m_events;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::PollSet m_pollSet;
    std::mutex m_mutex;
    // Connections that no worker has, by socket.
    std::map<Poco::Net::Socket, std::shared_ptr<connection>> m_parked;
    std::atomic<std::size_t> m_open { 0 };
    std::atomic<std::size_t> m_running { 0 };
    std::atomic<bool> m_isAccepting { false };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<boost::asio::thread_pool> m_workers;
    std::thread m_poller;
    std::atomic<std::size_t> m_largestHead;
    std::atomic<duration> m_headTimeout;
    std::atomic<duration> m_idleTimeout;
    std::atomic<bool> m_isClosing { false };
    // Used by the poller only, after the start.
    bool m_isListening = false;
    bool m_hasClosedIdle = false;
    instant m_expiredAt = distantPast;
};

} // namespace almondmoor
