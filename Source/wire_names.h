// Names of the headers that clients, hosts and upstreams exchange. Each platform has its own.

#pragma once

#include <string>

namespace almondmoor {

struct wire_names {
    // Id that a client gives one attempt at a request. Upstreams repeat it in their responses.
    std::string requestId;
    // Time in milliseconds for which the sender waits for the response.
    std::string deadlineMs;
    // Signature that shows that a response was made by an upstream.
    std::string signature;
    // Name of the team on whose behalf a request is run.
    std::string team;
    // Id of the only upstream that may run the request. An upstream with another id rejects it.
    std::string expectedUpstream;
    // Header by which an upstream reports that it has not started a request.
    std::string notStarted;
    // Header by which an upstream announces that it is leaving, and its value.
    std::string leaving;
    std::string leavingValue;
    // Scheme of the Authorization header that carries a client's key.
    std::string keyScheme;
};

} // namespace almondmoor
