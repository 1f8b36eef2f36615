// Tests responses whose head breaks off.

#include "Proxy/proxy_fixture.h"

#include <absl/strings/str_cat.h>
#include <array>

namespace almondmoor {

namespace {

    // The responses are cut at each of their bytes.
    struct response_case {
        const char* name;
        std::string head;
    };

    std::string responseHead(const std::string& framing)
    {
        return absl::StrCat("HTTP/1.1 200 OK\r\nTest-Id: g1\r\nTest-Signature: signed\r\n", framing, "\r\n");
    }

    const std::array<response_case, 3> responses { {
        { "stated length", responseHead("Content-Length: 5\r\n") },
        { "chunked", responseHead("Transfer-Encoding: chunked\r\n") },
        { "until the connection ends", responseHead("") },
    } };

} // namespace

// Guards against a response that stops in the middle of its head and reaches the client as a complete success.
TEST_CASE("a response whose head breaks off at any byte is no success, by proxy and by serve", "[cut]")
{
    proxy_fixture proxy(1);
    host_fixture serve;
    for (const response_case& it : responses) {
        for (std::size_t length = 1; length < it.head.size(); ++length) {
            INFO(it.name << ", " << length << " bytes");
            upstream_behaviour cut;
            cut.rawResponse = it.head.substr(0, length);
            cut.resetsAfterRawResponse = length % 2 == 0;
            proxy.upstream().setBehaviour(cut);
            // A path of its own for each request, since a request that crashes upstreams is refused later.
            CHECK(statusOf(proxy.post(absl::StrCat("/unsafe/", it.head.size(), "-", length), "body")) == 502);
            serve.upstream().setBehaviour(cut);
            const std::string response = serve.get(absl::StrCat("/refills/", it.head.size(), "-", length));
            CHECK(statusOf(response) >= 500);
            CHECK(headerOf(response, "Almondmoor-Outcome") != "ran");
        }
    }
}

} // namespace almondmoor
