// Tests of the request path of a proxying host: what clients receive, and which requests reach the upstreams.

#include "Proxy/proxy_fixture.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <future>

namespace almondmoor {

namespace {

    constexpr duration receiveTimeout = std::chrono::seconds(10);

    bool contains(const std::string& text, const std::string& part)
    {
        return text.find(part) != std::string::npos;
    }

} // namespace

TEST_CASE("a request is forwarded with the host's own headers and without the key", "[proxy]")
{
    proxy_fixture host(1);
    const std::string response = host.post("/unsafe/7?x=1", "four", "Test-Deadline-Ms: 900\r\nTest-Team: forged\r\nTest-Expected: forged\r\nX-Other: kept\r\nConnection: X-Drop\r\nX-Drop: 1\r\n");
    CHECK(statusOf(response) == 200);
    CHECK(headerOf(response, "Test-Signature") == "signed");
    CHECK(headerOf(response, "Test-Id") == "g1");
    const auto runs = host.upstream().runs();
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].method == "POST");
    CHECK(runs[0].target == "/unsafe/7?x=1");
    CHECK(runs[0].body == "four");
    CHECK(contains(runs[0].head, "Test-Team: shop\r\n"));
    CHECK(contains(runs[0].head, "Test-Expected: u0\r\n"));
    CHECK(contains(runs[0].head, "Test-Id: g1\r\n"));
    CHECK(contains(runs[0].head, "X-Other: kept\r\n"));
    CHECK_FALSE(contains(runs[0].head, "forged"));
    CHECK_FALSE(contains(runs[0].head, "sesame"));
    CHECK_FALSE(contains(runs[0].head, "X-Drop"));
    int left = 0;
    REQUIRE(absl::SimpleAtoi(headerOf(runs[0].head, "Test-Deadline-Ms"), &left));
    CHECK(left > 0);
    CHECK(left < 900);
}

TEST_CASE("invalid and unauthorized requests are refused and reach no upstream", "[proxy]")
{
    struct row {
        const char* name;
        std::string bytes;
        int status;
    };
    const std::string host = "Host: a.example\r\n";
    const std::string key = "Authorization: Key sesame\r\n";
    const std::array<row, 14> rows { {
        { "two credentials, the first good", absl::StrCat("GET /safe/1 HTTP/1.1\r\n", host, key, "Authorization: Key other\r\n\r\n"), 400 },
        { "two credentials, the second good", absl::StrCat("GET /safe/1 HTTP/1.1\r\n", host, "Authorization: Key other\r\n", key, "\r\n"), 400 },
        { "dot segments", absl::StrCat("GET /open/../safe/1 HTTP/1.1\r\n", host, "\r\n"), 400 },
        { "encoded dot segments", absl::StrCat("GET /open/%2e%2e/safe/1 HTTP/1.1\r\n", host, "\r\n"), 400 },
        { "encoded slash before dots", absl::StrCat("GET /open/x%2f..%2fsafe/1 HTTP/1.1\r\n", host, "\r\n"), 400 },
        { "bare line feeds", "GET /open/1 HTTP/1.1\nHost: a.example\n\n", 400 },
        { "one bare line feed", "GET /open/1 HTTP/1.1\r\nHost: a.example\nX: 1\r\n", 400 },
        { "unknown host", absl::StrCat("GET /safe/1 HTTP/1.1\r\nHost: b.example\r\n", key, "\r\n"), 404 },
        { "unknown path", absl::StrCat("GET /other/1 HTTP/1.1\r\n", host, key, "\r\n"), 404 },
        { "no key", absl::StrCat("GET /safe/1 HTTP/1.1\r\n", host, "\r\n"), 401 },
        { "unknown key", absl::StrCat("GET /safe/1 HTTP/1.1\r\n", host, "Authorization: Key other\r\n\r\n"), 401 },
        { "other scheme", absl::StrCat("GET /safe/1 HTTP/1.1\r\n", host, "Authorization: Bearer sesame\r\n\r\n"), 401 },
        { "key in the path", absl::StrCat("GET /safe/sesame HTTP/1.1\r\n", host, key, "\r\n"), 400 },
        { "deadline that is no number", absl::StrCat("GET /safe/1 HTTP/1.1\r\n", host, key, "Test-Deadline-Ms: soon\r\n\r\n"), 400 },
    } };
    proxy_fixture fixture(1);
    for (const row& expected : rows) {
        INFO(expected.name);
        raw_client client(fixture.clientAddress());
        const instant begin = presentInstant();
        CHECK(statusOf(client.roundTrip(expected.bytes)) == expected.status);
        // The host refuses at once, instead of waiting for more of the head until the head timeout (2 s).
        CHECK(presentInstant() - begin < std::chrono::seconds(1));
    }
    CHECK(fixture.receivedCount() == 0);
    CHECK(statusOf(fixture.get("/open/1")) == 200);
}

