// Compares whole sessions of an operator and of a client with golden files.
//
// If ALMONDMOOR_WRITE_GOLDEN is set, the test rewrites the golden files. Review the changes before committing them.

#include "Serve/host_fixture.h"

#include <absl/strings/str_cat.h>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

namespace almondmoor {

namespace {

    std::string readFile(const std::string& path)
    {
        std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    // Replaces the values that differ from run to run, such as ids, secrets and addresses, by placeholders.
    std::string normalized(std::string text, const host_fixture& host)
    {
        const std::vector<std::pair<std::string, std::string>> patterns { { "[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}", "<change>" },
            { "secret [A-Za-z0-9_=-]{40,}", "secret <secret>" }, { "host-1-[0-9a-f]+-", "host-1-<start>-" }, { "incarnation [0-9]+", "incarnation <start>" },
            { "took [0-9.]+ ms", "took <time> ms" } };
        for (unsigned index = 0; index < 2; ++index) {
            const std::string address = host.upstreamAddress(index);
            for (auto position = text.find(address); position != std::string::npos; position = text.find(address))
                text.replace(position, address.size(), absl::StrCat("127.0.0.1:900", index + 1));
        }
        for (const auto& [pattern, placeholder] : patterns)
            text = std::regex_replace(text, std::regex(pattern), placeholder);
        return text;
    }

    void compareWithGolden(const std::string& name, const std::string& text)
    {
        const std::string path = absl::StrCat(ALMONDMOOR_SESSIONS, "/", name);
        if (std::getenv("ALMONDMOOR_WRITE_GOLDEN"))
            std::ofstream(path) << text;
        CHECK(text == readFile(path));
    }

} // namespace

TEST_CASE("an operator's session matches its golden file", "[session]")
{
    host_fixture host(2);
    const std::vector<std::string> lines { "show teams", "create team tents rate 20/s burst 40 weight 2", "create team tents rate 20/s burst 40", "create team tents rate fast",
        "creat team tents", "change team tents rate 30/s", "change team tents", "create key k-2 for team tents", "create key k-2 for team tents", "create key for team nobody",
        "show keys where team = tents", "withdraw key k-2", "withdraw key k-2", "create route /tents to nowhere teams tents", "create route tents to refills teams tents",
        "create route /tents to refills teams tents,cooling repeatable", "show routes order by route limit 3", "remove team cooling",
        absl::StrCat("drain upstream ", host.upstreamAddress(1)), "show upstreams where duty = draining", absl::StrCat("restore upstream ", host.upstreamAddress(1)),
        absl::StrCat("retire upstream ", host.upstreamAddress(1)), "show upstreams", "show teams where size = 3", "show nothing", "explain request none", "status change none",
        "join host h9 incarnation 1 at 10.0.0.9:1 in local-1", "remove host h9", "remove route /tents", "PLATFORM away", "create team late rate 1/s burst 1", "show teams order by rate limit 2",
        "PLATFORM lost", "create team late rate 1/s burst 1", "show changes where author = rival", "PLATFORM back", "RIVAL create team race rate 1/s burst 1", "create team race rate 2/s burst 2",
        "show changes order by version limit 3" };
    std::string session;
    for (const auto& line : lines) {
        absl::StrAppend(&session, "> ", line, "\n");
        int status = 0;
        if (line == "PLATFORM away")
            host.platform().setFaults({ true, 0 });
        else if (line == "PLATFORM lost")
            host.platform().setFaults({ false, 1 });
        else if (line == "PLATFORM back")
            host.platform().setFaults({});
        else if (line.rfind("RIVAL ", 0) == 0)
            session += host.operators().run(line.substr(6), "rival", status);
        else
            session += host.operators().run(line, "test", status);
    }
    compareWithGolden("operator.session", normalized(session, host));
}

TEST_CASE("a client's session matches its golden file", "[session]")
{
    host_fixture host;
    raw_client client(host.clientAddress());
    struct client_exchange {
        std::string method;
        std::string path;
        std::string body;
        std::string headers;
    };
    const std::vector<client_exchange> exchanges { { "GET", "/refills/today", "", "" }, { "POST", "/refills/order", "ten poles", "" }, { "GET", "/elsewhere", "", "" },
        { "GET", "/harbour", "", "" }, { "POST", "/payments", "pay 5", "" }, { "POST", "/payments", "pay 5", "Idempotency-Key: p-1\r\n" },
        { "POST", "/payments", "pay 5", "Idempotency-Key: p-1\r\n" }, { "GET", "/refills?status=404", "", "" }, { "GET", "/refills", "", "Almondmoor-Deadline-Ms: soon\r\n" },
        { "GET", "/refills?chunked=yes&bytes=5", "", "" }, { "HEAD", "/refills", "", "" } };
    std::string session;
    for (const auto& exchange : exchanges) {
        absl::StrAppend(&session, "> ", exchange.method, " ", exchange.path, " ", exchange.headers.substr(0, exchange.headers.find('\r')), " ", exchange.body, "\n");
        if (exchange.method == "HEAD") {
            client.send(host.requestText("HEAD", exchange.path, "", ""));
            const instant deadline = presentInstant() + std::chrono::seconds(5);
            while (!headLength(client.stream().buffered()) && client.stream().receive(deadline).ok()) { }
            absl::StrAppend(&session, std::string(client.stream().buffered()), "\n");
        } else {
            absl::StrAppend(&session, client.roundTrip(host.requestText(exchange.method, exchange.path, exchange.body, exchange.headers)), "\n");
        }
    }
    compareWithGolden("guest.session", std::regex_replace(normalized(session, host), std::regex("\r"), ""));
}

} // namespace almondmoor
