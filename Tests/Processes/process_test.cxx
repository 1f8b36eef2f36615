// Tests of a fleet of separate processes while processes are killed or frozen and the platform is unavailable.

#include "Processes/process_fleet.h"
#include "byte_stream.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    std::string configureFleet(process_fleet& fleet)
    {
        const std::vector<std::string> commands { "create service refills floor 50%",
            absl::StrCat("create upstream ", fleet.upstreamAddress(), " for service refills in lagos-1 slots 64"), "create team cooling rate 5000/s burst 5000",
            "create route /refills to refills teams cooling repeatable", "create route /payments to refills teams cooling" };
        for (const auto& line : commands) {
            const auto reply = fleet.command(0, line);
            INFO(line << " -> " << reply.body);
            REQUIRE(reply.status == 200);
        }
        return fleet.createKey("k-1", "cooling");
    }

    bool isServedWithin(process_fleet& fleet, unsigned host, const std::string& secret, duration limit)
    {
        const instant deadline = presentInstant() + limit;
        while (presentInstant() < deadline) {
            if (fleet.request(host, "GET", "/refills", secret).status == 200)
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

} // namespace

TEST_CASE("configuration created at one host applies at another, and a payment runs once across hosts", "[process]")
{
    process_fleet fleet(3);
    const std::string secret = configureFleet(fleet);
    CHECK(isServedWithin(fleet, 2, secret, 10s));
    CHECK(fleet.request(1, "POST", "/payments", secret, "p-1").outcome == "ran");
    const auto duplicate = fleet.request(2, "POST", "/payments", secret, "p-1");
    CHECK(duplicate.reason == "duplicate");
    CHECK(duplicate.outcome == "unknown");
    // The platform executes the next claim but loses the response to it.
    fleet.setPlatformFaults("away=no&lost-answers=1");
    CHECK(fleet.request(0, "POST", "/payments", secret, "p-2").outcome == "ran");
    CHECK(fleet.request(1, "POST", "/payments", secret, "p-2").reason == "duplicate");
}

TEST_CASE("a host that resumes after a freeze does not accept a key that was withdrawn meanwhile", "[process]")
{
    process_fleet fleet(3);
    const std::string secret = configureFleet(fleet);
    REQUIRE(isServedWithin(fleet, 2, secret, 10s));
    fleet.signalHost(2, SIGSTOP);
    const auto withdrawn = fleet.command(0, "withdraw key k-1");
    INFO(withdrawn.body);
    CHECK(withdrawn.status == 200);
    CHECK(fleet.request(1, "GET", "/refills", secret).status == 401);
    // The freeze outlasts the longest time for which a configuration counts as fresh.
    std::this_thread::sleep_for(4500ms);
    fleet.signalHost(2, SIGCONT);
    for (unsigned number = 0; number < 20; ++number)
        CHECK(fleet.request(2, "GET", "/refills", secret).status != 200);
}

TEST_CASE("while the platform is unavailable, clients are served, and commands and payments are refused", "[process]")
{
    process_fleet fleet(3);
    const std::string secret = configureFleet(fleet);
    REQUIRE(isServedWithin(fleet, 1, secret, 10s));
    fleet.setPlatformFaults("away=yes");
    const instant end = presentInstant() + 6s;
    unsigned refused = 0;
    while (presentInstant() < end)
        refused += fleet.request(1, "GET", "/refills", secret).status == 200 ? 0 : 1;
    CHECK(refused == 0);
    CHECK(fleet.command(0, "create team late rate 1/s burst 1").status == 503);
    const auto payment = fleet.request(0, "POST", "/payments", secret, "p-9");
    CHECK(payment.outcome == "not-run");
    CHECK(payment.reason == "claim-unavailable");
    fleet.setPlatformFaults("away=no");
    CHECK(fleet.request(0, "POST", "/payments", secret, "p-9").outcome == "ran");
}

TEST_CASE("no request fails while every host in turn makes a planned stop", "[process]")
{
    process_fleet fleet(3);
    const std::string secret = configureFleet(fleet);
    for (unsigned host = 0; host < fleet.size(); ++host)
        REQUIRE(isServedWithin(fleet, host, secret, 10s));
    // The clients use only hosts in rotation, as clients behind the platform's load balancer do.
    std::array<std::atomic<bool>, 3> isInRotation {};
    for (auto& flag : isInRotation)
        flag = true;
    std::atomic<bool> isDone { false };
    std::atomic<unsigned> served { 0 };
    std::atomic<unsigned> failed { 0 };
    std::mutex mutex;
    std::map<std::string, unsigned> failures;
    std::vector<std::thread> clients;
    for (unsigned client = 0; client < 6; ++client) {
        clients.emplace_back([&, client] {
            for (unsigned number = client; !isDone; ++number) {
                const unsigned host = number % 3;
                if (!isInRotation[host])
                    continue;
                const auto reply = fleet.request(host, "GET", "/refills?delay-ms=5", secret);
                ++(reply.status == 200 ? served : failed);
                if (reply.status != 200) {
                    const std::lock_guard lock(mutex);
                    ++failures[absl::StrCat("h", host, " ", reply.status, " ", reply.reason)];
                }
            }
        });
    }
    for (unsigned host = 0; host < fleet.size(); ++host) {
        fleet.signalHost(host, SIGTERM);
        // A load balancer takes the host out of rotation when it is no longer ready, within the stop notice (1500 ms).
        std::this_thread::sleep_for(300ms);
        isInRotation[host] = false;
        CHECK(fleet.waitForHost(host) == 0);
        fleet.startHost(host);
        REQUIRE(fleet.waitUntilReady(host));
        isInRotation[host] = true;
    }
    isDone = true;
    for (auto& client : clients)
        client.join();
    for (const auto& [failure, count] : failures)
        UNSCOPED_INFO(count << " failed at " << failure);
    CHECK(failed == 0);
    CHECK(served > 500);
}

TEST_CASE("after a host is killed, the fleet serves requests and accepts changes, and the host can rejoin", "[process]")
{
    process_fleet fleet(3);
    const std::string secret = configureFleet(fleet);
    REQUIRE(isServedWithin(fleet, 1, secret, 10s));
    fleet.signalHost(2, SIGKILL);
    (void)fleet.waitForHost(2);
    CHECK(isServedWithin(fleet, 1, secret, 15s));
    CHECK(fleet.command(0, "create team harbour rate 1/s burst 1").status == 200);
    fleet.startHost(2);
    CHECK(fleet.waitUntilReady(2));
    CHECK(isServedWithin(fleet, 2, secret, 15s));
}

} // namespace almondmoor
