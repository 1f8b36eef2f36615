// Exchanges reports with the hosts of the same data centre over UDP.
//
// A host that reads the store passes its readings on, and says in its reports when
// the store last answered.
//
// A report goes out after each step of a request, and from time to time without
// one. A lost datagram is made good by the next. Of upstreams that begin to fail
// and requests that crash upstreams, one host of each other data centre is told,
// which tells its neighbours.

#pragma once

#include "Core/report_pacing.h"
#include "proxy_runtime.h"

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>

namespace almondmoor {

// What the owner of the readings does with what neighbours say of the store.
struct reading_handlers {
    // Called with each report of a host of the same data centre.
    std::function<void(const std::string& host, const std::optional<store_confirmation>&)> heard;
    std::function<void(const table_reading&)> taken;
    // Returns what to say in reports, or nothing.
    std::function<std::optional<store_confirmation>()> confirmation;
};

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

    // To be called before any reading is passed on.
    void setReadingHandlers(reading_handlers);

    // Passes a reading on to the neighbours, unless it is too large for a datagram.
    void passOn(const table_reading&);

    // Notes that there is something to tell. What is urgent goes out at once, unless
    // a report went out a moment ago.
    void announce(update_urgency);

private:
    void run();
    // Takes in the datagrams that are here, some at a time.
    void receive();
    void take(std::string_view bytes);
    void takeReport(const neighbour_report&, instant now);
    // Follows the hosts that are known. The mutex is held.
    void countNeighbours();
    void sendToNeighbours(const std::string& bytes);
    // Sends a report to the neighbours and, if there is one, a notice to a host of
    // each other data centre.
    void send();
    void sendNotice(const dispatch_core::peer_report&);
    neighbour_report signedReport();
    void sendTo(const roster_entry&, const std::string& bytes);

    proxy_runtime& m_runtime;
    Poco::Net::DatagramSocket m_socket;
    std::mutex m_mutex;
    host_roster m_hosts;
    reading_handlers m_readings;
    std::uint64_t m_sequence = 0;
    std::mt19937_64 m_random;
    std::mutex m_pacingMutex;
    report_pacing m_pacing;
    // Used by the thread only.
    std::string m_received;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace almondmoor
