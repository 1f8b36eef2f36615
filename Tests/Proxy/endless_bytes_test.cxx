// Tests that a host serves its other clients while one connection sends or reads bytes without a pause: in the body of a
// request or a response, in a response that is discarded, and in a head.

#include "Proxy/proxy_fixture.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <thread>
#include <vector>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t pieceBytes = std::size_t { 60 } * 1000;
    constexpr duration streamTimeout = 20s;
    // The other clients send this many requests, one after the other.
    constexpr int otherRequests = 10;
    // Much shorter than the timeout of the test's routes.
    constexpr duration maxOtherLatency = 500ms;
    // The timeout of the test's routes, and how much later a response without end must have ended.
    constexpr duration routeTimeout = 1500ms;
    constexpr duration endAllowance = 500ms;
    constexpr std::size_t maxMemoryGrowthKiB = std::size_t { 32 } * 1024;

    // Returns chunks of one size, about pieceBytes in all.
    std::string chunksOf(std::size_t chunkBytes, const std::string& extension = "")
    {
        const std::string chunk = absl::StrCat(absl::Hex(chunkBytes), extension, "\r\n", std::string(chunkBytes, 'z'), "\r\n");
        std::string piece;
        while (piece.size() < pieceBytes)
            piece += chunk;
        return piece;
    }

    // One connection whose bytes have no end.
    struct endless_case {
        const char* name;
        // Sent by the upstream in place of a response.
        std::string upstreamStart;
        std::string upstreamPiece;
        // Sent by the client; the piece over and over, if there is one.
        std::string clientStart;
        std::string clientPiece;
        // Bytes that were transferred when the other clients begin. A head ends early, with a refusal.
        std::uint64_t minBytes = pieceBytes;
    };

    // A client with such a connection, which also reads all that it gets. It stops when it is destroyed.
    class endless_client {
    public:
        endless_client(const std::string& address, const endless_case& it)
            : m_client(address)
        {
            m_client.send(it.clientStart);
            m_thread = std::thread([this, piece = it.clientPiece] { run(piece); });
        }

        ~endless_client()
        {
            m_isStopping = true;
            m_thread.join();
        }

        endless_client(const endless_client&) = delete;
        endless_client& operator=(const endless_client&) = delete;

        std::uint64_t transferredBytes() const { return m_transferredBytes; }

        // Whether the host has closed the connection.
        bool isClosed() const { return m_isClosed; }

    private:
        void run(const std::string& piece)
        {
            byte_stream& stream = m_client.stream();
            while (!m_isStopping && !m_isClosed) {
                if (!piece.empty() && stream.send(piece, presentInstant() + 100ms).ok())
                    m_transferredBytes += piece.size();
                const auto status = piece.empty() ? stream.receive(presentInstant() + 100ms) : absl::OkStatus();
                if (!piece.empty() && !stream.receiveAvailable())
                    m_isClosed = true;
                m_isClosed = m_isClosed || isDisconnected(status);
                m_transferredBytes += stream.buffered().size();
                stream.consume(stream.buffered().size());
            }
        }

        raw_client m_client;
        std::thread m_thread;
        std::atomic<bool> m_isStopping { false };
        std::atomic<bool> m_isClosed { false };
        std::atomic<std::uint64_t> m_transferredBytes { 0 };
    };

    template <typename Condition>
    bool becomesTrue(Condition condition)
    {
        const instant deadline = presentInstant() + streamTimeout;
        while (!condition() && presentInstant() < deadline)
            std::this_thread::yield();
        return condition();
    }

    // Sends requests of another client, one after the other. Returns how many were served in time
    // before the first one that was not.
    template <typename SendRequest>
    int countServedInTime(SendRequest sendRequest)
    {
        int served = 0;
        for (int index = 0; index < otherRequests; ++index) {
            const instant begin = presentInstant();
            const bool isServed = statusOf(sendRequest()) == 200;
            if (!isServed || presentInstant() - begin >= maxOtherLatency)
                break;
            ++served;
        }
        return served;
    }

    std::string requestHead(const std::string& method, const std::string& target, const std::string& headers = "")
    {
        return absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Key sesame\r\nTest-Id: g1\r\n", headers, "\r\n");
    }

    const std::string ownHead = "HTTP/1.1 200 OK\r\nTest-Id: g1\r\nTest-Signature: signed\r\n";
    const std::string olderHead = "HTTP/1.1 200 OK\r\nTest-Id: older\r\nTest-Signature: signed\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string longExtension = absl::StrCat(";", std::string(200, 'x'));
    const std::string get = requestHead("GET", "/safe/1?endless=yes");

    // All clients may use the route /open/ (proxy) or /open (serve).
    std::string openHead(const std::string& method, const std::string& target, const std::string& headers = "")
    {
        return absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: a.example\r\n", headers, "\r\n");
    }

    const std::vector<endless_case> proxyCases {
        { "a response in chunks of 16 bytes", absl::StrCat(ownHead, chunked, "\r\n"), chunksOf(16), get, "" },
        { "a response in chunks of one byte with long extensions", absl::StrCat(ownHead, chunked, "\r\n"), chunksOf(1, longExtension), get, "" },
        { "a response of a stated length", absl::StrCat(ownHead, "Content-Length: 100000000000\r\n\r\n"), std::string(pieceBytes, 'z'), get, "" },
        { "a response that ends with its connection", absl::StrCat(ownHead, "\r\n"), std::string(pieceBytes, 'z'), get, "" },
        { "an extra response in chunks of one byte", absl::StrCat(olderHead, chunked, "\r\n"), chunksOf(1), get, "" },
        { "an extra response of a stated length", absl::StrCat(olderHead, "Content-Length: 100000000000\r\n\r\n"), std::string(pieceBytes, 'z'), get, "" },
        { "a response head", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", get, "", 1 },
        { "interim responses", "", "HTTP/1.1 103 Hints\r\n\r\n", get, "", 1 },
        { "an upload in chunks of 32 bytes", "", "", requestHead("POST", "/unsafe/1", chunked), chunksOf(32) },
        { "an upload in chunks of one byte with long extensions", "", "", requestHead("POST", "/unsafe/1", chunked), chunksOf(1, longExtension) },
        { "an upload of a stated length", "", "", requestHead("POST", "/unsafe/1", "Content-Length: 60000000000\r\n"), std::string(pieceBytes, 'z') },
        { "a request that is refused before its body", "", "", requestHead("POST", "/nowhere/1", chunked), chunksOf(32) },
        { "a request head", "", "", "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\n", "X-More: 1\r\n" },
    };

    const std::string openGet = openHead("GET", "/open?endless=yes");

    const std::vector<endless_case> serveCases {
        { "a response in chunks of 16 bytes", absl::StrCat("HTTP/1.1 200 OK\r\n", chunked, "\r\n"), chunksOf(16), openGet, "" },
        { "a response of a stated length", "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", std::string(pieceBytes, 'z'), openGet, "" },
        { "a response head", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", openGet, "", 1 },
        { "interim responses", "", "HTTP/1.1 103 Hints\r\n\r\n", openGet, "", 1 },
        { "an upload in chunks of 32 bytes", "", "", openHead("POST", "/open", chunked), chunksOf(32) },
        { "an upload of a stated length", "", "", openHead("POST", "/open", "Content-Length: 4000000000\r\n"), std::string(pieceBytes, 'z') },
        { "a request that is refused before its body", "", "", openHead("POST", "/nowhere", chunked), chunksOf(32) },
        { "a request head", "", "", "GET /open HTTP/1.1\r\nHost: a.example\r\n", "X-More: 1\r\n" },
    };

    template <typename Host>
    void setEndless(Host& host, unsigned upstreams, const endless_case& it)
    {
        upstream_behaviour behaviour;
        behaviour.endlessStart = it.upstreamStart;
        behaviour.endlessPiece = it.upstreamPiece;
        for (unsigned index = 0; index < upstreams; ++index)
            host.upstream(index).setBehaviour(proxy_fixture::withProtocolHeaders(behaviour));
    }

    // Plays a case and returns how many requests of other clients are served in time meanwhile.
    template <typename Host>
    int playCase(Host& host, unsigned upstreams, const endless_case& it, const std::string& path)
    {
        setEndless(host, upstreams, it);
        REQUIRE(statusOf(host.get(path)) == 200);
        endless_client endless(host.clientAddress(), it);
        const auto transferredBytes = [&] {
            std::uint64_t bytes = endless.transferredBytes();
            for (unsigned index = 0; index < upstreams; ++index)
                bytes += host.upstream(index).endlessBytes();
            return bytes;
        };
        CHECK(becomesTrue([&] { return endless.isClosed() || transferredBytes() >= it.minBytes; }));
        return countServedInTime([&] { return host.get(path); });
    }

} // namespace

// Guards against a host that answers nobody because one stream of bytes never lets its handler wait.
TEST_CASE("a proxying host serves others in time while one connection sends or reads bytes without end", "[endless]")
{
    constexpr unsigned upstreams = 3;
    for (const endless_case& it : proxyCases) {
        DYNAMIC_SECTION(it.name)
        {
            proxy_fixture host(upstreams);
            serving_config config = proxy_fixture::config(2);
            config.limits.maxBodyBytes = std::uint64_t { 1 } << 40;
            host.runtime().applyConfig(config);
            CHECK(playCase(host, upstreams, it, "/safe/1") == otherRequests);
        }
    }
}

// Guards against the same on a host whose handlers run on threads: one connection may take one of them.
TEST_CASE("a serving host serves others in time while one connection sends or reads bytes without end", "[endless]")
{
    constexpr unsigned upstreams = 3;
    for (const endless_case& it : serveCases) {
        DYNAMIC_SECTION(it.name)
        {
            host_fixture host(upstreams, [](serve_settings& settings) { settings.clientWorkers = 2; });
            CHECK(playCase(host, upstreams, it, "/open") == otherRequests);
        }
    }
}

// Guards against a host that keeps all bytes that an upstream sends and runs out of memory, and against a response that
// keeps its request open for as long as the upstream sends.
TEST_CASE("bytes without end from an upstream are not kept in memory and end at the route's timeout", "[endless]")
{
    for (const endless_case& it : proxyCases) {
        if (!it.clientPiece.empty())
            continue;
        DYNAMIC_SECTION(it.name)
        {
            proxy_fixture host(1);
            setEndless(host, 1, it);
            REQUIRE(statusOf(host.get("/safe/1")) == 200);
            const std::size_t memoryBefore = residentKiB();
            endless_client endless(host.clientAddress(), it);
            REQUIRE(host.upstream().waitForReceived(2, streamTimeout));
            const instant deadline = presentInstant() + routeTimeout + endAllowance;
            while (host.listener().runningCount() > 0 && presentInstant() < deadline)
                std::this_thread::yield();
            CHECK(host.listener().runningCount() == 0);
            CHECK(residentKiB() < memoryBefore + maxMemoryGrowthKiB);
        }
    }
}

} // namespace almondmoor
