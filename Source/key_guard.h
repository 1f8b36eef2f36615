// Hashing, extraction and detection of clients' keys. Detection keeps keys away from upstreams.

#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <string>
#include <string_view>

namespace almondmoor {

// Returns the SHA-256 hash that identifies a secret, as 64 hexadecimal digits.
std::string hashSecret(std::string_view secret);

// Returns a new random secret of 256 bits.
std::string generateSecret();

// Returns the secret of the request's bearer credential, or an empty string if the request has none.
std::string bearerSecret(const Poco::Net::HTTPRequest&);

// Returns the secret of the request's credential of the given scheme, or an empty string if the request has none.
std::string credentialSecret(const Poco::Net::HTTPRequest&, std::string_view scheme);

// Returns whether the target of a request or a header other than Authorization contains the secret, either plain or
// percent-encoded.
bool containsSecret(const Poco::Net::HTTPRequest&, const std::string& secret);

// Searches for a secret in a body that arrives in pieces, so that no complete secret is forwarded.
class secret_scanner {
public:
    explicit secret_scanner(std::string secret)
        : m_secret(std::move(secret))
    {
    }

    // Scans the next piece. Returns whether the body so far contains the secret. Bytes of a piece may be forwarded only
    // after the piece was scanned.
    bool scan(std::string_view piece);

    // Returns and removes the bytes that may be forwarded. Bytes that could be the start of the secret stay until the
    // next piece; after the last piece, all bytes are returned.
    std::string takeSafeBytes(bool isEnd);

private:
    std::string m_secret;
    std::string m_pending;
    bool m_isFound = false;
};

} // namespace almondmoor
