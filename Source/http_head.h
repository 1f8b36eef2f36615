// Strict reading of HTTP/1.1 message heads.
//
// Poco's parser accepts heads that two parties may read differently, and folds
// the evidence away. The raw block is therefore checked here first, and only a
// head without ambiguity becomes a Poco message.

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

inline constexpr std::size_t largestHead = std::size_t { 16 } * 1024;

// How the body of a message is delimited.
enum class body_kind {
    None,
    Length,
    Chunked,
    // Ends with the connection; a lost connection looks the same as the end.
    UntilClose
};

struct body_framing {
    body_kind kind = body_kind::None;
    // Bytes, for kind Length.
    std::uint64_t length = 0;
};

// Returns the length of the head at the start of a text, its closing empty line
// included, or nothing if it is not complete yet.
std::optional<std::size_t> headLength(std::string_view text);

// Returns whether a text holds a line that ends without CR. Such a head never
// becomes a proper one.
bool hasBareLineFeed(std::string_view text);

// Reads a request's head. Errors are of code InvalidArgument and say what is
// wrong with which line.
absl::Status readRequestHead(std::string_view block, Poco::Net::HTTPRequest&, body_framing&);

// Reads a response's head; the request's method decides whether a body follows.
absl::Status readResponseHead(std::string_view block, const std::string& method, Poco::Net::HTTPResponse&, body_framing&);

// Returns how often a message holds a header.
std::size_t headerCount(const Poco::Net::HTTPMessage&, const std::string& name);

// Copies the headers of a message that concern more than its connection, except
// the lower-case names that are left out and names with the given lower-case
// prefix, if there is one.
void copyEndToEndHeaders(const Poco::Net::HTTPMessage& from, Poco::Net::HTTPMessage& to, const std::set<std::string>& leftOut, std::string_view leftOutPrefix = {});

// Returns the lower-case names that Connection headers list.
std::vector<std::string> connectionListed(const Poco::Net::HTTPMessage&);

// Returns whether a header belongs to one connection only.
bool isHopByHop(const std::string& lowerName);

// Returns a name in lower case.
std::string toLower(std::string_view);

// Writes a request's or a response's head.
std::string writeHead(const Poco::Net::HTTPRequest&);
std::string writeHead(const Poco::Net::HTTPResponse&);

} // namespace almondmoor
