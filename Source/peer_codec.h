// Conversion between the core's peer messages and their protobuf form.

#pragma once

#include "Core/peer_message.h"
#include "Generated/peer.pb.h"

namespace almondmoor {

wire::PeerMessage toWire(const peer_message&);

// Drops samples, share reports, handovers and grants that hold values which no host sends, such as unknown results or
// negative amounts. Clamps buckets and counts of samples that are too large.
peer_message fromWire(const wire::PeerMessage&);

} // namespace almondmoor
