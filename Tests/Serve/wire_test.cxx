// Sends raw bytes to the client port: ambiguous heads, slow clients, many clients at the same time and streamed bodies.

#include "Serve/host_fixture.h"

#include <absl/strings/str_cat.h>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    struct head_case {
        const char* name;
        std::string bytes;
        int status;
    };

    const std::vector<head_case> badHeads {
        { "length and coding", "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "two lengths", "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400 },
        { "equal lengths twice", "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400 },
        { "signed length", "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", 400 },
        { "length list", "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", 400 },
        { "unknown coding", "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400 },
        { "two codings", "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "coding in HTTP/1.0", "POST /open HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "bad chunk size", "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400 },
        { "negative chunk size", "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n", 400 },
        { "chunk longer than its size", "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", 400 },
        { "space before the colon", "GET /open HTTP/1.1\r\nHost : a\r\n\r\n", 400 },
        { "folded header", "GET /open HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400 },
        { "NUL in a header", std::string("GET /open HTTP/1.1\r\nHost: a\r\nX: b\0c\r\n\r\n", 39), 400 },
        { "bare LF", "GET /open HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400 },
        { "bare CR", "GET /open HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", 400 },
        { "no host", "GET /open HTTP/1.1\r\n\r\n", 400 },
        { "two hosts", "GET /open HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400 },
        { "HTTP/9.9", "GET /open HTTP/9.9\r\nHost: a\r\n\r\n", 400 },
        { "CONNECT", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
        { "absolute target", "GET http://a/open HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
        { "no version", "GET /open\r\nHost: a\r\n\r\n", 400 },
        { "large head", absl::StrCat("GET /open HTTP/1.1\r\nHost: a\r\nX: ", std::string(20'000, 'x'), "\r\n\r\n"), 431 },
        { "operator path", "POST /command HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nshow teams", 404 },
    };

} // namespace

TEST_CASE("an ambiguous or oversized request is refused and the connection closed", "[wire]")
{
    host_fixture host;
    for (const head_case& it : badHeads) {
        INFO(it.name);
        raw_client client(host.clientAddress());
        const std::string response = client.roundTrip(it.bytes);
        CHECK(statusOf(response) == it.status);
        CHECK(headerOf(response, "Almondmoor-Outcome") == "not-run");
        if (it.status != 404)
            CHECK(headerOf(response, "Connection") == "close");
    }
    CHECK(host.runCount() == 0);
}

TEST_CASE("bodies are forwarded unchanged in both directions and in every framing", "[wire]")
{
    host_fixture host;
    const std::string chunked = "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: secret\r\n\r\n";
    CHECK(statusOf(raw_client(host.clientAddress()).roundTrip(chunked)) == 200);
    CHECK(host.upstream().runs().back().body == "abc0123456789");
    CHECK(host.upstream().runs().back().head.find("X-T") == std::string::npos);

    const std::string large(1'000'000, 'z');
    CHECK(statusOf(raw_client(host.clientAddress()).roundTrip(host.requestText("POST", "/refills", large, ""))) == 200);
    CHECK(host.upstream().runs().back().body == large);

    for (const char* query : { "?bytes=300000", "?bytes=300000&chunked=yes" }) {
        const std::string response = host.get(absl::StrCat("/refills", query));
        const std::string body = response.substr(response.find("\r\n\r\n") + 4);
        CHECK(body.size() == 300'000);
        bool isPattern = true;
        for (std::size_t index = 0; index < body.size(); ++index)
            isPattern = isPattern && body[index] == static_cast<char>('a' + index % 23);
        CHECK(isPattern);
    }
}

TEST_CASE("responses without bodies do not desynchronize the connection", "[wire]")
{
    host_fixture host;
    raw_client client(host.clientAddress());
    client.send("HEAD /open HTTP/1.1\r\nHost: a\r\n\r\n");
    client.send("GET /open?status=204&bytes=0 HTTP/1.1\r\nHost: a\r\n\r\n");
    client.send("GET /open?status=304&bytes=0 HTTP/1.1\r\nHost: a\r\n\r\n");
    client.send("GET /open?bytes=5 HTTP/1.1\r\nHost: a\r\n\r\n");
    const instant deadline = presentInstant() + 10s;
    std::string all;
    while (all.find("abcde") == std::string::npos && client.stream().receive(deadline).ok())
        all = std::string(client.stream().buffered());
    CHECK(all.find("HTTP/1.1 200") == 0);
    CHECK(all.find("HTTP/1.1 204") != std::string::npos);
    CHECK(all.find("HTTP/1.1 304") != std::string::npos);
    CHECK(all.rfind("HTTP/1.1 200") > all.find("HTTP/1.1 304"));
}

TEST_CASE("each of many concurrent clients gets its own responses", "[wire]")
{
    host_fixture host(3);
    std::atomic<unsigned> wrong { 0 };
    constexpr unsigned clientCount = 8;
    // The clients connect here, since assertions must run on the thread of the test.
    std::vector<std::unique_ptr<raw_client>> clients;
    for (unsigned thread = 0; thread < clientCount; ++thread)
        clients.push_back(std::make_unique<raw_client>(host.clientAddress()));
    std::vector<std::thread> threads;
    for (unsigned thread = 0; thread < clientCount; ++thread) {
        threads.emplace_back([&, thread] {
            raw_client& client = *clients[thread];
            for (unsigned number = 0; number < 50; ++number) {
                const std::string marker = absl::StrCat("g", thread, "-", number);
                const std::string response = client.roundTrip(host.requestText("GET", absl::StrCat("/refills?delay-ms=", number % 3), "", absl::StrCat("Guest-Number: ", marker, "\r\n")));
                wrong += headerOf(response, "For") == marker ? 0 : 1;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(wrong == 0);
}

TEST_CASE("two thousand idle clients cost little memory and another client is still served", "[wire]")
{
    host_fixture host;
    const std::size_t before = residentKiB();
    std::vector<std::unique_ptr<raw_client>> idle;
    for (unsigned number = 0; number < 2'000; ++number) {
        idle.push_back(std::make_unique<raw_client>(host.clientAddress()));
        // Every second client starts a head and never completes it.
        if (number % 2 == 0)
            idle.back()->send("GET /open HTTP/1.1\r\nHos");
    }
    CHECK(statusOf(host.get("/refills")) == 200);
    // The difference includes the memory of the clients, which run in this process.
    CHECK(residentKiB() - before < std::size_t { 64 } * 1024);
}

TEST_CASE("a large response is streamed in bounded memory", "[wire]")
{
    host_fixture host;
    const std::size_t before = residentKiB();
    constexpr std::uint64_t size = std::uint64_t { 1 } << 30;
    raw_client client(host.clientAddress());
    client.send(host.requestText("GET", absl::StrCat("/refills?bytes=", size), "", "Almondmoor-Deadline-Ms: 60000\r\n"));
    const instant deadline = presentInstant() + 60s;
    while (!headLength(client.stream().buffered()))
        REQUIRE(client.stream().receive(deadline).ok());
    client.stream().consume(*headLength(client.stream().buffered()));
    body_reader body(client.stream(), { body_kind::Length, size });
    std::uint64_t received = 0;
    bool isPattern = true;
    while (!body.isAtEnd()) {
        const auto piece = body.next(deadline);
        REQUIRE(piece.ok());
        if (!piece->empty())
            isPattern = isPattern && piece->front() == static_cast<char>('a' + received % 23) && piece->back() == static_cast<char>('a' + (received + piece->size() - 1) % 23);
        received += piece->size();
    }
    CHECK(received == size);
    CHECK(isPattern);
    CHECK(residentKiB() - before < std::size_t { 100 } * 1024);
}

} // namespace almondmoor
