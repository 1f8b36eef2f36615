// Conversion between the core's peer messages and their wire form.

#pragma once

#include "Core/peer_message.h"
#include "Generated/peer.pb.h"

namespace almondmoor {

wire::PeerMessage toWire(const peer_message&);

// Values that no host sends, such as unknown results, are made harmless: the
// sample or report that holds them is left out.
peer_message fromWire(const wire::PeerMessage&);

} // namespace almondmoor
