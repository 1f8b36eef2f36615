// Passes TCP connections on to another address, and can make the open ones silent for good: nothing passes any more, and
// neither side learns of it. Connections that are opened later work.

#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace almondmoor {

class severable_relay {
public:
    // Both are of the form IP-NUMBER:PORT.
    severable_relay(const std::string& address, const std::string& target);
    ~severable_relay();

    severable_relay(const severable_relay&) = delete;
    severable_relay& operator=(const severable_relay&) = delete;

    // Makes the connections that are open now silent.
    void sever() { m_isSeverDue = true; }

    // Returns the number of connections that were accepted.
    std::size_t acceptedCount() const { return m_accepted; }
    std::size_t silentCount() const { return m_silent; }

private:
    struct connection {
        Poco::Net::StreamSocket caller;
        Poco::Net::StreamSocket target;
        bool isSilent = false;
        bool isEnded = false;
    };

    void run();
    void accept();
    void severOpenConnections();
    // Passes on what one side has sent. Ends the connection if it sent nothing or has closed.
    static void pass(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to, connection&);

    std::string m_target;
    Poco::Net::ServerSocket m_listener;
    // Only m_thread uses them.
    std::vector<connection> m_connections;
    std::atomic<bool> m_isSeverDue { false };
    std::atomic<bool> m_isStopping { false };
    std::atomic<std::size_t> m_accepted { 0 };
    std::atomic<std::size_t> m_silent { 0 };
    std::thread m_thread;
};

} // namespace almondmoor
