#include "http_head.h"

#include <Poco/Net/HTTPMessage.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <sstream>

namespace almondmoor {

namespace {

    constexpr std::size_t maxHeaders = 100;

    absl::Status invalidHead(const std::string& detail)
    {
        return absl::InvalidArgumentError(detail);
    }

    bool isTokenCharacter(char character)
    {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
    }

    bool isToken(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
    }

    bool isValueCharacter(char character)
    {
        const auto code = static_cast<unsigned char>(character);
        return code == '\t' || (code >= 0x20 && code != 0x7f);
    }

    std::string_view trimWhitespace(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    // Splits a head into lines that end in CR LF. A CR, LF or NUL anywhere else is an error.
    absl::Status splitLines(std::string_view head, std::vector<std::string_view>& lines)
    {
        while (!head.empty()) {
            const auto end = head.find("\r\n");
            if (end == std::string_view::npos)
                return invalidHead("a line does not end in CR LF");
            const std::string_view line = head.substr(0, end);
            if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos)
                return invalidHead("a line holds a bare CR, LF or NUL");
            head.remove_prefix(end + 2);
            if (!line.empty())
                lines.push_back(line);
        }
        return lines.empty() ? invalidHead("the head is empty") : absl::OkStatus();
    }

    absl::Status readHeaders(const std::vector<std::string_view>& lines, Poco::Net::HTTPMessage& message)
    {
        if (lines.size() > maxHeaders + 1)
            return invalidHead("there are too many headers");
        for (std::size_t index = 1; index < lines.size(); ++index) {
            const std::string_view line = lines[index];
            const auto colon = line.find(':');
            const std::string_view name = line.substr(0, colon);
            if (line.front() == ' ' || line.front() == '\t')
                return invalidHead(absl::StrCat("header line ", index, " is folded"));
            if (colon == std::string_view::npos || !isToken(name))
                return invalidHead(absl::StrCat("header line ", index, " has no proper name"));
            const std::string_view value = trimWhitespace(line.substr(colon + 1));
            if (!std::all_of(value.begin(), value.end(), isValueCharacter))
                return invalidHead(absl::StrCat("header line ", index, " holds control characters"));
            message.add(std::string(name), std::string(value));
        }
        return absl::OkStatus();
    }

    std::vector<std::string> headerValues(const Poco::Net::HTTPMessage& message, const std::string& name)
    {
        std::vector<std::string> values;
        for (auto entry = message.find(name); entry != message.end() && toLower(entry->first) == toLower(name); ++entry)
            values.push_back(entry->second);
        return values;
    }

    // Determines the framing from the Content-Length and Transfer-Encoding headers. Headers that allow more than one
    // interpretation are an error.
    absl::Status readFraming(const Poco::Net::HTTPMessage& message, body_framing& framing, bool& hasFraming)
    {
        const auto lengths = headerValues(message, "Content-Length");
        const auto codings = headerValues(message, "Transfer-Encoding");
        hasFraming = !lengths.empty() || !codings.empty();
        if (!lengths.empty() && !codings.empty())
            return invalidHead("both Content-Length and Transfer-Encoding are given");
        if (lengths.size() > 1)
            return invalidHead("Content-Length is given more than once");
        if (!codings.empty()) {
            if (codings.size() > 1 || toLower(codings[0]) != "chunked")
                return invalidHead("the only Transfer-Encoding understood is 'chunked'");
            framing = { body_kind::Chunked, 0 };
            return absl::OkStatus();
        }
        if (lengths.empty())
            return absl::OkStatus();
        const std::string& digits = lengths[0];
        const bool isPlainNumber = !digits.empty() && digits.size() <= 18 && std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit);
        if (!isPlainNumber || !absl::SimpleAtoi(digits, &framing.length))
            return invalidHead("Content-Length is not a plain number");
        framing.kind = framing.length > 0 ? body_kind::Length : body_kind::None;
        return absl::OkStatus();
    }

    bool isSupportedVersion(std::string_view text)
    {
        return text == "HTTP/1.1" || text == "HTTP/1.0";
    }

    bool isTargetCharacter(char character)
    {
        const auto code = static_cast<unsigned char>(character);
        return code > 0x20 && code < 0x7f && character != '#' && character != '\\';
    }

} // namespace

std::string toLower(std::string_view text)
{
    return absl::AsciiStrToLower(absl::string_view(text.data(), text.size()));
}

std::optional<std::size_t> headLength(std::string_view text)
{
    const auto end = text.find("\r\n\r\n");
    if (end == std::string_view::npos)
        return std::nullopt;
    return end + 4;
}

bool hasBareLineFeed(std::string_view text)
{
    for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', end + 1)) {
        if (end == 0 || text[end - 1] != '\r')
            return true;
    }
    return false;
}

