// Names of the headers that guests, hosts and upstreams exchange.

#pragma once

#include <string>

namespace almondmoor {

struct wire_names {
    // Identifies one attempt of a guest; upstreams echo it.
    std::string requestId;
    // Milliseconds that the sender will wait.
    std::string deadlineMs;
    // Proves that an answer is the upstream's own.
    std::string signature;
    // The team for which an upstream runs a request.
    std::string team;
    // Id of the only upstream that may run the request.
    std::string expectedUpstream;
    // Set by upstreams on answers to requests that they did not run.
    std::string notStarted;
    // Scheme of the Authorization header that carries a guest's key.
    std::string keyScheme;
};

} // namespace almondmoor
