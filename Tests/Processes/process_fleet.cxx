#include "Processes/process_fleet.h"

#include "byte_stream.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>
#include <unistd.h>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    constexpr duration waitTimeout = 30s;
    constexpr const char* operatorKey = "operator-secret";
    constexpr unsigned basePort = 31'000;
    constexpr unsigned portsPerProcess = 40;
    constexpr unsigned portBlocks = 30;

    std::string loopbackAddress(unsigned offset)
    {
        return absl::StrCat("127.0.0.1:", basePort + static_cast<unsigned>(getpid()) % portBlocks * portsPerProcess + offset);
    }

    std::unique_ptr<Poco::ProcessHandle> launch(const std::string& program, const std::vector<std::string>& arguments)
    {
        return std::make_unique<Poco::ProcessHandle>(Poco::Process::launch(program, arguments));
    }

    bool isListening(const std::string& address)
    {
        Poco::Net::StreamSocket socket;
        return byte_stream::connect(address, presentInstant() + 1s, socket).ok();
    }

    template <typename Condition>
    bool waitUntil(Condition condition)
    {
        const instant deadline = presentInstant() + waitTimeout;
        while (presentInstant() < deadline) {
            if (condition())
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

} // namespace

process_fleet::process_fleet(unsigned hosts)
    : m_size(hosts)
    , m_hosts(hosts)
{
    setenv("ALMONDMOOR_OPERATOR_KEY", operatorKey, 1);
    m_standIns.push_back(launch(ALMONDMOOR_STAND_IN, { "platform", loopbackAddress(0) }));
    m_standIns.push_back(launch(ALMONDMOOR_STAND_IN, { "upstream", loopbackAddress(1) }));
    REQUIRE(waitUntil([] { return isListening(loopbackAddress(0)) && isListening(loopbackAddress(1)); }));
    for (unsigned host = 0; host < hosts; ++host) {
        call(loopbackAddress(0), "PUT", absl::StrCat("/switch/host?name=h", host, "&peer=", peerAddress(host), "&data-centre=lagos-1&leaving=no"), "", {});
        startHost(host);
    }
    for (unsigned host = 0; host < hosts; ++host)
        REQUIRE(waitUntilReady(host));
}

process_fleet::~process_fleet()
{
    for (auto* group : { &m_hosts, &m_standIns }) {
        for (auto& it : *group) {
            if (!it)
                continue;
            ::kill(it->id(), SIGCONT);
            ::kill(it->id(), SIGKILL);
            it->wait();
        }
    }
}

void process_fleet::startHost(unsigned host)
{
    m_hosts[host] = launch(ALMONDMOOR_PROGRAM, { "serve", absl::StrCat("--host_name=h", host), "--data_centre=lagos-1", absl::StrCat("--guest_address=", clientAddress(host)), absl::StrCat("--operator_address=", operatorAddress(host)), absl::StrCat("--peer_address=", peerAddress(host)), absl::StrCat("--platform=", loopbackAddress(0)), "--stop_notice_ms=1500", "--log_level=error", "--guest_workers=32" });
}

void process_fleet::signalHost(unsigned host, int signal)
{
    ::kill(m_hosts[host]->id(), signal);
}

int process_fleet::waitForHost(unsigned host)
{
    const int status = m_hosts[host]->wait();
    m_hosts[host].reset();
    return status;
}

bool process_fleet::waitUntilReady(unsigned host)
{
    return waitUntil([&] { return call(operatorAddress(host), "GET", "/ready", "", {}).status == 200; });
}

void process_fleet::setPlatformFaults(const std::string& faults)
{
    call(loopbackAddress(0), "PUT", absl::StrCat("/switch/faults?", faults), "", {});
}

http_reply process_fleet::call(const std::string& address, const std::string& method, const std::string& path, const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers)
{
    http_reply reply;
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
        session.setTimeout(Poco::Timespan(20, 0));
        session.setKeepAlive(false);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto& [name, value] : headers)
            request.add(name, value);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
        reply = { response.getStatus(), response.get("Almondmoor-Outcome", ""), response.get("Almondmoor-Reason", ""), text };
    } catch (const Poco::Exception&) {
        reply.status = 0;
    }
    return reply;
}

http_reply process_fleet::command(unsigned host, const std::string& line)
{
    return call(operatorAddress(host), "POST", "/command", line, { { "Authorization", absl::StrCat("Bearer ", operatorKey) }, { "Almondmoor-Author", "test" } });
}

http_reply process_fleet::request(unsigned host, const std::string& method, const std::string& path, const std::string& secret, const std::string& idempotencyKey)
{
    std::vector<std::pair<std::string, std::string>> headers { { "Authorization", absl::StrCat("Bearer ", secret) } };
    if (!idempotencyKey.empty())
        headers.emplace_back("Idempotency-Key", idempotencyKey);
    return call(clientAddress(host), method, path, "", headers);
}

std::string process_fleet::createKey(const std::string& id, const std::string& team)
{
    const std::string text = command(0, absl::StrCat("create key ", id, " for team ", team)).body;
    const auto at = text.find(" secret ");
    REQUIRE(at != std::string::npos);
    return text.substr(at + 8, text.find('\n', at) - at - 8);
}

std::string process_fleet::clientAddress(unsigned host) const
{
    return loopbackAddress(2 + host * 3);
}

std::string process_fleet::operatorAddress(unsigned host) const
{
    return loopbackAddress(3 + host * 3);
}

std::string process_fleet::peerAddress(unsigned host) const
{
    return loopbackAddress(4 + host * 3);
}

std::string process_fleet::upstreamAddress() const
{
    return loopbackAddress(1);
}

} // namespace almondmoor
