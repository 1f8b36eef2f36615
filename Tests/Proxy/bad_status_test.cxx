// Tests responses whose status is none of HTTP.

#include "Proxy/proxy_fixture.h"

#include <absl/strings/str_cat.h>
#include <array>

namespace almondmoor {

namespace {

    struct status_case {
        const char* name;
        std::string statusLine;
    };

    const std::array<status_case, 9> statusLines { {
        { "zero", "HTTP/1.1 000 OK" },
        { "zero without a reason", "HTTP/1.1 000" },
        { "below the interim responses", "HTTP/1.1 099 Early" },
        { "above the errors", "HTTP/1.1 600 Odd" },
        { "three nines", "HTTP/1.1 999 Odd" },
        { "negative", "HTTP/1.1 -20 OK" },
        { "two digits", "HTTP/1.1 20 OK" },
        { "four digits", "HTTP/1.1 2000 OK" },
        { "letters", "HTTP/1.1 2OO OK" },
    } };

    std::string rawResponse(const std::string& statusLine)
    {
        return absl::StrCat(statusLine, "\r\nTest-Id: g1\r\nTest-Signature: signed\r\nContent-Length: 2\r\n\r\nok");
    }

} // namespace

// Guards against an upstream in trouble whose status, e.g. 000, reaches the client as that of an answer.
TEST_CASE("a response with an impossible status is answered with 502, by proxy and by serve", "[status]")
{
    proxy_fixture proxy(1);
    host_fixture serve;
    unsigned number = 0;
    for (const status_case& it : statusLines) {
        for (const bool isReused : { false, true }) {
            INFO(it.name << (isReused ? ", on a connection that is in use again" : ""));
            ++number;
            if (isReused) {
                // The next request takes the connection of this one.
                proxy.setBehaviour({});
                serve.upstream().setBehaviour({});
                CHECK(statusOf(proxy.post(absl::StrCat("/unsafe/good-", number), "body")) == 200);
                CHECK(statusOf(serve.get(absl::StrCat("/refills/good-", number))) == 200);
            }
            upstream_behaviour bad;
            bad.rawResponse = rawResponse(it.statusLine);
            proxy.upstream().setBehaviour(bad);
            serve.upstream().setBehaviour(bad);
            // A path of its own for each request, since a request that crashes upstreams is refused later.
            const std::string response = proxy.post(absl::StrCat("/unsafe/", number), "body");
            CHECK(statusOf(response) == 502);
            CHECK(headerOf(response, "Test-Signature").empty());
            CHECK(response.find("\r\n\r\nok") == std::string::npos);
            const std::string served = serve.get(absl::StrCat("/refills/", number));
            CHECK(statusOf(served) == 502);
            CHECK(headerOf(served, "Almondmoor-Outcome") != "ran");
        }
    }
}

} // namespace almondmoor
