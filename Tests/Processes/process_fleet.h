// Real processes on loopback: hosts, the platform stand-in and upstreams.

#pragma once

#include <Poco/Process.h>
#include <memory>
#include <string>
#include <vector>

namespace almondmoor {

struct http_reply {
    int status = 0;
    std::string outcome;
    std::string reason;
    std::string body;
    bool isWhole() const { return status != 0; }
};

class process_fleet {
public:
    // Starts the stand-ins and hosts and waits until all are ready.
    explicit process_fleet(unsigned hosts);
    // Ends every process that it started, by its id.
    ~process_fleet();

    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;

    void startHost(unsigned host);
    void signalHost(unsigned host, int signal);
    // Waits for a host to end and returns its exit status.
    int waitForHost(unsigned host);
    bool waitUntilReady(unsigned host);

    // Sets the platform's faults.
    void setPlatform(const std::string& faults);

    // Runs an operator's command at a host and returns the reply.
    http_reply command(unsigned host, const std::string& line);

    // Sends a request to a host with a key.
    http_reply request(unsigned host, const std::string& method, const std::string& path, const std::string& secret, const std::string& idempotencyKey = "");

    // Makes a key for a team and returns its secret.
    std::string createKey(const std::string& id, const std::string& team);

    std::string guestAddress(unsigned host) const;
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
