// Writes the heads of responses to clients: responses of upstreams that are forwarded, and the host's own refusals.

#pragma once

#include "Core/core_time.h"
#include "Core/outcome.h"

#include <Poco/Net/HTTPResponse.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace almondmoor {

// How the body of a forwarded response is delimited for the client.
struct forwarded_body {
    // The length is not known before the body has been sent.
    bool isChunked = false;
    // Bytes of the body if the upstream stated no length and the whole body has arrived.
    std::size_t bufferedBytes = 0;
};

// Returns the head of an upstream's response as it is sent to a client.
Poco::Net::HTTPResponse forwardedHead(const Poco::Net::HTTPResponse&, const forwarded_body&, bool keepsConnection);

// A refusal that this host sends.
struct refusal_reply {
    int status = 0;
    std::string_view reason;
    std::string_view detail;
    // Sent with statuses 429 and 503, at least minRetryAfter.
    duration retryAfter {};
    // Header with the request's id; the id may be empty.
    std::string idHeader;
    std::string id;
    bool keepsConnection = false;
    // Whether the body is sent too, which the method HEAD forbids.
    bool hasBody = true;
};

inline constexpr duration minRetryAfter = std::chrono::milliseconds(50);

// Returns the status of a refusal, which tells the client whether the request may have run: 4xx and 503 mean that it has not
// run.
int refusalStatus(const refusal_row&, bool isNotRun);

// Returns the bytes of a refusal.
std::string writeRefusal(const refusal_reply&);

} // namespace almondmoor
