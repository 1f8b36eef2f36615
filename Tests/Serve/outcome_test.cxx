// Compares the outcome that a client is told with what the upstreams ran, while the upstream fails at each step of a
// request.

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
        { "no failure", [](host_fixture&) {}, "ran", "", 1 },
        { "the upstream is down", [](host_fixture& host) { host.stopUpstream(0); }, "not-run", "connect-failed", 0 },
        { "the upstream crashes before the run", [](host_fixture& host) { setBehaviour(host, { .crashesBeforeRun = true }); }, "unknown", "answer-lost", 0 },
        { "the upstream crashes after the run", [](host_fixture& host) { setBehaviour(host, { .crashesAfterRun = true }); }, "unknown", "answer-lost", 1 },
        { "the upstream reports that the request was not started", [](host_fixture& host) { setBehaviour(host, { .refusesToStart = true }); }, "not-run", "not-started", 0 },
        { "the response is late", [](host_fixture& host) { setBehaviour(host, { .delay = 1500ms }); }, "unknown", "answer-timeout", 1 },
        { "the response is not HTTP", [](host_fixture& host) { setBehaviour(host, { .rawResponse = "hello\r\n\r\n" }); }, "unknown", "bad-answer", 1 },
        { "the response has two lengths", [](host_fixture& host) { setBehaviour(host, { .rawResponse = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" }); },
            "unknown", "bad-answer", 1 },
        { "the response ends with the connection", [](host_fixture& host) { setBehaviour(host, { .rawResponse = "HTTP/1.1 200 OK\r\n\r\npartial" }); }, "unknown",
            "bad-answer", 1 },
        { "interim responses come first", [](host_fixture& host) { setBehaviour(host, { .rawResponse = "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab" }); },
            "ran", "", 1 },
        { "the store is unavailable", [](host_fixture& host) { host.platform().setFaults({ true, 0 }); }, "not-run", "claim-unavailable", 0 },
        { "the response to the claim is lost", [](host_fixture& host) { host.platform().setFaults({ false, 1 }); }, "ran", "", 1 },
    };

} // namespace

TEST_CASE("a payment gets its true outcome and runs at most once", "[outcome]")
{
    const auto it = GENERATE(from_range(failureCases));
    host_fixture host;
    INFO(it.name);
    it.arrange(host);
    const std::string headers = absl::StrCat(idempotencyKey, "Almondmoor-Deadline-Ms: 1000\r\n");
    const std::string response = host.post("/payments", "pay 5", headers);
    CHECK(headerOf(response, "Almondmoor-Outcome") == it.outcome);
    CHECK(headerOf(response, "Almondmoor-Reason") == it.reason);
    if (it.runs > 0 && std::string(it.outcome) != "ran")
        REQUIRE(host.upstream().waitForReceived(1, 5s));
    // The client sends the payment again. A payment that may have run must not run twice.
    host.platform().setFaults({});
    if (std::string(it.outcome) != "not-run") {
        const std::string repeatedResponse = host.post("/payments", "pay 5", headers);
        CHECK(headerOf(repeatedResponse, "Almondmoor-Reason") == "duplicate");
        CHECK(headerOf(repeatedResponse, "Almondmoor-Outcome") == "unknown");
    }
    // Waits for runs whose client has already got a response.
    const instant deadline = presentInstant() + 5s;
    while (host.runCount() < it.runs && presentInstant() < deadline)
        std::this_thread::yield();
    CHECK(host.runCount() == it.runs);
}

TEST_CASE("a payment that was not run can be sent again with the same idempotency key", "[outcome]")
{
    host_fixture host;
    host.upstream().setBehaviour({ .refusesToStart = true });
    CHECK(headerOf(host.post("/payments", "pay", idempotencyKey), "Almondmoor-Outcome") == "not-run");
    host.upstream().setBehaviour({});
    CHECK(headerOf(host.post("/payments", "pay", idempotencyKey), "Almondmoor-Outcome") == "ran");
    CHECK(host.runCount() == 1);
}

TEST_CASE("an idempotent request succeeds although an upstream fails", "[outcome]")
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

TEST_CASE("a truncated response never appears complete", "[outcome]")
{
    const auto isChunked = GENERATE(true, false);
    host_fixture host;
    host.upstream().setBehaviour({ .bodyBytes = 200'000, .isChunked = isChunked, .truncatesResponse = true });
    const std::string response = host.get("/refills/today");
    CHECK(response.find("[cut]") != std::string::npos);
}

TEST_CASE("no upstream receives a client's key or a forged identity", "[keys]")
{
    host_fixture host;
    const std::string spoofedHeaders = absl::StrCat("Almondmoor-Team: harbour\r\nConnection: Almondmoor-Team, authorization\r\nauthorization: Bearer other\r\n");
    (void)host.get("/refills/today", spoofedHeaders);
    (void)host.post("/refills/today", "body", "Almondmoor-Request: mine\r\n");
    for (const run_record& run : host.upstream().runs()) {
        CHECK(run.head.find(host.secret()) == std::string::npos);
        CHECK(run.head.find("uthorization") == std::string::npos);
        CHECK(run.team == "cooling");
        CHECK(run.head.find("mine") == std::string::npos);
    }
    CHECK(host.runCount() == 2);
}

TEST_CASE("a request with its key outside the Authorization header is refused before it runs", "[keys]")
{
    host_fixture host;
    const std::string& secret = host.secret();
    std::string encoded;
    for (const char character : secret)
        absl::StrAppend(&encoded, "%", absl::Hex(static_cast<unsigned char>(character), absl::kZeroPad2));
    const std::vector<std::string> responses { host.get(absl::StrCat("/refills/", secret)), host.get(absl::StrCat("/refills?key=", encoded)),
        host.get("/refills", absl::StrCat("X-Key: a", secret, "b\r\n")), host.post("/refills", absl::StrCat("my key is ", secret)) };
    for (const std::string& response : responses) {
        CHECK(headerOf(response, "Almondmoor-Reason") == "key-in-request");
        CHECK(headerOf(response, "Almondmoor-Outcome") == "not-run");
    }
    // If the key is in the streamed part of a body, the request is aborted before the last byte of the key is sent.
    (void)host.post("/refills", std::string(300'000, 'x') + secret + std::string(10, 'y'));
    for (const run_record& run : host.upstream().runs())
        CHECK(run.body.find(secret) == std::string::npos);
    CHECK(host.runCount() == 0);
}

TEST_CASE("a request runs only for the team of its key", "[keys]")
{
    host_fixture host;
    CHECK(statusOf(host.get("/harbour")) == 403);
    CHECK(statusOf(raw_client(host.clientAddress()).roundTrip("GET /refills HTTP/1.1\r\nHost: a\r\n\r\n")) == 401);
    CHECK(statusOf(raw_client(host.clientAddress()).roundTrip("GET /refills HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer none\r\n\r\n")) == 401);
    CHECK(statusOf(raw_client(host.clientAddress()).roundTrip("GET /open HTTP/1.1\r\nHost: a\r\n\r\n")) == 200);
    CHECK(host.runCount() == 1);
}

TEST_CASE("a withdrawn key is refused on connections that are already open", "[keys]")
{
    host_fixture host;
    raw_client client(host.clientAddress());
    CHECK(statusOf(client.roundTrip(host.requestText("GET", "/refills", "", ""))) == 200);
    host.command("withdraw key k-1");
    CHECK(statusOf(client.roundTrip(host.requestText("GET", "/refills", "", ""))) == 401);
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
    raw_client first(host.clientAddress());
    first.send(host.requestText("GET", "/narrow/1", "", ""));
    REQUIRE(narrow.waitForReceived(1, 5s));
    raw_client second(host.clientAddress());
    second.send(host.requestText("GET", "/narrow/2", "", ""));
    const instant deadline = presentInstant() + 5s;
    while (presentInstant() < deadline && host.runtime().withTraffic([](traffic_core& it) { return it.queueLength("narrow"); }) == 0)
        std::this_thread::yield();
    host.command("withdraw key k-1");
    narrow.hold(false);
    CHECK(statusOf(first.receive()) == 200);
    const std::string response = second.receive();
    CHECK(statusOf(response) == 401);
    CHECK(headerOf(response, "Almondmoor-Outcome") == "not-run");
    CHECK(narrow.runs().size() == 1);
}

TEST_CASE("a request that crashes upstreams is quarantined after two crashes", "[crash]")
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

TEST_CASE("a service without usable upstreams refuses requests at once", "[drain]")
{
    host_fixture host;
    host.command(absl::StrCat("retire upstream ", host.upstreamAddress(0)));
    // The client's own timeout is far shorter than this deadline, so any response shows that the host did not wait for
    // it.
    const std::string response = host.get("/refills", "Almondmoor-Deadline-Ms: 60000\r\n");
    CHECK(headerOf(response, "Almondmoor-Reason") == "no-upstream");
    CHECK(headerOf(response, "Almondmoor-Outcome") == "not-run");
}

TEST_CASE("a drained host is not ready", "[drain]")
{
    host_fixture host;
    CHECK(host.runtime().isReady());
    host.command("drain host host-1");
    CHECK_FALSE(host.runtime().isReady());
}

TEST_CASE("a retired upstream receives no new requests", "[drain]")
{
    host_fixture host(2);
    host.command(absl::StrCat("retire upstream ", host.upstreamAddress(0)));
    for (unsigned number = 0; number < 10; ++number)
        CHECK(statusOf(host.get("/refills")) == 200);
    CHECK(host.upstream(0).receivedCount() == 0);
    CHECK(host.upstream(1).receivedCount() == 10);
}

} // namespace almondmoor
