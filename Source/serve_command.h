// The command 'almondmoor serve', which runs one host of the fleet.

#pragma once

namespace almondmoor {

// Runs until a planned stop. Returns the exit status. Ends the process at once with a failure status if requests still
// run when the drain timeout passes or a second signal arrives.
int runServe(int argumentCount, char** arguments);

} // namespace almondmoor
