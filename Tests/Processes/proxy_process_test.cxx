// Proxying hosts as processes: starts, outages of the store, kills and stops.

#include "Processes/proxy_processes.h"
#include "byte_stream.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr auto pollInterval = 20ms;

    template <typename Condition>
    bool holdsWithin(duration limit, Condition condition)
    {
        const instant deadline = presentInstant() + limit;
        while (presentInstant() < deadline) {
            if (condition())
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

} // namespace

TEST_CASE("a change of the plan is in force at each host within two seconds", "[process]")
{
    proxy_processes fleet(3);
    for (unsigned host = 0; host < fleet.size(); ++host)
        fleet.start(host);
    for (unsigned host = 0; host < fleet.size(); ++host) {
        REQUIRE(fleet.waitUntilReady(host));
        CHECK(fleet.ask(host) == 200);
        CHECK(fleet.ask(host, "/unsafe/1", "POST") == 200);
    }
    fleet.writePlan(5, "other");
    CHECK(holdsWithin(2s, [&] { return fleet.ask(0) == 401 && fleet.ask(1) == 401 && fleet.ask(2) == 401; }));
}

TEST_CASE("a host without a store refuses with 503, and recovers by itself", "[process]")
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
        REQUIRE(holdsWithin(10s, [&] { return fleet.ready(0) == 503; }));
        CHECK(fleet.ask(0) == 503);
        fleet.store().setFaults({});
        CHECK(holdsWithin(3s, [&] { return fleet.ready(0) == 200; }));
        CHECK(fleet.ask(0) == 200);
        const std::string log = fleet.takeOutput(0);
        CHECK(log.find("event=store-lost") != std::string::npos);
        CHECK(log.find("event=store-regained") != std::string::npos);
        CHECK(log.find("event=upstream-row-refused upstream=i-broken") != std::string::npos);
    }
}

TEST_CASE("hosts serve on while the store is away, and follow it when it is back", "[process]")
{
    proxy_processes fleet(2);
    fleet.start(0);
    fleet.start(1);
    REQUIRE(fleet.waitUntilReady(0));
    REQUIRE(fleet.waitUntilReady(1));
    fleet.store().setFaults({ .refusalStatus = 503 });
    for (int index = 0; index < 20; ++index)
        CHECK(fleet.ask(static_cast<unsigned>(index % 2)) == 200);
    // Its history is gone when it is back.
    fleet.writePlan(9, "other");
    fleet.store().compact();
    fleet.store().setFaults({});
    CHECK(holdsWithin(3s, [&] { return fleet.ask(0) == 401 && fleet.ask(1) == 401; }));
}

TEST_CASE("all hosts are killed right after a change and come back with it", "[process]")
{
    proxy_processes fleet(3);
    for (unsigned host = 0; host < fleet.size(); ++host)
        fleet.start(host);
    for (unsigned host = 0; host < fleet.size(); ++host)
        REQUIRE(fleet.waitUntilReady(host));
    fleet.writePlan(7, "other");
    for (unsigned host = 0; host < fleet.size(); ++host) {
        fleet.signal(host, SIGKILL);
        fleet.waitFor(host);
    }
    for (unsigned host = 0; host < fleet.size(); ++host)
        fleet.start(host);
    for (unsigned host = 0; host < fleet.size(); ++host) {
        REQUIRE(fleet.waitUntilReady(host));
        CHECK(fleet.ask(host) == 401);
    }
}

TEST_CASE("a planned stop ends no request", "[process]")
{
    proxy_processes fleet(1);
    fleet.start(0);
    REQUIRE(fleet.waitUntilReady(0));
    std::atomic<int> served { 0 };
    std::atomic<int> others { 0 };
    std::atomic<bool> isStopping { false };
    std::thread guest([&] {
        while (!isStopping)
            (fleet.ask(0, "/safe/1?delay-ms=30") == 200 ? served : others)++;
    });
    REQUIRE(holdsWithin(5s, [&] { return served >= 3; }));
    fleet.signal(0, SIGTERM);
    CHECK(holdsWithin(1s, [&] { return fleet.ready(0) == 503; }));
    std::this_thread::sleep_for(1500ms);
    isStopping = true;
    guest.join();
    CHECK(others == 0);
    CHECK(fleet.waitFor(0) == 0);
}

TEST_CASE("a reader of the log that stands still holds up nobody, and no line holds a key", "[process]")
{
    proxy_processes fleet(1);
    fleet.start(0);
    REQUIRE(fleet.waitUntilReady(0));
    const std::string longPath(8000, 'x');
    // Each line is short, but more of them come than a pipe and the queue hold.
    constexpr int requests = 1500;
    const instant begin = presentInstant();
    int served = 0;
    for (int index = 0; index < requests; ++index)
        served += fleet.ask(0, absl::StrCat("/safe/", longPath)) == 200 ? 1 : 0;
    CHECK(served == requests);
    CHECK(presentInstant() - begin < 60s);
    CHECK(fleet.ask(0, "/safe/sesame") == 400);
    const std::string log = fleet.takeOutput(0);
    CHECK(log.find("event=request") != std::string::npos);
    CHECK(log.find("sesame") == std::string::npos);
}

} // namespace almondmoor
