// The command 'proxy': runs one host that accepts clients' requests and follows the
// platform's table store.

#pragma once

#include "neighbour_link.h"
#include "proxy_runtime.h"
#include "wire_names.h"

#include <functional>
#include <memory>

namespace almondmoor {

// What the adapter of a platform provides: the names of its HTTP headers, and a function
// that starts to follow its store. The feeds run until the returned object is destroyed.
struct proxy_adapter {
    wire_names wire;
    std::function<std::shared_ptr<void>(proxy_runtime&, neighbour_link&)> startFeeds;
};

// Runs the host until SIGTERM or SIGINT. Returns the exit status if the host could not
// start. After a planned stop, ends the process instead of returning.
int runProxy(int argumentCount, char** arguments, const proxy_adapter&);

} // namespace almondmoor
