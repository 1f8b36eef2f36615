// Strict parser for the heads of HTTP/1.1 messages.
//
// Poco's parser accepts heads that two parties may interpret differently, and it discards the details that show the
// ambiguity. The functions here therefore check the raw head first; only an unambiguous head becomes a Poco message.

#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/status/status.h>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almondmoor {

// Limit on the size of a head where no other limit is configured.
inline constexpr std::size_t defaultMaxHeadBytes = std::size_t { 16 } * 1024;

// How the body of a message is delimited.
enum class body_kind {
    None,
    Length,
    Chunked,
    // The body ends with the connection, so a lost connection cannot be told from the end of the body.
    UntilClose
};

struct body_framing {
    body_kind kind = body_kind::None;
    // Length in bytes if kind is Length, otherwise 0.
    std::uint64_t length = 0;
};

// Returns the length in bytes of the head at the start of a text, including the empty line that ends the head. Returns
// nothing if the head is incomplete.
std::optional<std::size_t> headLength(std::string_view text);

// Returns whether a text contains a line that ends without CR. Such a head is invalid, whatever bytes follow.
bool hasBareLineFeed(std::string_view text);

// Parses the head of a request. Returns an error of code InvalidArgument that names the fault and, for a header, its
// line.
absl::Status readRequestHead(std::string_view head, Poco::Net::HTTPRequest&, body_framing&);

// Parses the head of a response, with errors as above. The method of the request decides whether a body follows.
absl::Status readResponseHead(std::string_view head, const std::string& method, Poco::Net::HTTPResponse&, body_framing&);

// Returns how often a message contains a header.
std::size_t headerCount(const Poco::Net::HTTPMessage&, const std::string& name);

// Copies the end-to-end headers of a message. Omits hop-by-hop headers, headers that Connection lists, the excluded
// names and names that start with the excluded prefix. An empty prefix excludes nothing. The excluded names and the
// prefix must be in lower case.
void copyEndToEndHeaders(const Poco::Net::HTTPMessage& from, Poco::Net::HTTPMessage& to, const std::set<std::string>& excludedNames, std::string_view excludedPrefix = {});

// Returns the names that Connection headers list, in lower case.
std::vector<std::string> connectionOptions(const Poco::Net::HTTPMessage&);

// Returns whether a header applies to a single connection only. The name must be in lower case.
bool isHopByHop(const std::string& lowerName);

// Returns a text in lower case (ASCII).
std::string toLower(std::string_view);

// Returns the head of a request or a response as it is sent.
std::string writeHead(const Poco::Net::HTTPRequest&);
std::string writeHead(const Poco::Net::HTTPResponse&);

} // namespace almondmoor
