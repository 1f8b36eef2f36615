// What a guest is told against what upstreams ran, with the upstream failing at
// every step.

#include "Serve/host_fixture.h"

#include <absl/strings/str_cat.h>
#include <thread>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* idempotencyKey = "Idempotency-Key: order-1\r\n";

    struct failure_case {
        const char* name;
        void (*arrange)(host_fixture&);
        const char* outcome;
        const char* reason;
        std::size_t runs;
    };

    void setBehaviour(host_fixture& host, const upstream_behaviour& behaviour)
    {
        host.upstream().setBehaviour(behaviour);
    }

    const std::vector<failure_case> failureCases {
        { "all is well", [](host_fixture&) {}, "ran", "", 1 },
        { "the upstream is down", [](host_fixture& host) { host.stopUpstream(0); }, "not-run", "connect-failed", 0 },
        { "it crashes before it runs", [](host_fixture& host) { setBehaviour(host, { .crashesBeforeRun = true }); }, "unknown", "answer-lost", 0 },
        { "it crashes after it ran", [](host_fixture& host) { setBehaviour(host, { .crashesAfterRun = true }); }, "unknown", "answer-lost", 1 },
        { "it says it has not started", [](host_fixture& host) { setBehaviour(host, { .refusesToStart = true }); }, "not-run", "not-started", 0 },
        { "it answers too late", [](host_fixture& host) { setBehaviour(host, { .delay = 1500ms }); }, "unknown", "answer-timeout", 1 },
        { "its answer is not HTTP", [](host_fixture& host) { setBehaviour(host, { .rawResponse = "hello\r\n\r\n" }); }, "unknown", "bad-answer", 1 },
        { "its answer has two lengths", [](host_fixture& host) { setBehaviour(host, { .rawResponse = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" }); },
            "unknown", "bad-answer", 1 },
        { "its answer ends with the connection", [](host_fixture& host) { setBehaviour(host, { .rawResponse = "HTTP/1.1 200 OK\r\n\r\npartial" }); }, "unknown",
            "bad-answer", 1 },
        { "interim answers come first", [](host_fixture& host) { setBehaviour(host, { .rawResponse = "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab" }); },
            "ran", "", 1 },
        { "the store is away", [](host_fixture& host) { host.platform().setFaults({ true, 0 }); }, "not-run", "claim-unavailable", 0 },
        { "the answer to the claim is lost", [](host_fixture& host) { host.platform().setFaults({ false, 1 }); }, "ran", "", 1 },
    };

} // namespace

TEST_CASE("a payment is told truly what became of it and runs at most once", "[outcome]")
{
    const auto it = GENERATE(from_range(failureCases));
    host_fixture host;
    INFO(it.name);
    it.arrange(host);
    const std::string headers = absl::StrCat(idempotencyKey, "Almondmoor-Deadline-Ms: 1000\r\n");
    const std::string answer = host.post("/payments", "pay 5", headers);
    CHECK(headerOf(answer, "Almondmoor-Outcome") == it.outcome);
    CHECK(headerOf(answer, "Almondmoor-Reason") == it.reason);
    if (it.runs > 0 && std::string(it.outcome) != "ran")
        REQUIRE(host.upstream().waitForReceived(1, 5s));
    // The guest sends again, as guests do. What may have run never runs twice.
    host.platform().setFaults({});
    if (std::string(it.outcome) != "not-run") {
        const std::string again = host.post("/payments", "pay 5", headers);
        CHECK(headerOf(again, "Almondmoor-Reason") == "duplicate");
        CHECK(headerOf(again, "Almondmoor-Outcome") == "unknown");
    }
    // A run that the guest no longer waits for ends by then.
    const instant deadline = presentInstant() + 5s;
    while (host.runCount() < it.runs && presentInstant() < deadline)
        std::this_thread::yield();
    CHECK(host.runCount() == it.runs);
}

TEST_CASE("a payment that was not run may be sent again under its key", "[outcome]")
{
    host_fixture host;
    host.upstream().setBehaviour({ .refusesToStart = true });
    CHECK(headerOf(host.post("/payments", "pay", idempotencyKey), "Almondmoor-Outcome") == "not-run");
    host.upstream().setBehaviour({});
    CHECK(headerOf(host.post("/payments", "pay", idempotencyKey), "Almondmoor-Outcome") == "ran");
    CHECK(host.runCount() == 1);
}

TEST_CASE("a repeatable request survives a failing upstream", "[outcome]")
{
    struct retry_case {
        const char* name;
        upstream_behaviour behaviour;
    };
    const auto it = GENERATE(retry_case { "crash", { .crashesAfterRun = true } }, retry_case { "error", { .status = 500 } },
        retry_case { "shed", { .shedsLoad = true } }, retry_case { "not started", { .refusesToStart = true } });
    INFO(it.name);
    host_fixture host(2);
    host.upstream(0).setBehaviour(it.behaviour);
    unsigned served = 0;
    for (unsigned number = 0; number < 4; ++number)
        served += statusOf(host.get(absl::StrCat("/refills/", number))) == 200 ? 1 : 0;
    CHECK(served == 4);
}

TEST_CASE("an answer that is cut never looks whole", "[outcome]")
{
    const auto isChunked = GENERATE(true, false);
    host_fixture host;
    host.upstream().setBehaviour({ .bodyBytes = 200'000, .isChunked = isChunked, .truncatesResponse = true });
    const std::string answer = host.get("/refills/today");
    CHECK(answer.find("[cut]") != std::string::npos);
}

TEST_CASE("no upstream sees a guest's key or a false identity", "[keys]")
{
    host_fixture host;
    const std::string spoofed = absl::StrCat("Almondmoor-Team: harbour\r\nConnection: Almondmoor-Team, authorization\r\nauthorization: Bearer other\r\n");
    (void)host.get("/refills/today", spoofed);
    (void)host.post("/refills/today", "body", "Almondmoor-Request: mine\r\n");
    for (const run_record& run : host.upstream().runs()) {
        CHECK(run.head.find(host.secret()) == std::string::npos);
        CHECK(run.head.find("uthorization") == std::string::npos);
        CHECK(run.team == "cooling");
        CHECK(run.head.find("mine") == std::string::npos);
    }
    CHECK(host.runCount() == 2);
}

TEST_CASE("a key outside the Authorization header is refused before anything runs", "[keys]")
{
    host_fixture host;
    const std::string& secret = host.secret();
    std::string encoded;
    for (const char character : secret)
        absl::StrAppend(&encoded, "%", absl::Hex(static_cast<unsigned char>(character), absl::kZeroPad2));
    const std::vector<std::string> answers { host.get(absl::StrCat("/refills/", secret)), host.get(absl::StrCat("/refills?key=", encoded)),
        host.get("/refills", absl::StrCat("X-Key: a", secret, "b\r\n")), host.post("/refills", absl::StrCat("my key is ", secret)) };
    for (const std::string& answer : answers) {
        CHECK(headerOf(answer, "Almondmoor-Reason") == "key-in-request");
        CHECK(headerOf(answer, "Almondmoor-Outcome") == "not-run");
    }
    // In the part of a body that is streamed, the request is aborted before the
    // key's last byte leaves.
    (void)host.post("/refills", std::string(300'000, 'x') + secret + std::string(10, 'y'));
    for (const run_record& run : host.upstream().runs())
        CHECK(run.body.find(secret) == std::string::npos);
    CHECK(host.runCount() == 0);
}

TEST_CASE("a request runs only for the team whose key came with it", "[keys]")
{
    host_fixture host;
    CHECK(statusOf(host.get("/harbour")) == 403);
    CHECK(statusOf(raw_guest(host.guestAddress()).ask("GET /refills HTTP/1.1\r\nHost: a\r\n\r\n")) == 401);
    CHECK(statusOf(raw_guest(host.guestAddress()).ask("GET /refills HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer none\r\n\r\n")) == 401);
    CHECK(statusOf(raw_guest(host.guestAddress()).ask("GET /open HTTP/1.1\r\nHost: a\r\n\r\n")) == 200);
    CHECK(host.runCount() == 1);
}

TEST_CASE("a withdrawn key stops for connected guests and for queued work", "[keys]")
{
    host_fixture host;
    raw_guest guest(host.guestAddress());
    CHECK(statusOf(guest.ask(host.text("GET", "/refills", "", ""))) == 200);
    host.command("withdraw key k-1");
    CHECK(statusOf(guest.ask(host.text("GET", "/refills", "", ""))) == 401);
    CHECK(host.runCount() == 1);
}

TEST_CASE("a key that is withdrawn while its request waits for a slot is not dispatched", "[keys]")
{
    host_fixture host;
    host.command("create service narrow");
    host.command(absl::StrCat("create upstream ", host.upstreamAddress(5), " for service narrow in local-1 slots 1"));
    host.command("create route /narrow to narrow teams cooling repeatable");
    stand_in_upstream narrow(host.upstreamAddress(5));
    narrow.hold(true);
    raw_guest first(host.guestAddress());
    first.send(host.text("GET", "/narrow/1", "", ""));
    REQUIRE(narrow.waitForReceived(1, 5s));
    raw_guest second(host.guestAddress());
    second.send(host.text("GET", "/narrow/2", "", ""));
    const instant deadline = presentInstant() + 5s;
    while (presentInstant() < deadline && host.runtime().withTraffic([](traffic_core& it) { return it.queueLength("narrow"); }) == 0)
        std::this_thread::yield();
    host.command("withdraw key k-1");
    narrow.hold(false);
    CHECK(statusOf(first.receive()) == 200);
    const std::string answer = second.receive();
    CHECK(statusOf(answer) == 401);
    CHECK(headerOf(answer, "Almondmoor-Outcome") == "not-run");
    CHECK(narrow.runs().size() == 1);
}

TEST_CASE("a request that crashes upstreams is stopped after two crashes", "[crash]")
{
    host_fixture host(4);
    for (unsigned number = 0; number < 5; ++number)
        (void)host.get("/refills/poison?crash=yes");
    std::size_t received = 0;
    for (unsigned index = 0; index < 4; ++index)
        received += host.upstream(index).receivedCount();
    CHECK(received == 2);
    CHECK(headerOf(host.get("/refills/poison?crash=yes"), "Almondmoor-Reason") == "quarantined");
    CHECK(statusOf(host.get("/refills/good")) == 200);
}

TEST_CASE("a service without usable upstreams refuses at once", "[drain]")
{
    host_fixture host;
    host.command(absl::StrCat("retire upstream ", host.upstreamAddress(0)));
    // The guest gives up long before this deadline, so an answer is an answer
    // that did not wait for it.
    const std::string answer = host.get("/refills", "Almondmoor-Deadline-Ms: 60000\r\n");
    CHECK(headerOf(answer, "Almondmoor-Reason") == "no-upstream");
    CHECK(headerOf(answer, "Almondmoor-Outcome") == "not-run");
}

TEST_CASE("a drained host turns not ready", "[drain]")
{
    host_fixture host;
    CHECK(host.runtime().isReady());
    host.command("drain host host-1");
    CHECK_FALSE(host.runtime().isReady());
}

TEST_CASE("a retired upstream gets no new work", "[drain]")
{
    host_fixture host(2);
    host.command(absl::StrCat("retire upstream ", host.upstreamAddress(0)));
    for (unsigned number = 0; number < 10; ++number)
        CHECK(statusOf(host.get("/refills")) == 200);
    CHECK(host.upstream(0).receivedCount() == 0);
    CHECK(host.upstream(1).receivedCount() == 10);
}

} // namespace almondmoor
