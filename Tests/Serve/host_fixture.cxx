#include "Serve/host_fixture.h"

#include <absl/strings/str_cat.h>
#include <fstream>
#include <unistd.h>

namespace almondmoor {

namespace {

    constexpr duration waitTimeout = std::chrono::seconds(20);
    constexpr unsigned firstPort = 20'000;
    constexpr unsigned portsPerProcess = 40;
    constexpr unsigned portBlocks = 250;

    // Returns the first port of this process, which is derived from the process id.
    unsigned portBase()
    {
        return firstPort + static_cast<unsigned>(getpid()) % portBlocks * portsPerProcess;
    }

} // namespace

std::string localAddress(unsigned offset)
{
    return absl::StrCat("127.0.0.1:", portBase() + offset);
}

raw_client::raw_client(const std::string& address)
{
    Poco::Net::StreamSocket socket;
    REQUIRE(byte_stream::connect(address, presentInstant() + waitTimeout, socket).ok());
    m_stream = std::make_unique<byte_stream>(socket);
}

void raw_client::send(const std::string& bytes)
{
    (void)m_stream->send(bytes, presentInstant() + waitTimeout);
}

std::string raw_client::receive()
{
    const instant deadline = presentInstant() + waitTimeout;
    while (!headLength(m_stream->buffered())) {
        if (!m_stream->receive(deadline).ok())
            return std::string(m_stream->buffered());
    }
    const std::size_t length = *headLength(m_stream->buffered());
    std::string received(m_stream->buffered().substr(0, length));
    m_stream->consume(length);
    Poco::Net::HTTPResponse response;
    body_framing framing;
    if (!readResponseHead(received, "GET", response, framing).ok())
        return received;
    body_reader body(*m_stream, framing);
    while (!body.isAtEnd()) {
        const auto piece = body.next(deadline);
        if (!piece.ok())
            return received + "[cut]";
        received += *piece;
    }
    return received;
}

std::string raw_client::roundTrip(const std::string& bytes)
{
    send(bytes);
    return receive();
}

host_fixture::host_fixture(unsigned upstreams, const std::function<void(serve_settings&)>& adjust)
    : m_platform(std::make_shared<memory_platform>())
{
    m_settings.hostName = "host-1";
    m_settings.dataCentre = "local-1";
    m_settings.clientAddress = localAddress(0);
    m_settings.operatorAddress = localAddress(1);
    m_settings.peerAddress = localAddress(2);
    m_settings.operatorKey = "operator-secret";
    m_settings.clientWorkers = 64;
    m_settings.clientConnections = 4096;
    m_settings.headTimeout = std::chrono::seconds(5);
    m_settings.bodyTimeout = std::chrono::seconds(5);
    m_settings.idleTimeout = std::chrono::seconds(60);
    m_settings.requestTimeout = std::chrono::seconds(5);
    m_settings.connectTimeout = std::chrono::milliseconds(500);
    m_settings.maxTokenWait = std::chrono::milliseconds(400);
    m_settings.maxBodyBytes = std::uint64_t { 4 } << 30;
    m_settings.seed = 7;
    // Tests send too few requests to earn a retry budget, so the host starts with one.
    m_settings.traffic.budget.initialBalance = 5;
    if (adjust)
        adjust(m_settings);

    for (unsigned index = 0; index < upstreams; ++index)
        m_upstreams.push_back(std::make_unique<stand_in_upstream>(upstreamAddress(index)));
    m_runtime = std::make_unique<host_runtime>(m_settings, any_platform(m_platform));
    m_control = std::make_unique<control_loop>(*m_runtime);
    m_operatorHandler = std::make_unique<operator_handler>(*m_runtime, *m_control);
    REQUIRE(m_control->start().ok());
    const listener_settings settings { m_settings.clientAddress, m_settings.clientWorkers, m_settings.clientConnections, m_settings.headTimeout, m_settings.idleTimeout };
    m_clientListener = std::make_unique<http_listener>(
        settings, [this](http_exchange& exchange) { return client_handler(*m_runtime, exchange).serve(); },
        listener_callbacks { [] {}, [this] { m_runtime->counters().add(event::ConnectionsRefused); }, [](bool) {} });
    m_clientListener->start();

    const instant deadline = presentInstant() + waitTimeout;
    while (!m_runtime->isReady() && presentInstant() < deadline)
        std::this_thread::yield();
    REQUIRE(m_runtime->isReady());
    command("create team cooling rate 100000/s burst 100000");
    command("create team harbour rate 100000/s burst 100000");
    command("create service refills floor 50%");
    for (unsigned index = 0; index < upstreams; ++index)
        command(absl::StrCat("create upstream ", upstreamAddress(index), " for service refills in local-1 slots 64"));
    command("create route /refills to refills teams cooling repeatable");
    command("create route /payments to refills teams cooling");
    command("create route /open to refills open repeatable");
    command("create route /harbour to refills teams harbour repeatable");
    const std::string reply = command("create key k-1 for team cooling");
    const auto at = reply.find(" secret ") + 8;
    m_secret = reply.substr(at, reply.find('\n', at) - at);
}

host_fixture::~host_fixture()
{
    // Upstreams that hold requests would keep the listener from stopping.
    for (auto& it : m_upstreams) {
        if (!it)
            continue;
        it->hold(false);
        it->stopEndless();
    }
    m_clientListener->stop();
    m_control->stop();
}

std::string host_fixture::upstreamAddress(unsigned index) const
{
    return localAddress(10 + index);
}

std::string host_fixture::command(const std::string& line)
{
    int status = 0;
    std::string reply = m_operatorHandler->run(line, "test", status);
    INFO(line << " -> " << reply);
    REQUIRE(status == 200);
    return reply;
}

std::string host_fixture::requestText(const std::string& method, const std::string& path, const std::string& body, const std::string& headers) const
{
    std::string request = absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: almondmoor\r\nAuthorization: Bearer ", m_secret, "\r\n", headers);
    if (method == "POST")
        absl::StrAppend(&request, "Content-Length: ", body.size(), "\r\n");
    return absl::StrCat(request, "\r\n", body);
}

std::string host_fixture::get(const std::string& path, const std::string& headers)
{
    return raw_client(clientAddress()).roundTrip(requestText("GET", path, "", headers));
}

std::string host_fixture::post(const std::string& path, const std::string& body, const std::string& headers)
{
    return raw_client(clientAddress()).roundTrip(requestText("POST", path, body, headers));
}

std::size_t host_fixture::runCount()
{
    std::size_t count = 0;
    for (const auto& it : m_upstreams)
        count += it ? it->runs().size() : 0;
    return count;
}

std::size_t residentKiB()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::stoul(line.substr(6));
    }
    return 0;
}

std::string headerOf(const std::string& response, const std::string& name)
{
    const std::string start = absl::StrCat("\r\n", name, ": ");
    const auto at = response.find(start);
    if (at == std::string::npos)
        return {};
    const auto from = at + start.size();
    return response.substr(from, response.find("\r\n", from) - from);
}

int statusOf(const std::string& response)
{
    return response.size() > 12 ? std::atoi(response.c_str() + 9) : 0;
}

} // namespace almondmoor
