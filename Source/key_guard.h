// Keeps guests' keys away from upstreams.

#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <string>
#include <string_view>

namespace almondmoor {

// Returns the hash under which a key's secret is known, as 64 hexadecimal digits.
std::string hashSecret(std::string_view secret);

// Draws a new secret of 256 bits.
std::string drawSecret();

// Returns the secret of the request's bearer credential, or an empty string.
std::string bearerSecret(const Poco::Net::HTTPRequest&);

// Returns the secret of the request's credential of a scheme, or an empty string.
std::string credentialSecret(const Poco::Net::HTTPRequest&, std::string_view scheme);

// Returns whether a secret stands anywhere in the request's target or in a
// header other than Authorization, plain or percent-encoded.
bool holdsSecret(const Poco::Net::HTTPRequest&, const std::string& secret);

// Looks for a secret in a body that arrives in pieces.
class secret_scanner {
public:
    explicit secret_scanner(std::string secret)
        : m_secret(std::move(secret))
    {
    }

    // Returns whether the secret has been seen, this piece included. A piece is
    // to be sent on only after the scan of it; bytes that could begin the
    // secret are held back until the next piece or the end.
    bool sees(std::string_view piece);

    // Returns the bytes that may be sent on now. After the last piece, all.
    std::string takeSafe(bool isEnd);

private:
    std::string m_secret;
    std::string m_pending;
    bool m_hasSeen = false;
};

} // namespace almondmoor