TEST_CASE("a host without a configuration refuses requests with 503 and serves them once it has one", "[proxy]")
{
    proxy_fixture host(1, false);
    CHECK_FALSE(host.runtime().isReady());
    const std::string refused = host.get("/safe/1", "Test-Deadline-Ms: 90\r\n");
    CHECK(statusOf(refused) == 503);
    CHECK_FALSE(headerOf(refused, "Retry-After").empty());

    // A request that arrives while the host starts waits for the first configuration.
    auto waiting = std::async(std::launch::async, [&host] { return host.get("/safe/1", "Test-Deadline-Ms: 1500\r\n"); });
    host.runtime().applyConfig(proxy_fixture::config(1));
    host.publishUpstreams();
    CHECK(statusOf(waiting.get()) == 200);
    CHECK(host.runtime().isReady());
}

TEST_CASE("each failure of an upstream gives the right status, and only idempotent requests can run twice", "[proxy]")
{
    struct row {
        const char* name;
        upstream_behaviour behaviour;
        int safeStatus;
        int unsafeStatus;
        // How often upstreams receive a request to the unsafe route.
        std::size_t unsafeReceived;
    };
    upstream_behaviour lostBefore;
    lostBefore.crashesBeforeRun = true;
    upstream_behaviour lostAfter;
    lostAfter.crashesAfterRun = true;
    upstream_behaviour notStarted;
    notStarted.refusesToStart = true;
    upstream_behaviour error;
    error.status = 500;
    upstream_behaviour cut;
    cut.truncatesResponse = true;
    cut.bodyBytes = 100;
    upstream_behaviour garbage;
    garbage.rawResponse = "no answer in the protocol\r\n\r\n";
    upstream_behaviour cutWithoutLength;
    cutWithoutLength.rawResponse = "HTTP/1.1 200 OK\r\nTest-Id: g1\r\nTest-Signature: signed\r\n\r\nhalf of";
    cutWithoutLength.resetsAfterRawResponse = true;
    upstream_behaviour misdirected;
    misdirected.rawResponse = "HTTP/1.1 421 Misdirected Request\r\nTest-Id: g1\r\nContent-Length: 0\r\n\r\n";
    const std::array<row, 8> rows { {
        { "lost before the run", lostBefore, 200, 502, 1 },
        { "lost after the run", lostAfter, 200, 502, 1 },
        { "not started", notStarted, 200, 200, 2 },
        { "error", error, 200, 500, 1 },
        { "truncated response", cut, 200, 502, 1 },
        { "garbage", garbage, 200, 502, 1 },
        { "response without length, then a reset", cutWithoutLength, 200, 502, 1 },
        { "another upstream at the address", misdirected, 200, 200, 2 },
    } };
    for (const row& expected : rows) {
        for (const bool isSafe : { true, false }) {
            INFO(expected.name << (isSafe ? ", safe" : ", unsafe"));
            proxy_fixture host(2);
            // The probe request uses one upstream; the next request goes to the other one first. Make the other one
            // fail and leave the probed one healthy.
            const bool probeUsedFirst = statusOf(host.get("/safe/probe")) == 200 && host.upstream(0).receivedCount() == 1;
            const unsigned failingIndex = probeUsedFirst ? 1 : 0;
            host.upstream(failingIndex).setBehaviour(proxy_fixture::withProtocolHeaders(expected.behaviour));
            const std::size_t receivedBefore = host.receivedCount();
            const std::string response = isSafe ? host.get("/safe/1") : host.post("/unsafe/1", "body");
            CHECK(statusOf(response) == (isSafe ? expected.safeStatus : expected.unsafeStatus));
            const std::size_t received = host.receivedCount() - receivedBefore;
            CHECK(received == (isSafe ? 2 : expected.unsafeReceived));
            if (statusOf(response) == 200)
                CHECK(headerOf(response, "Test-Signature") == "signed");
        }
    }
}

TEST_CASE("a successful response without the upstream's signature is not forwarded", "[proxy]")
{
    proxy_fixture host(1);
    host.upstream().setBehaviour({});
    CHECK(statusOf(host.post("/unsafe/1", "body")) == 502);
}

TEST_CASE("a late response to another request is discarded", "[proxy]")
{
    proxy_fixture host(1);
    upstream_behaviour lateResponse;
    lateResponse.bytesBeforeResponse = "HTTP/1.1 200 OK\r\nTest-Id: older\r\nTest-Signature: forged\r\nContent-Length: 5\r\n\r\nother";
    host.setBehaviour(lateResponse);
    const std::string response = host.get("/safe/1");
    CHECK(statusOf(response) == 200);
    CHECK(headerOf(response, "Test-Id") == "g1");
    CHECK(headerOf(response, "Test-Signature") == "signed");
    CHECK_FALSE(contains(response, "other"));
}

TEST_CASE("a response without a length is complete if its connection closes cleanly", "[proxy]")
{
    proxy_fixture host(1);
    upstream_behaviour unframed;
    unframed.rawResponse = "HTTP/1.1 200 OK\r\nTest-Id: g1\r\nTest-Signature: signed\r\n\r\nall of it";
    host.setBehaviour(unframed);
    const std::string response = host.post("/unsafe/1", "body");
    CHECK(statusOf(response) == 200);
    CHECK(headerOf(response, "Content-Length") == "9");
    CHECK(contains(response, "all of it"));
}

