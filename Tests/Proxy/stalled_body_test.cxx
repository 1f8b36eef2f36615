// Tests bodies that stall on their way: the request's deadline ends them, and the client's leaving does at once.

#include "Proxy/proxy_fixture.h"

#include <absl/strings/str_cat.h>
#include <thread>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    // The timeout of the routes of proxy_fixture, and how much later the host must have answered.
    constexpr duration routeTimeout = 1500ms;
    constexpr duration answerAllowance = 500ms;
    // How soon after its client's leaving a request must end.
    constexpr duration leavingAllowance = 500ms;
    // More than the buffers of the connections hold.
    constexpr std::size_t uploadBytes = std::size_t { 48 } << 20;

    const std::string signedHead = "HTTP/1.1 200 OK\r\nTest-Id: g1\r\nTest-Signature: signed\r\n";

    std::string requestHead(const std::string& method, const std::string& target, const std::string& headers = "")
    {
        return absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Key sesame\r\nTest-Id: g1\r\n", headers, "\r\n");
    }

    std::string uploadHead(const std::string& target)
    {
        return requestHead("POST", target, absl::StrCat("Content-Length: ", uploadBytes, "\r\n"));
    }

    // Sends the body of an upload until it is complete or the host closes the connection.
    void sendUpload(raw_client& client)
    {
        client.send(std::string(uploadBytes, 'z'));
    }

    bool endsWithin(const http_listener& listener, duration timeout)
    {
        const instant deadline = presentInstant() + timeout;
        while (listener.runningCount() > 0 && presentInstant() < deadline)
            std::this_thread::yield();
        return listener.runningCount() == 0;
    }

    bool begins(const http_listener& listener)
    {
        const instant deadline = presentInstant() + 5s;
        while (listener.runningCount() == 0 && presentInstant() < deadline)
            std::this_thread::yield();
        return listener.runningCount() > 0;
    }

    // Waits until the host has got all that the upstream sends, so that it waits for more.
    void waitForStall()
    {
        const instant until = presentInstant() + 100ms;
        while (presentInstant() < until)
            std::this_thread::yield();
    }

} // namespace

// Guards against an upload whose answer waits for an upstream that takes no more of it.
TEST_CASE("an upload to an upstream that reads nothing is answered at the route's timeout", "[stalled]")
{
    for (const char* target : { "/safe/1", "/unsafe/1" }) {
        INFO(target);
        proxy_fixture host(1);
        host.upstream().hold(true);
        raw_client client(host.clientAddress());
        const instant begin = presentInstant();
        client.send(uploadHead(target));
        std::thread sender([&client] { sendUpload(client); });
        sender.join();
        const std::string response = client.receive();
        CHECK(statusOf(response) == 504);
        CHECK(presentInstant() - begin >= routeTimeout);
        CHECK(presentInstant() - begin < routeTimeout + answerAllowance);
    }
}

// Guards against an answer that the host doesn't read because it still sends the request's body.
TEST_CASE("an upstream that answers an upload without reading it is heard at once", "[stalled]")
{
    proxy_fixture host(1);
    upstream_behaviour early;
    early.respondsBeforeBody = true;
    early.status = 403;
    host.setBehaviour(early);
    raw_client client(host.clientAddress());
    const instant begin = presentInstant();
    client.send(uploadHead("/unsafe/1"));
    sendUpload(client);
    CHECK(statusOf(client.receive()) == 403);
    CHECK(presentInstant() - begin < routeTimeout);
}

// Guards against a response that has begun and never ends because its upstream stalls.
TEST_CASE("a response that stalls midway ends at the route's timeout and does not look complete", "[stalled]")
{
    struct row {
        const char* name;
        std::string framing;
        std::string start;
    };
    const std::string large(std::size_t { 400 } * 1024, 'z');
    const std::vector<row> rows {
        { "stated length", "Content-Length: 1000000\r\n\r\n", large },
        { "chunked", "Transfer-Encoding: chunked\r\n\r\n", writeChunk(large) },
        { "in the middle of a chunk's size", "Transfer-Encoding: chunked\r\n\r\n", writeChunk(large) + "1" },
        { "until the connection ends", "\r\n", large },
    };
    for (const row& it : rows) {
        INFO(it.name);
        proxy_fixture host(1);
        upstream_behaviour stalling;
        stalling.endlessStart = absl::StrCat(signedHead, it.framing, it.start);
        host.setBehaviour(stalling);
        raw_client client(host.clientAddress());
        const instant begin = presentInstant();
        const std::string response = client.roundTrip(requestHead("GET", "/safe/1?endless=yes"));
        CHECK(statusOf(response) == 200);
        CHECK(response.size() > large.size());
        CHECK(response.substr(response.size() - 5) == "[cut]");
        CHECK(presentInstant() - begin >= routeTimeout);
        CHECK(presentInstant() - begin < routeTimeout + answerAllowance);
    }
}

// Guards against work that goes on for a client that has left while a body is on its way.
TEST_CASE("a request whose body stalls ends when its client leaves", "[stalled]")
{
    struct row {
        const char* name;
        bool isUpload;
        std::string start;
    };
    const std::vector<row> rows {
        { "upload", true, "" },
        { "head of a response", false, "HTTP/1.1 200 OK\r\nTest-Id: g1\r\n" },
        { "buffered response", false, absl::StrCat(signedHead, "Content-Length: 1000\r\n\r\nbegin") },
        { "forwarded response", false, absl::StrCat(signedHead, "Content-Length: 1000000\r\n\r\n", std::string(std::size_t { 400 } * 1024, 'z')) },
    };
    for (const row& it : rows) {
        INFO(it.name);
        proxy_fixture host(1);
        upstream_behaviour stalling;
        stalling.endlessStart = it.start;
        host.setBehaviour(stalling);
        host.upstream().hold(it.isUpload);
        {
            raw_client client(host.clientAddress());
            client.send(it.isUpload ? uploadHead("/unsafe/1") + std::string(std::size_t { 1 } << 20, 'z') : requestHead("GET", "/unsafe/1?endless=yes"));
            REQUIRE(begins(host.listener()));
            REQUIRE(host.upstream().waitForReceived(1, 5s));
            waitForStall();
        }
        CHECK(endsWithin(host.listener(), leavingAllowance));
    }
}

TEST_CASE("a serving host ends a response that stalls when its client leaves", "[stalled]")
{
    host_fixture host;
    host.upstream().setBehaviour({ .endlessStart = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", std::string(std::size_t { 400 } * 1024, 'z')) });
    {
        raw_client client(host.clientAddress());
        client.send(host.requestText("GET", "/refills?endless=yes", "", ""));
        REQUIRE(host.upstream().waitForReceived(1, 5s));
        waitForStall();
    }
    CHECK(endsWithin(host.clientListener(), leavingAllowance));
}

} // namespace almondmoor
