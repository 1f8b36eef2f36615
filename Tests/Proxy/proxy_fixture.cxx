#include "Proxy/proxy_fixture.h"

#include "route_handler.h"

#include <absl/strings/str_cat.h>

namespace almondmoor {

namespace {

    constexpr unsigned guestPort = 20;
    constexpr unsigned firstUpstreamPort = 21;
    constexpr unsigned workers = 16;
    constexpr unsigned connections = 256;

    route_config routeOf(const std::string& name, bool isRepeatable, bool isOpen)
    {
        route_config it;
        it.name = name;
        it.host = "a.example";
        it.prefix = absl::StrCat("/", name, "/");
        it.isIdempotent = isRepeatable;
        it.isPublic = isOpen;
        it.timeout = std::chrono::milliseconds(1500);
        it.targetLatency = std::chrono::milliseconds(600);
        it.maxAttempts = 2;
        it.parts = { { "orders", 1 } };
        return it;
    }

} // namespace

wire_names testWireNames()
{
    return { "Test-Id", "Test-Deadline-Ms", "Test-Signature", "Test-Team", "Test-Expected", "Test-Not-Started", "Key" };
}

serving_config proxy_fixture::plan(std::uint64_t version)
{
    serving_config it;
    it.version = version;
    it.addRoute(routeOf("safe", true, false));
    it.addRoute(routeOf("unsafe", false, false));
    it.addRoute(routeOf("open", true, true));
    it.teams["shop"] = { "shop", 0, 0, std::nullopt };
    it.teamByKey["sesame"] = "shop";
    return it;
}

proxy_fixture::proxy_fixture(unsigned upstreams, bool publishesPlan)
{
    m_settings.hostName = "host-1";
    m_settings.dataCentre = "local";
    m_settings.clientAddress = localAddress(guestPort);
    m_settings.bodyTimeout = std::chrono::seconds(5);
    m_settings.requestTimeout = std::chrono::seconds(5);
    m_settings.connectTimeout = std::chrono::milliseconds(500);
    m_settings.seed = 1;
    for (unsigned index = 0; index < upstreams; ++index)
        m_upstreams.push_back(std::make_unique<stand_in_upstream>(localAddress(firstUpstreamPort + index)));
    setBehaviour({});
    m_runtime = std::make_unique<proxy_runtime>(m_settings, testWireNames());
    const listener_settings listener { m_settings.clientAddress, workers, connections, std::chrono::seconds(2), std::chrono::seconds(30) };
    m_guests = std::make_unique<http_listener>(
        listener, [this](http_exchange& exchange) { return route_handler(*m_runtime, exchange).serve(); }, listener_events { [] {}, [] {}, [](bool) {} });
    m_guests->start();
    if (publishesPlan) {
        m_runtime->applyConfig(plan(1));
        publishUpstreams();
    }
}

proxy_fixture::~proxy_fixture()
{
    for (auto& it : m_upstreams)
        it->hold(false);
    m_guests->stop();
}

void proxy_fixture::publishUpstreams()
{
    table_update update;
    update.isWhole = true;
    for (unsigned index = 0; index < m_upstreams.size(); ++index)
        update.rows.push_back({ absl::StrCat("u", index), localAddress(firstUpstreamPort + index), index + 1, false });
    m_runtime->applyUpstreams(update, [](const stored_row& row, instant) -> absl::StatusOr<upstream_record> {
        upstream_record it;
        it.entry.id = row.key;
        it.entry.address = row.value;
        it.entry.service = "orders";
        it.entry.dataCentre = "local";
        it.entry.slots = 3;
        return it;
    });
}

upstream_behaviour proxy_fixture::sound(upstream_behaviour it)
{
    it.extraHeaders += "Test-Signature: signed\r\n";
    it.echoedHeader = "Test-Id";
    it.notStartedLine = "Test-Not-Started: 1";
    return it;
}

void proxy_fixture::setBehaviour(const upstream_behaviour& behaviour)
{
    for (auto& it : m_upstreams)
        it->setBehaviour(sound(behaviour));
}

std::string proxy_fixture::get(const std::string& path, const std::string& headers)
{
    raw_guest guest(guestAddress());
    return guest.ask(absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Key sesame\r\nTest-Id: g1\r\n", headers, "\r\n"));
}

std::string proxy_fixture::post(const std::string& path, const std::string& body, const std::string& headers)
{
    raw_guest guest(guestAddress());
    return guest.ask(absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Key sesame\r\nTest-Id: g1\r\nContent-Length: ", body.size(), "\r\n", headers, "\r\n", body));
}

std::size_t proxy_fixture::runCount() const
{
    std::size_t count = 0;
    for (const auto& it : m_upstreams)
        count += it->runs().size();
    return count;
}

std::size_t proxy_fixture::receivedCount() const
{
    std::size_t count = 0;
    for (const auto& it : m_upstreams)
        count += it->receivedCount();
    return count;
}

} // namespace almondmoor
