#include "Core/error.h"

#include <absl/strings/cord.h>

namespace almondmoor {

namespace {

    constexpr const char* stepPayload = "almondmoor/step";
    constexpr const char* peerPayload = "almondmoor/peer";

    std::string payloadText(const absl::Status& status, const char* name)
    {
        const auto payload = status.GetPayload(name);
        return payload ? std::string(*payload) : std::string();
    }

} // namespace

absl::Status makeError(absl::StatusCode code, std::string_view step, std::string_view peer, std::string_view detail)
{
    std::string message(step);
    if (!peer.empty())
        message.append(" with ").append(peer);
    message.append(": ").append(detail);
    absl::Status status(code, message);
    status.SetPayload(stepPayload, absl::Cord(std::string(step)));
    if (!peer.empty())
        status.SetPayload(peerPayload, absl::Cord(std::string(peer)));
    return status;
}

std::string errorStep(const absl::Status& status)
{
    return payloadText(status, stepPayload);
}

std::string errorPeer(const absl::Status& status)
{
    return payloadText(status, peerPayload);
}

std::string errorMessage(const absl::Status& status)
{
    return std::string(status.message());
}

} // namespace almondmoor
