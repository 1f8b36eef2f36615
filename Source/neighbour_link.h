// Exchanges reports with the hosts of the same data centre over UDP.
//
// Each attempt at a request schedules a report before it starts and after it ends. Without
// requests, a host sends reports as heartbeats. The next report makes up for a lost one. A
// host that reads the store also relays the changes that it read, and its reports state when
// the store last responded.
//
// A host that is responsible for a team in its data centre also exchanges tokens of the
// team's rate with its counterparts in other data centres.
//
// Upstreams that begin to fail and requests that crash upstreams are also reported to one
// host of each other data centre, which forwards the report to its neighbours. Idle upstreams
// are reported in the same way, but only to other data centres of the same region, or to all
// data centres if no host is known in another data centre of the region.

#pragma once

#include "Core/report_pacing.h"
#include "Core/table_request_schedule.h"
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

// Callbacks of the code that follows the store.
struct reading_handlers {
    // Called with each report of a host of the same data centre.
    std::function<void(const std::string& host, const std::optional<store_confirmation>&)> reportReceived;
    // Called with each reading that a neighbour relayed.
    std::function<void(const table_reading&)> readingReceived;
    // Returns the confirmation to send in reports, or nullopt if this host has none.
    std::function<std::optional<store_confirmation>()> confirmation;
    // Returns a whole table for a host that asked for it, or nullopt if it is not known or has not changed after the
    // position that the host knows.
    std::function<std::optional<table_update>(followed_table, const store_position& known)> fullTable;
    // Called at each tick of the link's thread.
    std::function<void(instant now)> tick;
};

class neighbour_link {
public:
    explicit neighbour_link(proxy_runtime&);
    ~neighbour_link();

    neighbour_link(const neighbour_link&) = delete;
    neighbour_link& operator=(const neighbour_link&) = delete;

    // Binds the socket and starts the thread that sends and receives. Throws
    // Poco::Exception if the address is not available.
    void start();
    void stop();

    // Adds and updates the members of the fleet, and sends a report. Hosts that are known
    // only from their reports stay known.
    void applyMembership(const fleet_membership&);

    // Sets the callbacks. Until then, received readings are dropped and reports carry no
    // confirmation.
    void setReadingHandlers(reading_handlers);

    // Sends a reading to the neighbours. Drops a reading that is too large for a datagram.
    void relayReading(const table_reading&);

    // Asks a host for a whole table, which arrives as a reading. Does nothing if the host is not known. The request or
    // the response may get lost.
    void requestTable(const std::string& host, followed_table);

    // Asks one random host of this data centre, or of another one, for those tables that changed after the given
    // positions in the store, indexed by followed_table. Returns false if no such host is known.
    bool requestTables(table_source, const table_positions&);

    // Records that there is an update to report. Sends the report immediately if the update
    // is urgent and the last report is not too recent; otherwise the thread sends the report
    // when it is due.
    void scheduleReport(update_urgency);

private:
    void run();
    // Handles the datagrams that have arrived, up to a maximum number per call.
    void receive();
    void handleDatagram(std::string_view bytes);
    void handleReport(const neighbour_report&, instant now);
    void handleRequest(const table_request&);
    void handleTokenRequest(const addressed_token_request&, instant now);
    void tick(instant now);
    // Asks other data centres for tokens of teams that are short of them here.
    void requestTokens(instant now);
    // Returns the host of another data centre that the next request for tokens of a team goes to, or null. Requests go
    // round the data centres, those of the same region first. The caller holds m_mutex.
    const membership_entry* lenderOf(const token_request&) const;
    // The hosts of other data centres by data centre.
    struct remote_hosts {
        std::map<std::string, std::vector<std::string>> ofRegion;
        std::map<std::string, std::vector<std::string>> ofOtherRegions;
    };
    // The caller holds m_mutex.
    remote_hosts remoteHosts() const;
    // Returns a random host to ask for tables, or null. The caller holds m_mutex.
    const membership_entry* chooseHost(table_source);
    // Passes the number of hosts in this data centre to the pacing of reports. The caller
    // holds m_mutex.
    void updateNeighbourCount();
    // Sends a datagram to all neighbours. The caller holds m_mutex.
    void sendToNeighbours(const std::string& bytes);
    // Sends a report to the neighbours, and any pending peer report to the other data
    // centres.
    void sendReport();
    // Sends a peer report to one random host of each other data centre. The caller holds
    // m_mutex.
    void sendPeerReport(const dispatch_core::peer_report&);
    // Names this host as the sender of a report.
    void setSender(neighbour_report&) const;
    void sendTo(const membership_entry&, const std::string& bytes);

    proxy_runtime& m_runtime;
    Poco::Net::DatagramSocket m_socket;
    std::mutex m_mutex;
    fleet_membership m_hosts;
    reading_handlers m_readingHandlers;
    std::uint64_t m_sequence = 0;
    std::mt19937_64 m_random;
    std::mutex m_pacingMutex;
    report_pacing m_pacing;
    // Only m_thread uses these two.
    std::string m_receiveBuffer;
    instant m_tokensRequestedAt = distantPast;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace almondmoor
