// The command 'almondmoor serve': one entry host of the fleet.

#pragma once

namespace almondmoor {

// Runs until a planned stop. Returns the exit status.
int runServe(int argumentCount, char** arguments);

} // namespace almondmoor