TEST_CASE("a request is tried at no more upstreams than the route allows", "[proxy]")
{
    proxy_fixture host(3);
    upstream_behaviour crash;
    crash.crashesBeforeRun = true;
    host.setBehaviour(crash);
    CHECK(statusOf(host.get("/safe/1")) == 502);
    CHECK(host.receivedCount() == 2);
}

TEST_CASE("a request whose deadline passes gets a 504 response soon after it", "[proxy]")
{
    proxy_fixture host(1);
    host.upstream().hold(true);
    const instant begin = presentInstant();
    const std::string response = host.post("/unsafe/1", "body", "Test-Deadline-Ms: 400\r\n");
    CHECK(statusOf(response) == 504);
    CHECK(presentInstant() - begin >= std::chrono::milliseconds(400));
    CHECK(presentInstant() - begin < std::chrono::milliseconds(900));
}

TEST_CASE("a slow attempt is cancelled early only if another upstream can be tried", "[proxy]")
{
    for (const unsigned upstreams : { 1U, 2U }) {
        INFO(upstreams << " upstreams");
        proxy_fixture host(upstreams);
        upstream_behaviour slow;
        slow.delay = std::chrono::milliseconds(700);
        host.setBehaviour(slow);
        // The delay is longer than the time of one attempt (0.55 of the deadline), but shorter than the deadline.
        CHECK(statusOf(host.get("/safe/1", "Test-Deadline-Ms: 1000\r\n")) == (upstreams == 1 ? 200 : 504));
        CHECK(host.receivedCount() == upstreams);
    }
}

TEST_CASE("an attempt is cancelled when the client disconnects", "[proxy]")
{
    proxy_fixture host(1);
    host.upstream().hold(true);
    {
        raw_client client(host.clientAddress());
        client.send("GET /safe/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Key sesame\r\nTest-Id: g1\r\n\r\n");
        REQUIRE(host.upstream().waitForReceived(1, receiveTimeout));
    }
    const instant deadline = presentInstant() + std::chrono::milliseconds(500);
    while (host.runtime().counters().value(event::ClientsDisconnected) == 0 && presentInstant() < deadline)
        std::this_thread::yield();
    CHECK(host.runtime().counters().value(event::ClientsDisconnected) == 1);
}

TEST_CASE("a team that exceeds its rate gets a 429 response with Retry-After", "[proxy]")
{
    proxy_fixture host(1);
    serving_config config = proxy_fixture::config(2);
    config.teams["shop"].ratePerSecond = 2;
    config.teams["shop"].burst = 1;
    host.runtime().applyConfig(config);
    std::string response;
    for (int index = 0; index < 3; ++index)
        response = host.get("/safe/1");
    CHECK(statusOf(response) == 429);
    double seconds = 0;
    REQUIRE(absl::SimpleAtod(headerOf(response, "Retry-After"), &seconds));
    CHECK(seconds > 0);
    CHECK(seconds <= 0.5);
}

TEST_CASE("an older configuration does not replace a newer one", "[proxy]")
{
    proxy_fixture host(1);
    serving_config later = proxy_fixture::config(5);
    later.teamByKey.clear();
    host.runtime().applyConfig(later);
    host.runtime().applyConfig(proxy_fixture::config(4));
    CHECK(host.runtime().config()->version == 5);
    CHECK(statusOf(host.get("/safe/1")) == 401);
}

TEST_CASE("a stopping host first reports not ready, then closes client connections, then refuses requests", "[proxy]")
{
    proxy_fixture host(1);
    host.runtime().setPhase(stop_phase::Notice);
    CHECK_FALSE(host.runtime().isReady());
    CHECK(headerOf(host.get("/safe/1"), "Connection") == "keep-alive");
    host.runtime().setPhase(stop_phase::Closing);
    const std::string closing = host.get("/safe/1");
    CHECK(statusOf(closing) == 200);
    CHECK(headerOf(closing, "Connection") == "close");
    host.runtime().setPhase(stop_phase::Ending);
    const std::string refused = host.post("/unsafe/1", "body");
    CHECK(statusOf(refused) == 503);
    CHECK(headerOf(refused, "Connection") == "close");
    CHECK(host.receivedCount() == 2);
}

// Guards against a request that is passed on so late in a planned stop that the exit cuts it off.
TEST_CASE("a host that is about to stop makes no further attempt at a request that was not started", "[proxy]")
{
    proxy_fixture host(2);
    upstream_behaviour notStarted;
    notStarted.refusesToStart = true;
    host.setBehaviour(notStarted);
    host.upstream(0).hold(true);
    host.upstream(1).hold(true);
    auto response = std::async(std::launch::async, [&host] { return host.post("/unsafe/1", "body"); });
    const instant deadline = presentInstant() + receiveTimeout;
    while (host.receivedCount() == 0 && presentInstant() < deadline)
        std::this_thread::yield();
    host.runtime().setPhase(stop_phase::Ending);
    host.upstream(0).hold(false);
    host.upstream(1).hold(false);
    CHECK(statusOf(response.get()) == 503);
    CHECK(host.receivedCount() == 1);
}

} // namespace almondmoor
