// Reads what an upstream announces about itself from the head of its response.

#pragma once

#include "Core/upstream_announcements.h"
#include "wire_names.h"

#include <Poco/Net/HTTPResponse.h>

namespace almondmoor {

struct parsed_announcement {
    upstream_announcement announcement;
    // Whether the response has a Retry-After header that is not a number of seconds. It is then ignored.
    bool isMalformed = false;
};

// Returns the announcements of a response. A pause is read from Retry-After, in seconds and possibly with a fraction, and
// only from responses with status 503.
parsed_announcement readAnnouncement(const Poco::Net::HTTPResponse&, const wire_names&);

// Returns whether an upstream rejected a request because it is full, with the time after which to come back.
bool isOverloadResponse(const Poco::Net::HTTPResponse&);

} // namespace almondmoor
