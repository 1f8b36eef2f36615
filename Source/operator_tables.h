// The tables that operators query.

#pragma once

#include "Core/text_table.h"
#include "control_loop.h"
#include "host_runtime.h"

#include <absl/status/statusor.h>

namespace almondmoor {

// Returns the table of a name. An unknown name is an error that lists the known.
absl::StatusOr<text_table> makeTable(const std::string& name, host_runtime&, control_loop&);

} // namespace almondmoor
