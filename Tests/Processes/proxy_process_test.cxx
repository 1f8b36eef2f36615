// Tests proxying hosts as processes: starts, outages of the store, kills and planned stops.

#include "Processes/proxy_processes.h"
#include "byte_stream.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <thread>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr auto pollInterval = 20ms;

    template <typename Condition>
    bool becomesTrueWithin(duration timeout, Condition condition)
    {
        const instant deadline = presentInstant() + timeout;
        while (presentInstant() < deadline) {
            if (condition())
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

    // Returns a number from /proc/PID/status, e.g. of Threads or VmRSS (in kB).
    long statusNumber(const proxy_processes& fleet, unsigned host, const std::string& field)
    {
        std::ifstream status(absl::StrCat("/proc/", fleet.processId(host), "/status"));
        for (std::string line; std::getline(status, line);) {
            if (line.rfind(field + ":", 0) == 0)
                return std::stol(line.substr(field.size() + 1));
        }
        return -1;
    }

} // namespace

// Guards against threads or memory for each running request, by which slow upstreams stop a host.
TEST_CASE("a host serves others in time while 2,000 requests wait for a stalled upstream, with ten threads at most", "[process]")
{
    constexpr std::size_t waitingRequests = 2000;
    constexpr long maxThreads = 10;
    constexpr long maxMemoryGrowthKb = 100L * 1024;
    proxy_processes fleet(1);
    fleet.start(0, { "--guest_connections=2100" });
    REQUIRE(fleet.waitUntilReady(0));
    fleet.dedicateUpstream(1, "stalled", 100'000);
    fleet.upstream(1).hold(true);
    fleet.writeConfig(5, "sesame", "stalled");
    REQUIRE(becomesTrueWithin(5s, [&] { return fleet.takeOutput(0).find("event=plan version=5") != std::string::npos; }));
    CHECK(fleet.sendRequest(0) == 200);
    const long memoryBefore = statusNumber(fleet, 0, "VmRSS");
    std::vector<std::unique_ptr<byte_stream>> clients;
    // In small groups, so that the stand-in accepts each connection within the connection timeout.
    while (clients.size() < waitingRequests) {
        for (int index = 0; index < 50; ++index)
            clients.push_back(fleet.beginRequest(0, "/stalled/1"));
        REQUIRE(becomesTrueWithin(20s, [&] { return fleet.upstream(1).connectionCount() >= clients.size(); }));
    }
    int served = 0;
    duration slowest {};
    for (int index = 0; index < 50; ++index) {
        const instant begin = presentInstant();
        served += fleet.sendRequest(0, "/safe/1") == 200 ? 1 : 0;
        slowest = std::max(slowest, presentInstant() - begin);
    }
    CHECK(served == 50);
    CHECK(slowest < 1500ms);
    CHECK(statusNumber(fleet, 0, "Threads") <= maxThreads);
    CHECK(statusNumber(fleet, 0, "VmRSS") - memoryBefore <= maxMemoryGrowthKb);
    fleet.upstream(1).hold(false);
}

TEST_CASE("a new serving configuration takes effect on every host within two seconds", "[process]")
{
    proxy_processes fleet(3);
    for (unsigned host = 0; host < fleet.size(); ++host)
        fleet.start(host);
    for (unsigned host = 0; host < fleet.size(); ++host) {
        REQUIRE(fleet.waitUntilReady(host));
        CHECK(fleet.sendRequest(host) == 200);
        CHECK(fleet.sendRequest(host, "/unsafe/1", "POST") == 200);
    }
    fleet.writeConfig(5, "other");
    CHECK(becomesTrueWithin(2s, [&] { return fleet.sendRequest(0) == 401 && fleet.sendRequest(1) == 401 && fleet.sendRequest(2) == 401; }));
}

TEST_CASE("a host that cannot read the store at its start refuses requests with 503 and recovers without a restart", "[process]")
{
    struct row {
        const char* name;
        store_faults faults;
    };
    store_faults resets;
    resets.resetsConnections = true;
    const std::array<row, 3> rows { { { "busy", { .refusalStatus = 503 } }, { "too many calls", { .refusalStatus = 429 } }, { "resets", resets } } };
    for (const row& it : rows) {
        INFO(it.name);
        proxy_processes fleet(1);
        fleet.store().setFaults(it.faults);
        fleet.start(0);
        REQUIRE(becomesTrueWithin(10s, [&] { return fleet.checkReadiness(0) == 503; }));
        CHECK(fleet.sendRequest(0) == 503);
        fleet.store().setFaults({});
        CHECK(becomesTrueWithin(3s, [&] { return fleet.checkReadiness(0) == 200; }));
        CHECK(fleet.sendRequest(0) == 200);
        const std::string log = fleet.takeOutput(0);
        CHECK(log.find("event=store-lost") != std::string::npos);
        CHECK(log.find("event=store-regained") != std::string::npos);
        CHECK(log.find("event=upstream-row-refused upstream=i-broken") != std::string::npos);
    }
}

TEST_CASE("proxies keep serving while the store is unavailable, and apply its changes afterwards", "[process]")
{
    proxy_processes fleet(2);
    fleet.start(0);
    fleet.start(1);
    REQUIRE(fleet.waitUntilReady(0));
    REQUIRE(fleet.waitUntilReady(1));
    fleet.store().setFaults({ .refusalStatus = 503 });
    for (int index = 0; index < 20; ++index)
        CHECK(fleet.sendRequest(static_cast<unsigned>(index % 2)) == 200);
    // The store no longer has the history of its changes when it becomes available again.
    fleet.writeConfig(9, "other");
    fleet.store().compact();
    fleet.store().setFaults({});
    CHECK(becomesTrueWithin(3s, [&] { return fleet.sendRequest(0) == 401 && fleet.sendRequest(1) == 401; }));
}

// Guards against hosts that follow nothing any more, or use a withdrawn key again, once the store has come back from an
// older copy.
TEST_CASE("a host follows a store that comes back from an older copy, and a withdrawn key stays withdrawn", "[process]")
{
    // Time in which hosts are in touch with the store again, and time for a configuration to come into force.
    constexpr duration contactTime = 3s;
    constexpr duration applyTime = 2500ms;
    proxy_processes fleet(2);
    fleet.start(0);
    fleet.start(1);
    REQUIRE(fleet.waitUntilReady(0));
    REQUIRE(fleet.waitUntilReady(1));
    fleet.store().takeCopy();
    fleet.writeConfig(5, "other");
    for (int index = 0; index < 50; ++index)
        fleet.store().write("other", absl::StrCat("k", index), "x");
    REQUIRE(becomesTrueWithin(applyTime, [&] { return fleet.sendRequest(0) == 401 && fleet.sendRequest(1) == 401; }));
    fleet.store().setFaults({ .refusalStatus = 503 });
    std::this_thread::sleep_for(1s);
    fleet.store().comeBackFromCopy();
    fleet.store().setFaults({});
    const auto isKeyUsed = [&fleet] { return fleet.sendRequest(0) != 401 || fleet.sendRequest(1) != 401; };
    CHECK_FALSE(becomesTrueWithin(contactTime, isKeyUsed));
    fleet.writeConfig(5, "other");
    fleet.writeConfig(7, "sesame");
    CHECK(becomesTrueWithin(applyTime, [&] { return fleet.sendRequest(0) == 200 && fleet.sendRequest(1) == 200; }));
    CHECK(fleet.takeOutput(0).find("event=store-rewound table=plan era=2") != std::string::npos);
    CHECK_FALSE(fleet.store().value("hosts", "h0").empty());
    CHECK_FALSE(fleet.store().value("hosts", "h1").empty());
}

TEST_CASE("hosts that are killed right after a configuration change restart with the new configuration", "[process]")
{
    proxy_processes fleet(3);
    for (unsigned host = 0; host < fleet.size(); ++host)
        fleet.start(host);
    for (unsigned host = 0; host < fleet.size(); ++host)
        REQUIRE(fleet.waitUntilReady(host));
    fleet.writeConfig(7, "other");
    for (unsigned host = 0; host < fleet.size(); ++host) {
        fleet.signal(host, SIGKILL);
        fleet.waitFor(host);
    }
    for (unsigned host = 0; host < fleet.size(); ++host)
        fleet.start(host);
    for (unsigned host = 0; host < fleet.size(); ++host) {
        REQUIRE(fleet.waitUntilReady(host));
        CHECK(fleet.sendRequest(host) == 401);
    }
}

// Guards against a restarted host that sends on a request which crashes upstreams, although its neighbours refuse it.
TEST_CASE("a host that is killed and started again refuses the requests that its neighbours have quarantined", "[process]")
{
    constexpr duration contactTime = 3s;
    const std::string deadlyPath = "/unsafe/1?crash=yes";
    proxy_processes fleet(3);
    for (unsigned host = 0; host < fleet.size(); ++host)
        fleet.start(host);
    for (unsigned host = 0; host < fleet.size(); ++host)
        REQUIRE(fleet.waitUntilReady(host));
    REQUIRE(becomesTrueWithin(10s, [&] { return fleet.sendRequest(0, deadlyPath, "POST") == 503; }));
    const auto received = [&fleet] { return fleet.upstream(0).receivedCount() + fleet.upstream(1).receivedCount(); };
    const std::size_t crashes = received();
    fleet.signal(1, SIGKILL);
    fleet.waitFor(1);
    fleet.start(1);
    REQUIRE(fleet.waitUntilReady(1));
    std::string log;
    const auto hasLearned = [&] { return (log += fleet.takeOutput(1)).find("event=quarantine ") != std::string::npos; };
    CHECK(becomesTrueWithin(contactTime, hasLearned));
    CHECK(log.find("source=neighbour age_ms=") != std::string::npos);
    CHECK(fleet.sendRequest(1, deadlyPath, "POST") == 503);
    CHECK(received() == crashes);
    CHECK(fleet.sendRequest(1, "/unsafe/1", "POST") == 200);
}

TEST_CASE("a planned stop aborts no request", "[process]")
{
    proxy_processes fleet(1);
    fleet.start(0);
    REQUIRE(fleet.waitUntilReady(0));
    std::atomic<int> okResponses { 0 };
    std::atomic<int> otherResponses { 0 };
    std::atomic<bool> isStopping { false };
    std::thread client([&] {
        while (!isStopping)
            (fleet.sendRequest(0, "/safe/1?delay-ms=30") == 200 ? okResponses : otherResponses)++;
    });
    REQUIRE(becomesTrueWithin(5s, [&] { return okResponses >= 3; }));
    fleet.signal(0, SIGTERM);
    CHECK(becomesTrueWithin(1s, [&] { return fleet.checkReadiness(0) == 503; }));
    std::this_thread::sleep_for(1500ms);
    isStopping = true;
    client.join();
    CHECK(otherResponses == 0);
    CHECK(fleet.waitFor(0) == 0);
}

// Guards against requests that are taken late in the grace period, passed on, and cut off without an answer by the exit.
TEST_CASE("each request that is passed on during a planned stop is answered", "[process]")
{
    constexpr auto interval = 50ms;
    // The admitted requests have at least a quarter of the grace period to end.
    constexpr const char* path = "/unsafe/1?delay-ms=700";
    for (const int graceSeconds : { 3, 6 }) {
        INFO(graceSeconds << " s of grace");
        proxy_processes fleet(1);
        fleet.start(0, { absl::StrCat("--stop_grace_s=", graceSeconds) });
        REQUIRE(fleet.waitUntilReady(0));
        std::atomic<std::size_t> okResponses { 0 };
        std::vector<std::thread> clients;
        fleet.signal(0, SIGTERM);
        const instant end = presentInstant() + std::chrono::seconds(graceSeconds);
        while (presentInstant() < end) {
            clients.emplace_back([&] { okResponses += fleet.sendRequest(0, path, "POST") == 200 ? 1 : 0; });
            std::this_thread::sleep_for(interval);
        }
        // As the platform does at the end of the grace period.
        fleet.signal(0, SIGKILL);
        for (std::thread& client : clients)
            client.join();
        CHECK(fleet.waitFor(0) == 0);
        const auto runs = [&fleet] { return fleet.upstream(0).runs().size() + fleet.upstream(1).runs().size(); };
        CHECK(okResponses > 0);
        CHECK(okResponses == runs());
    }
}

TEST_CASE("a blocked reader of the log delays no request, and no log line contains a key", "[process]")
{
    proxy_processes fleet(1);
    fleet.start(0);
    REQUIRE(fleet.waitUntilReady(0));
    const std::string longPath(8000, 'x');
    // Each log line is short, but together they exceed the capacity of the pipe and the log
    // queue.
    constexpr int requests = 1500;
    const instant begin = presentInstant();
    int okResponses = 0;
    for (int index = 0; index < requests; ++index)
        okResponses += fleet.sendRequest(0, absl::StrCat("/safe/", longPath)) == 200 ? 1 : 0;
    CHECK(okResponses == requests);
    CHECK(presentInstant() - begin < 60s);
    CHECK(fleet.sendRequest(0, "/safe/sesame") == 400);
    const std::string log = fleet.takeOutput(0);
    CHECK(log.find("event=request") != std::string::npos);
    CHECK(log.find("sesame") == std::string::npos);
}

} // namespace almondmoor
