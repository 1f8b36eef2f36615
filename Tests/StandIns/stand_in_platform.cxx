// Maps HTTP requests to calls of the memory platform and their outcomes to HTTP statuses.

#include "StandIns/stand_in_platform.h"

#include "Platform/platform_json.h"
#include "http_body.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <absl/strings/str_cat.h>

namespace almondmoor {

namespace {

    constexpr duration ioTimeout = std::chrono::seconds(10);
    constexpr int okStatus = 200;
    constexpr int badRequestStatus = 400;
    constexpr int notFoundStatus = 404;
    constexpr int preconditionFailedStatus = 412;
    constexpr int unavailableStatus = 503;
    // Means that no response is sent and the connection is aborted.
    constexpr int noResponseStatus = 0;

    int httpStatusOf(call_outcome outcome)
    {
        switch (outcome) {
        case call_outcome::Done:
            return okStatus;
        case call_outcome::Refused:
            return preconditionFailedStatus;
        case call_outcome::Unavailable:
            return unavailableStatus;
        case call_outcome::Unknown:
            return noResponseStatus;
        }
        return noResponseStatus;
    }

} // namespace

stand_in_platform::stand_in_platform(const std::string& address)
{
    const listener_settings settings { address, 32, 4096, ioTimeout, ioTimeout };
    m_listener = std::make_unique<http_listener>(
        settings, [this](http_exchange& exchange) { return serve(exchange); },
        listener_callbacks { [] {}, [] {}, [](bool) {} });
    m_listener->start();
}

stand_in_platform::~stand_in_platform()
{
    m_listener->stop();
}

void stand_in_platform::applySwitch(const std::string& target)
{
    platform_faults faults;
    listed_host host;
    const Poco::URI uri(target);
    for (const auto& [name, value] : uri.getQueryParameters()) {
        if (name == "away")
            faults.isUnavailable = value == "yes";
        else if (name == "lost-answers")
            faults.lostResponses = static_cast<unsigned>(std::stoul(value));
        else if (name == "name")
            host.name = value;
        else if (name == "peer")
            host.peerAddress = value;
        else if (name == "data-centre")
            host.dataCentre = value;
        else if (name == "leaving")
            host.leaving = value == "yes";
    }
    if (uri.getPath() == "/switch/host")
        m_memory.setHost(host);
    else
        m_memory.setFaults(faults);
}

std::string stand_in_platform::handleCall(const std::string& method, const std::string& path, const std::string& body, int& status)
{
    constexpr std::string_view objects = "/v1/objects/";
    if (path.rfind("/switch/", 0) == 0 && method == "PUT") {
        applySwitch(path);
        return "";
    }
    if (path == "/v1/table/read" && method == "POST") {
        const auto rows = m_memory.readRows(parseKeys(body));
        status = httpStatusOf(rows.outcome);
        return serializeRows(rows.value);
    }
    if (path == "/v1/table/commit" && method == "POST") {
        status = httpStatusOf(m_memory.commit(parseTransaction(body)).outcome);
        return "";
    }
    if (path == "/v1/hosts" && method == "GET") {
        const auto hosts = m_memory.listHosts();
        status = httpStatusOf(hosts.outcome);
        return serializeHosts(hosts.value);
    }
    if (path.rfind(objects, 0) == 0 && method == "PUT") {
        status = httpStatusOf(m_memory.putObject(path.substr(objects.size()), body).outcome);
        return "";
    }
    if (path.rfind(objects, 0) == 0 && method == "GET") {
        const auto content = m_memory.getObject(path.substr(objects.size()));
        status = content.outcome == call_outcome::Done && !content.value ? notFoundStatus : httpStatusOf(content.outcome);
        return content.value.value_or("");
    }
    status = notFoundStatus;
    return "";
}

connection_disposition stand_in_platform::serve(http_exchange& exchange)
{
    body_reader reader(exchange.stream, exchange.framing);
    std::string body;
    while (!reader.isAtEnd()) {
        const auto piece = reader.next(presentInstant() + ioTimeout);
        if (!piece.ok())
            return connection_disposition::Close;
        body += *piece;
    }
    int status = okStatus;
    std::string responseBody;
    try {
        responseBody = handleCall(exchange.request.getMethod(), exchange.request.getURI(), body, status);
    } catch (const Poco::Exception& error) {
        status = badRequestStatus;
        responseBody = error.displayText();
    }
    if (status == noResponseStatus)
        return connection_disposition::Abort;
    const std::string text = absl::StrCat("HTTP/1.1 ", status, " Said\r\nContent-Length: ", responseBody.size(), "\r\n\r\n", responseBody);
    const bool isSent = exchange.stream.send(text, presentInstant() + ioTimeout).ok();
    return isSent && exchange.request.getKeepAlive() ? connection_disposition::Keep : connection_disposition::Close;
}

} // namespace almondmoor
