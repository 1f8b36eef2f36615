#include "outgoing_head.h"

namespace almondmoor {

Poco::Net::HTTPRequest outgoingHead(const Poco::Net::HTTPRequest& request, const body_framing& framing, const std::string& team, const wire_names& wire)
{
    Poco::Net::HTTPRequest head;
    head.setMethod(request.getMethod());
    head.setURI(request.getURI());
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    copyEndToEndHeaders(request, head, { "authorization", "content-length", "expect", toLower(wire.team), toLower(wire.deadlineMs), toLower(wire.expectedUpstream) });
    if (!team.empty())
        head.set(wire.team, team);
    if (framing.kind == body_kind::Chunked)
        head.setChunkedTransferEncoding(true);
    else if (framing.kind == body_kind::Length || request.hasContentLength())
        head.setContentLength64(static_cast<Poco::Int64>(framing.length));
    return head;
}

} // namespace almondmoor
