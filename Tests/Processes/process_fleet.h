// A fleet of real processes on loopback addresses: hosts, a stand-in of the platform and an upstream.

#pragma once

#include <Poco/Process.h>
#include <memory>
#include <string>
#include <vector>

namespace almondmoor {

// The reply to an HTTP request. The status is 0 if no complete reply was received.
struct http_reply {
    int status = 0;
    std::string outcome;
    std::string reason;
    std::string body;
    bool isComplete() const { return status != 0; }
};

class process_fleet {
public:
    // Starts the stand-ins and the hosts, and waits until all are ready.
    explicit process_fleet(unsigned hosts);
    // Kills every process that this fleet started, by process id.
    ~process_fleet();

    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;

    void startHost(unsigned host);
    void signalHost(unsigned host, int signal);
    // Waits until the process of a host ends and returns its exit status.
    int waitForHost(unsigned host);
    bool waitUntilReady(unsigned host);

    // Sets the faults that the platform stand-in injects, as a query string.
    void setPlatformFaults(const std::string& faults);

    // Sends an operator's command to a host and returns the reply.
    http_reply command(unsigned host, const std::string& line);

    // Sends a client's request to a host, with the secret of a key.
    http_reply request(unsigned host, const std::string& method, const std::string& path, const std::string& secret, const std::string& idempotencyKey = "");

    // Creates a key for a team and returns the key's secret.
    std::string createKey(const std::string& id, const std::string& team);

    std::string clientAddress(unsigned host) const;
    std::string upstreamAddress() const;
    unsigned size() const { return m_size; }

private:
    http_reply call(const std::string& address, const std::string& method, const std::string& path, const std::string& body,
        const std::vector<std::pair<std::string, std::string>>& headers);
    std::string operatorAddress(unsigned host) const;
    std::string peerAddress(unsigned host) const;

    unsigned m_size;
    std::vector<std::unique_ptr<Poco::ProcessHandle>> m_hosts;
    std::vector<std::unique_ptr<Poco::ProcessHandle>> m_standIns;
};

} // namespace almondmoor
