// Makes the head of the request that a host sends to an upstream from the head of its client's request.

#pragma once

#include "http_head.h"
#include "wire_names.h"

#include <Poco/Net/HTTPRequest.h>
#include <string>

namespace almondmoor {

// Returns the head without what concerns only the client's connection and without the client's key. The team is named if
// it is not empty, whatever the client sent. The deadline and the expected upstream are left out: each attempt has its own.
Poco::Net::HTTPRequest outgoingHead(const Poco::Net::HTTPRequest&, const body_framing&, const std::string& team, const wire_names&);

} // namespace almondmoor
