// Client of the platform's services over HTTP. Bodies are JSON, except for the content of objects.
//
//   POST /v1/table/read     keys               -> 200 rows
//   POST /v1/table/commit   transaction        -> 200, or 412 if a condition fails
//   PUT  /v1/objects/NAME   content            -> 200
//   GET  /v1/objects/NAME                      -> 200 content, or 404
//   GET  /v1/hosts                             -> 200 hosts

#pragma once

#include "Core/core_time.h"
#include "Platform/platform_types.h"

#include <string>

namespace almondmoor {

// All member functions may be called from any thread. Each call opens its own connection: the platform may close a
// kept-alive connection while a commit is being sent on it, and a commit that is then sent again can be refused because
// its own first copy succeeded.
class http_platform {
public:
    // The address has the form IP-NUMBER:PORT. No call takes longer than the timeout.
    http_platform(std::string address, duration timeout);

    read_result readRows(const std::vector<std::string>& keys);
    call_result<no_value> commit(const table_transaction&);
    call_result<no_value> putObject(const std::string& name, const std::string& content);
    call_result<std::optional<std::string>> getObject(const std::string& name);
    call_result<std::vector<listed_host>> listHosts();

private:
    struct reply {
        // HTTP status; 0 if no complete response arrived.
        int status = 0;
        std::string body;
        // True if any byte of the request may have reached the platform.
        bool mayHaveBeenSent = false;
        std::string errorText;
    };

    reply call(const std::string& method, const std::string& path, const std::string& body);

    template <typename Value>
    call_result<Value> failedCall(const char* step, const reply&) const;

    std::string m_address;
    duration m_timeout;
};

static_assert(platform_service<http_platform>);

} // namespace almondmoor
