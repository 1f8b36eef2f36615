// The command 'proxy': one entry host that follows a platform's table store.

#pragma once

#include "neighbour_link.h"
#include "proxy_runtime.h"
#include "wire_names.h"

#include <functional>
#include <memory>

namespace almondmoor {

// What a platform brings: its names, and feeds that run until they are destroyed.
struct proxy_adapter {
    wire_names wire;
    std::function<std::shared_ptr<void>(proxy_runtime&, neighbour_link&)> startFeeds;
};

// Runs until a signal asks for a stop. Returns the exit status.
int runProxy(int argumentCount, char** arguments, const proxy_adapter&);

} // namespace almondmoor
