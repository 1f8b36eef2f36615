// Builds the tables that operators query from the configuration and from the state of this host. Counts and
// shares are those of this host alone. The table of upstreams and the table of hosts show what this host knows of them.

#pragma once

#include "Core/text_table.h"
#include "control_loop.h"
#include "host_runtime.h"

#include <absl/status/statusor.h>

namespace almondmoor {

// Builds the table with this name. An unknown name is an error that lists the known ones.
absl::StatusOr<text_table> makeTable(const std::string& name, host_runtime&, control_loop&);

} // namespace almondmoor
