#include "client_reply.h"

#include "http_head.h"
#include "http_status.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>

namespace almondmoor {

namespace {

    void setConnection(Poco::Net::HTTPResponse& head, bool keepsConnection)
    {
        head.set("Connection", keepsConnection ? "keep-alive" : "close");
    }

} // namespace

Poco::Net::HTTPResponse forwardedHead(const Poco::Net::HTTPResponse& response, const forwarded_body& body, bool keepsConnection)
{
    Poco::Net::HTTPResponse head;
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    head.setStatus(response.getStatus());
    head.setReason(response.getReason());
    copyEndToEndHeaders(response, head, { "content-length" });
    const int status = response.getStatus();
    const bool hasNoBody = status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (body.isChunked)
        head.setChunkedTransferEncoding(true);
    else if (response.hasContentLength())
        head.setContentLength64(response.getContentLength64());
    else if (!hasNoBody)
        head.setContentLength64(static_cast<Poco::Int64>(body.bufferedBytes));
    setConnection(head, keepsConnection);
    return head;
}

int refusalStatus(const refusal_row& row, bool isNotRun)
{
    if (isNotRun)
        return row.httpStatus >= serverErrorStatus ? unavailableStatus : row.httpStatus;
    return row.httpStatus == unavailableStatus || row.httpStatus < serverErrorStatus ? badGatewayStatus : row.httpStatus;
}

std::string writeRefusal(const refusal_reply& refusal)
{
    Poco::Net::HTTPResponse head;
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    head.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(refusal.status));
    head.set("Almondmoor-Reason", std::string(refusal.reason));
    if (!refusal.id.empty())
        head.set(refusal.idHeader, refusal.id);
    setConnection(head, refusal.keepsConnection);
    const bool hasRetryAfter = refusal.status == Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS || refusal.status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    if (hasRetryAfter)
        head.set("Retry-After", absl::StrFormat("%.2f", toSeconds(std::max(minRetryAfter, refusal.retryAfter))));
    head.setContentType("text/plain");
    const std::string body = absl::StrCat(std::string(refusal.reason), ": ", std::string(refusal.detail), "\n");
    head.setContentLength64(static_cast<Poco::Int64>(body.size()));
    return refusal.hasBody ? writeHead(head) + body : writeHead(head);
}

} // namespace almondmoor
