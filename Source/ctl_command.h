// The command 'almondmoor ctl', which sends operators' commands to a host and prints the replies.

#pragma once

namespace almondmoor {

// Sends the command in the arguments or, if there are none, each line of standard input. Returns 0 if the host replied
// to every command with an HTTP status below 300, 1 if any command was refused or got no reply, 2 for invalid settings.
int runCtl(int argumentCount, char** arguments);

} // namespace almondmoor
