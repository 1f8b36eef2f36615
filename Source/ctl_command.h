// The command 'almondmoor ctl': an operator's shell.

#pragma once

namespace almondmoor {

// Sends the command in the arguments, or each line of standard input. Returns 0
// if all were carried out, 1 if any was refused, 2 for a wrong call.
int runCtl(int argumentCount, char** arguments);

} // namespace almondmoor
