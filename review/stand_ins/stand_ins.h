// Parts that the scripts under review/ share: the platform's store, HTTP messages over loopback sockets, and proxy
// processes started as deploy/system.toml says. Everything here uses POSIX calls and threads only.

#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using instant = clock_type::time_point;

// Returns the seconds since the program started.
double secondsNow();
void sleepSeconds(double seconds);
instant after(double seconds);

// Returns whether the script applies its disruption: TROUBLE=0 turns it off.
bool hasTrouble();

// Returns a loopback port that is free now.
unsigned freePort();

// A TCP connection on the loopback address. Not thread-safe.
class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }

    // Sends all bytes. Stops at the deadline, after a failure, and, if stopsAtInput is set, when bytes arrive.
    bool send(const std::string& bytes, instant deadline, bool stopsAtInput = false);

    // Reads up to and with the empty line that ends a head. Returns false at the deadline or the end of the stream.
    bool readHead(std::string& head, instant deadline);
    // Reads what has arrived, at least one byte.
    bool readSome(std::string& bytes, instant deadline);
    bool readBytes(std::size_t count, std::string& bytes, instant deadline);

    void close();
    // Closes with a reset.
    void reset();

private:
    bool fill(instant deadline);

    int m_descriptor;
    std::string m_buffer;
};

// Returns a listening socket, or -1. A receive buffer size of 0 leaves the system's.
int listenOn(unsigned port, int receiveBufferBytes = 0);
int acceptFrom(int listener);
int connectTo(unsigned port, double timeoutSeconds);

// Returns the value of a header in a head, or an empty string.
std::string headerOf(const std::string& head, const std::string& name);
int statusOf(const std::string& head);

// The platform's metadata store, for the calls that almondmoor makes (PROTOCOL.md).
class store {
public:
    store();
    unsigned port() const { return m_port; }
    void write(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    void serve(int descriptor);
    std::string answer(const std::string& target, const std::string& body, int& status);
    std::string rowsOf(const std::string& table, std::uint64_t after, bool withRemoved);

    unsigned m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version = 0;
    std::map<std::string, std::map<std::string, row>> m_tables;
};

// One process of the role in deploy/system.toml, with the settings of a small deployment.
class proxy_process {
public:
    proxy_process(std::string name, std::string zone, std::string regions, unsigned storePort);
    ~proxy_process();
    proxy_process(const proxy_process&) = delete;
    proxy_process& operator=(const proxy_process&) = delete;

    bool start();
    bool waitUntilReady(double seconds) const;
    bool isReady() const;
    void signal(int number) const;
    // Returns whether the process has ended.
    bool hasEnded();
    unsigned port() const { return m_ports[0]; }

private:
    std::string m_name;
    std::string m_zone;
    std::string m_regions;
    unsigned m_storePort;
    std::vector<unsigned> m_ports;
    pid_t m_process = -1;
};

// Row of an endpoint in the table "servers".
std::string endpointRow(const std::string& service, const std::string& zone, unsigned port, unsigned slots, unsigned sequence, const std::string& state = "ready");

// A manifest with one team, key "sesame", and the routes /safe/ and /unsafe/ of the host a.example.
std::string manifest(unsigned version, const std::string& service, unsigned timeoutMs);

// Writes the lines of record.txt.
class recorder {
public:
    explicit recorder(const std::string& path)
        : m_file(path)
    {
    }
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
