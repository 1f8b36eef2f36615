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

    constexpr std::size_t mostHeaders = 100;

    absl::Status bad(const std::string& detail)
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

    std::string_view trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    // Splits a block into lines that end in CR LF and hold neither elsewhere.
    absl::Status splitLines(std::string_view block, std::vector<std::string_view>& lines)
    {
        while (!block.empty()) {
            const auto end = block.find("\r\n");
            if (end == std::string_view::npos)
                return bad("a line does not end in CR LF");
            const std::string_view line = block.substr(0, end);
            if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos)
                return bad("a line holds a bare CR, LF or NUL");
            block.remove_prefix(end + 2);
            if (!line.empty())
                lines.push_back(line);
        }
        return lines.empty() ? bad("the head is empty") : absl::OkStatus();
    }

    absl::Status readHeaders(const std::vector<std::string_view>& lines, Poco::Net::HTTPMessage& message)
    {
        if (lines.size() > mostHeaders + 1)
            return bad("there are too many headers");
        for (std::size_t index = 1; index < lines.size(); ++index) {
            const std::string_view line = lines[index];
            const auto colon = line.find(':');
            const std::string_view name = line.substr(0, colon);
            if (line.front() == ' ' || line.front() == '\t')
                return bad(absl::StrCat("header line ", index, " is folded"));
            if (colon == std::string_view::npos || !isToken(name))
                return bad(absl::StrCat("header line ", index, " has no proper name"));
            const std::string_view value = trimmed(line.substr(colon + 1));
            if (!std::all_of(value.begin(), value.end(), isValueCharacter))
                return bad(absl::StrCat("header line ", index, " holds control characters"));
            message.add(std::string(name), std::string(value));
        }
        return absl::OkStatus();
    }

    std::vector<std::string> valuesOf(const Poco::Net::HTTPMessage& message, const std::string& name)
    {
        std::vector<std::string> values;
        for (auto entry = message.find(name); entry != message.end() && toLower(entry->first) == toLower(name); ++entry)
            values.push_back(entry->second);
        return values;
    }

    // Reads the length headers, which must leave no room for two readings.
    absl::Status readFraming(const Poco::Net::HTTPMessage& message, body_framing& framing, bool& hasFraming)
    {
        const auto lengths = valuesOf(message, "Content-Length");
        const auto codings = valuesOf(message, "Transfer-Encoding");
        hasFraming = !lengths.empty() || !codings.empty();
        if (!lengths.empty() && !codings.empty())
            return bad("both Content-Length and Transfer-Encoding are given");
        if (lengths.size() > 1)
            return bad("Content-Length is given more than once");
        if (!codings.empty()) {
            if (codings.size() > 1 || toLower(codings[0]) != "chunked")
                return bad("the only Transfer-Encoding understood is 'chunked'");
            framing = { body_kind::Chunked, 0 };
            return absl::OkStatus();
        }
        if (lengths.empty())
            return absl::OkStatus();
        const std::string& digits = lengths[0];
        const bool isPlain = !digits.empty() && digits.size() <= 18 && std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit);
        if (!isPlain || !absl::SimpleAtoi(digits, &framing.length))
            return bad("Content-Length is not a plain number");
        framing.kind = framing.length > 0 ? body_kind::Length : body_kind::None;
        return absl::OkStatus();
    }

    bool isVersion(std::string_view text)
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

absl::Status readRequestHead(std::string_view block, Poco::Net::HTTPRequest& request, body_framing& framing)
{
    std::vector<std::string_view> lines;
    auto status = splitLines(block, lines);
    if (!status.ok())
        return status;
    const std::string_view line = lines[0];
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return bad("the request line has not three parts");
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    if (!isToken(method) || method == "CONNECT" || method == "TRACE")
        return bad("the method is not served here");
    if (target.empty() || target.front() != '/' || !std::all_of(target.begin(), target.end(), isTargetCharacter))
        return bad("the target must be a path that begins with /");
    if (!isVersion(line.substr(last + 1)))
        return bad("the version must be HTTP/1.1 or HTTP/1.0");
    request.setMethod(std::string(method));
    request.setURI(std::string(target));
    request.setVersion(std::string(line.substr(last + 1)));
    status = readHeaders(lines, request);
    if (!status.ok())
        return status;
    const auto hosts = valuesOf(request, "Host");
    if (hosts.size() > 1 || (hosts.empty() && request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1))
        return bad("exactly one Host header is needed");
    bool hasFraming = false;
    status = readFraming(request, framing, hasFraming);
    if (status.ok() && framing.kind == body_kind::Chunked && request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0)
        return bad("HTTP/1.0 has no Transfer-Encoding");
    return status;
}

absl::Status readResponseHead(std::string_view block, const std::string& method, Poco::Net::HTTPResponse& response, body_framing& framing)
{
    std::vector<std::string_view> lines;
    auto status = splitLines(block, lines);
    if (!status.ok())
        return status;
    const std::string_view line = lines[0];
    int code = 0;
    const std::string_view digits = line.size() >= 12 ? line.substr(9, 3) : std::string_view();
    const bool isProper = line.size() >= 12 && isVersion(line.substr(0, 8)) && line[8] == ' ' && (line.size() == 12 || line[12] == ' ')
        && std::all_of(digits.begin(), digits.end(), [](char it) { return absl::ascii_isdigit(static_cast<unsigned char>(it)); });
    if (!isProper || !absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &code) || code < 100 || code > 599)
        return bad("the status line is not one of HTTP/1.1");
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
    return valuesOf(message, name).size();
}

void copyEndToEndHeaders(const Poco::Net::HTTPMessage& from, Poco::Net::HTTPMessage& to, const std::set<std::string>& leftOut, std::string_view leftOutPrefix)
{
    const auto listed = connectionListed(from);
    for (const auto& [name, value] : from) {
        const std::string lower = toLower(name);
        const bool hasPrefix = !leftOutPrefix.empty() && lower.rfind(leftOutPrefix, 0) == 0;
        const bool isListed = std::find(listed.begin(), listed.end(), lower) != listed.end();
        if (!isHopByHop(lower) && !hasPrefix && !isListed && !leftOut.count(lower))
            to.add(name, value);
    }
}

std::vector<std::string> connectionListed(const Poco::Net::HTTPMessage& message)
{
    std::vector<std::string> names;
    for (const auto& value : valuesOf(message, "Connection")) {
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