absl::Status readRequestHead(std::string_view head, Poco::Net::HTTPRequest& request, body_framing& framing)
{
    std::vector<std::string_view> lines;
    auto status = splitLines(head, lines);
    if (!status.ok())
        return status;
    const std::string_view line = lines[0];
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return invalidHead("the request line has not three parts");
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    if (!isToken(method) || method == "CONNECT" || method == "TRACE")
        return invalidHead("the method is not served here");
    if (target.empty() || target.front() != '/' || !std::all_of(target.begin(), target.end(), isTargetCharacter))
        return invalidHead("the target must be a path that begins with /");
    if (!isSupportedVersion(line.substr(last + 1)))
        return invalidHead("the version must be HTTP/1.1 or HTTP/1.0");
    request.setMethod(std::string(method));
    request.setURI(std::string(target));
    request.setVersion(std::string(line.substr(last + 1)));
    status = readHeaders(lines, request);
    if (!status.ok())
        return status;
    const auto hosts = headerValues(request, "Host");
    if (hosts.size() > 1 || (hosts.empty() && request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1))
        return invalidHead("exactly one Host header is needed");
    bool hasFraming = false;
    status = readFraming(request, framing, hasFraming);
    if (status.ok() && framing.kind == body_kind::Chunked && request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0)
        return invalidHead("HTTP/1.0 has no Transfer-Encoding");
    return status;
}

absl::Status readResponseHead(std::string_view head, const std::string& method, Poco::Net::HTTPResponse& response, body_framing& framing)
{
    std::vector<std::string_view> lines;
    auto status = splitLines(head, lines);
    if (!status.ok())
        return status;
    const std::string_view line = lines[0];
    int code = 0;
    const std::string_view digits = line.size() >= 12 ? line.substr(9, 3) : std::string_view();
    const bool isValid = line.size() >= 12 && isSupportedVersion(line.substr(0, 8)) && line[8] == ' ' && (line.size() == 12 || line[12] == ' ')
        && std::all_of(digits.begin(), digits.end(), [](char it) { return absl::ascii_isdigit(static_cast<unsigned char>(it)); });
    if (!isValid || !absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &code) || code < 100 || code > 599)
        return invalidHead("the status line is not one of HTTP/1.1");
    response.setVersion(std::string(line.substr(0, 8)));
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(code));
    response.setReason(line.size() > 13 ? std::string(line.substr(13)) : std::string());
    status = readHeaders(lines, response);
    if (!status.ok())
        return status;
    bool hasFraming = false;
    status = readFraming(response, framing, hasFraming);
    if (!status.ok())
        return status;
    const bool hasNoBody = method == "HEAD" || code < 200 || code == 204 || code == 304;
    if (hasNoBody)
        framing = { body_kind::None, 0 };
    else if (!hasFraming)
        framing = { body_kind::UntilClose, 0 };
    return absl::OkStatus();
}

std::size_t headerCount(const Poco::Net::HTTPMessage& message, const std::string& name)
{
    return headerValues(message, name).size();
}

void copyEndToEndHeaders(const Poco::Net::HTTPMessage& from, Poco::Net::HTTPMessage& to, const std::set<std::string>& excludedNames, std::string_view excludedPrefix)
{
    const auto listedNames = connectionOptions(from);
    for (const auto& [name, value] : from) {
        const std::string lower = toLower(name);
        const bool hasPrefix = !excludedPrefix.empty() && lower.rfind(excludedPrefix, 0) == 0;
        const bool isListed = std::find(listedNames.begin(), listedNames.end(), lower) != listedNames.end();
        if (!isHopByHop(lower) && !hasPrefix && !isListed && !excludedNames.count(lower))
            to.add(name, value);
    }
}

std::vector<std::string> connectionOptions(const Poco::Net::HTTPMessage& message)
{
    std::vector<std::string> names;
    for (const auto& value : headerValues(message, "Connection")) {
        for (const absl::string_view name : absl::StrSplit(value, ','))
            names.push_back(absl::AsciiStrToLower(absl::StripAsciiWhitespace(name)));
    }
    return names;
}

bool isHopByHop(const std::string& lowerName)
{
    constexpr std::array<std::string_view, 9> names { "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
        "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade" };
    return std::find(names.begin(), names.end(), lowerName) != names.end();
}

std::string writeHead(const Poco::Net::HTTPRequest& request)
{
    std::ostringstream out;
    request.write(out);
    return out.str();
}

std::string writeHead(const Poco::Net::HTTPResponse& response)
{
    std::ostringstream out;
    response.write(out);
    return out.str();
}

} // namespace almondmoor
