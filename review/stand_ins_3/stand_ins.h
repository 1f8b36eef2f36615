// Stand-ins for the cases of the third review: the users' store, upstreams, clients and the platform that starts, watches
// and ends the proxying hosts. Everything stands on loopback addresses. The class reads and writes sockets without
// blocking; only the store uses threads.

#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace review {

// Seconds of a steady clock.
double now();

// A listening socket on a free port of 127.0.0.1.
struct listening_socket {
    int descriptor = -1;
    std::string address;
};
listening_socket listenOnFreePort();

// Listens at an address at which this program listened before.
int listenAt(const std::string& address);

// Returns an address of 127.0.0.1 whose port is free.
std::string freeAddress();

int connectTo(const std::string& address);

// The part of the store that the proxying hosts use: rows-get, rows-feed and rows-tx.
class store {
public:
    store();
    std::string address() const { return m_socket.address; }
    void write(const std::string& table, const std::string& key, const std::string& value);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };

    void serve(int descriptor);
    std::string answer(const std::string& target, const std::string& body);
    std::string rowsBody(const std::string& table, std::uint64_t after, const std::string& from, bool isChanges);

    listening_socket m_socket;
    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_version = 0;
};

// How the upstreams take requests.
struct upstream_settings {
    unsigned slots = 6;
    unsigned queue = 24;
    double workS = 0.05;
    // Bytes of a request's body that an upstream reads in one piece, and the pause before the next piece. No pause means
    // that it reads as fast as it can.
    std::size_t pieceBytes = 65536;
    double pauseS = 0;
    // Bytes of an answer's body.
    std::size_t answerBytes = 400;
};

// All upstreams of one service. They run in the caller's thread, in step().
class upstreams {
public:
    upstreams(store&, std::string service, unsigned count, upstream_settings);
    void step();
    void setSettings(const upstream_settings& settings) { m_settings = settings; }
    // From now on, the first upstreams reset the connection instead of answering a part of their requests, after they ran
    // them. A count of zero ends that.
    void setFailing(unsigned count, double share);
    // From now on, a request whose target holds this text crashes the upstream that runs it: all its connections are reset
    // and its port is closed. It starts again after some seconds.
    void setPoison(std::string text, double downS);
    // When each request with the text began to reach an upstream, and when each upstream crashed.
    const std::vector<double>& poisonArrivals() const { return m_poisonArrivals; }
    const std::vector<double>& crashes() const { return m_crashes; }
    unsigned runCount() const { return m_runs; }
    unsigned shedCount() const { return m_sheds; }
    unsigned resetCount() const { return m_resets; }
    unsigned openCount() const { return static_cast<unsigned>(m_connections.size()); }

private:
    struct connection {
        int descriptor = -1;
        unsigned upstream = 0;
        std::string head;
        std::string id;
        std::uint64_t bodyLeft = 0;
        bool isChunked = false;
        bool isReading = false;
        bool isPoison = false;
        double readAt = 0;
        double answerAt = 0;
        std::string out;
    };
    struct upstream_row {
        listening_socket socket;
        unsigned active = 0;
        unsigned sequence = 1;
        unsigned born = 1;
        bool isDown = false;
        double upAt = 0;
    };

    void restart(double at);
    void announce(unsigned index);
    bool stepConnection(connection&, double at);
    bool beginRequest(connection&, std::size_t headBytes, double at);
    void answer(connection&, int status);

    store& m_store;
    std::string m_service;
    upstream_settings m_settings;
    std::vector<upstream_row> m_upstreams;
    std::vector<std::unique_ptr<connection>> m_connections;
    double m_announceAt = 0;
    unsigned m_runs = 0;
    unsigned m_sheds = 0;
    unsigned m_resets = 0;
    unsigned m_failingCount = 0;
    double m_failingShare = 0;
    std::mt19937 m_random { 1 };
    std::string m_poison;
    double m_downS = 0;
    std::vector<double> m_poisonArrivals;
    std::vector<double> m_crashes;
};

struct host_settings {
    unsigned memoryMb = 260;
    unsigned graceS = 6;
};

// One proxying host, as the deploy file starts it.
class host {
public:
    host(unsigned number, const store&, host_settings);
    ~host();
    host(const host&) = delete;
    host& operator=(const host&) = delete;

    void start(bool isFirstStart);
    void kill();
    bool isRunning();
    bool isReady() const;
    // Memory that belongs to the process alone and isn't mapped from a file, in bytes.
    std::uint64_t privateBytes() const;
    const std::string& address() const { return m_guest; }
    const std::string& name() const { return m_name; }

private:
    std::string m_name;
    std::string m_store;
    host_settings m_settings;
    std::string m_guest;
    std::string m_readiness;
    std::string m_peer;
    std::string m_metrics;
    int m_process = -1;
};

// One client connection that sends one request at a time and reads its answer.
class client {
public:
    explicit client(std::string address)
        : m_address(std::move(address))
    {
    }
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    void send(const std::string& request);
    // Goes on with sending and reading. Returns whether the request is over.
    bool step();
    bool isBusy() const { return m_isBusy; }
    // Zero if the connection ended without a whole answer.
    int status() const { return m_status; }

private:
    void end(int status, bool keepsOpen);

    std::string m_address;
    int m_descriptor = -1;
    bool m_isBusy = false;
    int m_status = 0;
    std::string m_out;
    std::size_t m_sent = 0;
    std::string m_in;
};

// The time that a case has been running, and its record.
class record {
public:
    explicit record(const std::string& path);
    void add(const std::string& line);

private:
    double m_start;
    std::ofstream m_file;
};

} // namespace review
