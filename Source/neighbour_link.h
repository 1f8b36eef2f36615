// Exchanges reports with the hosts of the same data centre over UDP.
//
// A report goes out after each step of a request, and from time to time without
// one. A lost datagram is made good by the next. Of upstreams that begin to fail
// and requests that crash upstreams, one host of each other data centre is told,
// which tells its neighbours.

#pragma once

#include "proxy_runtime.h"

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace almondmoor {

class neighbour_link {
public:
    explicit neighbour_link(proxy_runtime&);
    ~neighbour_link();

    neighbour_link(const neighbour_link&) = delete;
    neighbour_link& operator=(const neighbour_link&) = delete;

    // Begins to send and receive. Throws Poco::Exception if the address cannot be
    // had.
    void start();
    void stop();

    // Follows the roster. Hosts that were heard but do not stand in it stay.
    void adoptRoster(const host_roster&);

    // Sends a report at once if the change is urgent and none went out a moment
    // ago, and otherwise soon.
    void announce(bool isUrgent);

private:
    void run();
    void receive();
    void take(const std::string& bytes);
    // Sends a report to the neighbours and, if there is one, a notice to a host of
    // each other data centre.
    void send();
    void sendNotice(const dispatch_core::notice&);
    neighbour_report signedReport();
    void sendTo(const roster_entry&, const std::string& bytes);

    proxy_runtime& m_runtime;
    Poco::Net::DatagramSocket m_socket;
    std::mutex m_mutex;
    host_roster m_hosts;
    std::uint64_t m_sequence = 0;
    std::mt19937_64 m_random;
    std::atomic<instant> m_sentAt { longAgo };
    std::atomic<bool> m_hasNews { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace almondmoor
