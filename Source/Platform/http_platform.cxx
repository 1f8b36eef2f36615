// Calls to the platform's services, one HTTP request each.

#include "Platform/http_platform.h"

#include "Core/error.h"
#include "Platform/platform_json.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>

namespace almondmoor {

namespace {

    constexpr int okStatus = 200;
    constexpr int notFoundStatus = 404;
    constexpr int preconditionFailedStatus = 412;
    constexpr int unavailableStatus = 503;

} // namespace

http_platform::http_platform(std::string address, duration timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{
}

http_platform::reply http_platform::call(const std::string& method, const std::string& path, const std::string& body)
{
    reply result;
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(m_address) };
        session.setTimeout(Poco::Timespan(m_timeout.count()));
        session.setKeepAlive(false);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        std::ostream& out = session.sendRequest(request);
        result.mayHaveBeenSent = true;
        out << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(in, result.body);
        const bool isComplete = !response.hasContentLength() || response.getContentLength64() == static_cast<Poco::Int64>(result.body.size());
        if (isComplete)
            result.status = response.getStatus();
        else
            result.errorText = "the answer was cut short";
    } catch (const Poco::Exception& error) {
        result.errorText = error.displayText();
    }
    return result;
}

template <typename Value>
call_result<Value> http_platform::failedCall(const char* step, const reply& httpReply) const
{
    // The platform responds with 503 only if the call had no effect.
    const bool hadNoEffect = !httpReply.mayHaveBeenSent || httpReply.status == unavailableStatus;
    const std::string detail = httpReply.status ? absl::StrCat("HTTP status ", httpReply.status) : httpReply.errorText;
    const auto code = hadNoEffect ? absl::StatusCode::kUnavailable : absl::StatusCode::kUnknown;
    return { hadNoEffect ? call_outcome::Unavailable : call_outcome::Unknown, Value {}, makeError(code, step, m_address, detail) };
}

read_result http_platform::readRows(const std::vector<std::string>& keys)
{
    using rows = std::vector<std::optional<table_row>>;
    const reply httpReply = call("POST", "/v1/table/read", serializeKeys(keys));
    if (httpReply.status != okStatus)
        return failedCall<rows>("read rows", httpReply);
    try {
        return { call_outcome::Done, parseRows(httpReply.body), absl::OkStatus() };
    } catch (const Poco::Exception& error) {
        return failedCall<rows>("read rows", reply { 0, "", true, error.displayText() });
    }
}

call_result<no_value> http_platform::commit(const table_transaction& transaction)
{
    const reply httpReply = call("POST", "/v1/table/commit", serializeTransaction(transaction));
    if (httpReply.status == okStatus)
        return { call_outcome::Done, {}, absl::OkStatus() };
    if (httpReply.status == preconditionFailedStatus)
        return { call_outcome::Refused, {}, makeError(absl::StatusCode::kAborted, "commit", m_address, "a condition does not hold") };
    return failedCall<no_value>("commit", httpReply);
}

call_result<no_value> http_platform::putObject(const std::string& name, const std::string& content)
{
    const reply httpReply = call("PUT", absl::StrCat("/v1/objects/", name), content);
    if (httpReply.status == okStatus)
        return { call_outcome::Done, {}, absl::OkStatus() };
    return failedCall<no_value>("put object", httpReply);
}

call_result<std::optional<std::string>> http_platform::getObject(const std::string& name)
{
    const reply httpReply = call("GET", absl::StrCat("/v1/objects/", name), "");
    if (httpReply.status == okStatus)
        return { call_outcome::Done, httpReply.body, absl::OkStatus() };
    if (httpReply.status == notFoundStatus)
        return { call_outcome::Done, std::nullopt, absl::OkStatus() };
    return failedCall<std::optional<std::string>>("get object", httpReply);
}

call_result<std::vector<listed_host>> http_platform::listHosts()
{
    const reply httpReply = call("GET", "/v1/hosts", "");
    if (httpReply.status != okStatus)
        return failedCall<std::vector<listed_host>>("list hosts", httpReply);
    try {
        return { call_outcome::Done, parseHosts(httpReply.body), absl::OkStatus() };
    } catch (const Poco::Exception& error) {
        return failedCall<std::vector<listed_host>>("list hosts", reply { 0, "", true, error.displayText() });
    }
}

} // namespace almondmoor
