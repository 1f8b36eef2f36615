// The command 'almondmoor load': open-loop load with a report.

#pragma once

namespace almondmoor {

// Sends requests at a fixed rate whatever the answers, and reports latencies
// and outcomes. Returns 0, or 2 for a wrong call.
int runLoad(int argumentCount, char** arguments);

} // namespace almondmoor
