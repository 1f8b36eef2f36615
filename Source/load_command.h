// The command 'almondmoor load', an open-loop load generator.

#pragma once

namespace almondmoor {

// Sends requests at a fixed mean rate, whether or not earlier requests have been answered, and prints latencies and
// outcomes. Returns 0, or 2 for invalid flags. A request is delayed if all connections are busy when it is due; its
// latency includes that delay.
int runLoad(int argumentCount, char** arguments);

} // namespace almondmoor
