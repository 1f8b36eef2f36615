#include "upstream_exchange.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <optional>

namespace almondmoor {

namespace {

    constexpr int minErrorStatus = 400;
    constexpr unsigned maxInterimResponses = 16;
    constexpr unsigned maxSkippedResponses = 2;

    // Returns the timeout for idle connections that the upstream announces in its Keep-Alive header, or nothing if
    // the header is missing or has no valid timeout.
    std::optional<duration> keepAliveTimeout(const Poco::Net::HTTPResponse& response)
    {
        constexpr std::string_view parameter = "timeout=";
        const std::string value = toLower(response.get("Keep-Alive", ""));
        const auto start = value.find(parameter);
        if (start == std::string::npos)
            return std::nullopt;
        const std::string rest = value.substr(start + parameter.size());
        std::uint32_t seconds = 0;
        if (!absl::SimpleAtoi(rest.substr(0, rest.find_first_not_of("0123456789")), &seconds))
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

} // namespace

exchange_result upstream_exchange::resultFromStatus(const absl::Status& status)
{
    m_detail = std::string(status.message());
    if (absl::IsDeadlineExceeded(status))
        return exchange_result::Timeout;
    if (absl::IsCancelled(status))
        return exchange_result::ClientDisconnected;
    if (absl::IsInvalidArgument(status))
        return exchange_result::BadResponse;
    return exchange_result::Lost;
}

exchange_result upstream_exchange::run(const outgoing_request& request, byte_stream& client, instant deadline, duration bodyTimeout)
{
    instant connectDeadline = deadline;
    if (request.connectTimeout > duration::zero())
        connectDeadline = std::min(deadline, presentInstant() + request.connectTimeout);
    auto acquired = m_pool.acquire(m_upstream, request.maxIdleTime, connectDeadline);
    if (!acquired.ok()) {
        m_detail = std::string(acquired.status().message());
        return exchange_result::ConnectFailed;
    }
    m_stream = std::move(acquired->stream);
    m_isReused = acquired->isReused;
    if (!m_beforeSend())
        return exchange_result::NotStarted;
    const exchange_result sent = send(request, client, deadline, bodyTimeout);
    if (sent != exchange_result::ResponseReceived)
        return sent;
    return receiveHead(request.head.getMethod(), client, deadline);
}

exchange_result upstream_exchange::send(const outgoing_request& request, byte_stream& client, instant deadline, duration bodyTimeout)
{
    m_sentAt = presentInstant();
    std::string start = writeHead(request.head);
    if (request.head.getChunkedTransferEncoding()) {
        if (!request.bodyPrefix.empty())
            start += writeChunk(request.bodyPrefix);
        if (!request.remainingBody)
            start += lastChunk;
    } else {
        start += request.bodyPrefix;
    }
    const auto status = m_stream->sendUnlessReadable(start, client, deadline);
    // An upstream that responds before it has read the whole request may close its side, and sending fails then. The
    // response is still read.
    if (!status.ok() && m_stream->isIdleAndOpen())
        return resultFromStatus(status);
    if (!request.remainingBody) {
        m_isBodySent = status.ok();
        return exchange_result::ResponseReceived;
    }
    return sendRemainingBody(request, client, deadline, bodyTimeout);
}

exchange_result upstream_exchange::sendRemainingBody(const outgoing_request& request, byte_stream& client, instant deadline, duration bodyTimeout)
{
    const bool isChunked = request.head.getChunkedTransferEncoding();
    while (true) {
        // Either a response has begun or the upstream has closed the connection. Sending stops, so that the client
        // gets an early response at once.
        if (!m_stream->isIdleAndOpen())
            return exchange_result::ResponseReceived;
        const auto piece = request.remainingBody->next(std::min(deadline, presentInstant() + bodyTimeout));
        if (!piece.ok()) {
            m_detail = std::string(piece.status().message());
            return isDisconnected(piece.status()) ? exchange_result::ClientDisconnected : exchange_result::ClientBodyFailed;
        }
        if (request.scanner->scan(*piece)) {
            m_detail = "the body holds the guest's key";
            return exchange_result::ClientBodyFailed;
        }
        const bool isEnd = request.remainingBody->isAtEnd() && piece->empty();
        const std::string safe = request.scanner->takeSafeBytes(isEnd);
        std::string bytes = isChunked && !safe.empty() ? writeChunk(safe) : safe;
        if (isEnd && isChunked)
            bytes += lastChunk;
        const auto status = m_stream->sendUnlessReadable(bytes, client, deadline);
        if (absl::IsAborted(status))
            return exchange_result::ResponseReceived;
        if (!status.ok())
            return m_stream->isClosedByPeer() ? exchange_result::Lost : resultFromStatus(status);
        if (isEnd) {
            m_isBodySent = true;
            return exchange_result::ResponseReceived;
        }
    }
}

exchange_result upstream_exchange::receiveFinalHead(const std::string& method, byte_stream& client, instant deadline)
{
    for (unsigned interimResponses = 0; interimResponses <= maxInterimResponses;) {
        const auto length = headLength(m_stream->buffered());
        if (!length) {
            if (m_stream->buffered().size() > defaultMaxHeadBytes)
                return resultFromStatus(absl::InvalidArgumentError("the answer's head is too large"));
            auto status = m_stream->waitReadableOrClosed(client, deadline);
            if (!m_stream->buffered().empty() || status.ok())
                status = m_stream->receive(deadline, &client);
            if (!status.ok())
                return resultFromStatus(status);
            continue;
        }
        const std::string block(m_stream->buffered().substr(0, *length));
        m_stream->consume(*length);
        m_response.clear();
        const auto status = readResponseHead(block, method, m_response, m_framing);
        if (!status.ok())
            return resultFromStatus(status);
        if (m_response.getStatus() >= 200)
            break;
        if (m_response.getStatus() == 101 || ++interimResponses > maxInterimResponses)
            return resultFromStatus(absl::InvalidArgumentError("the answer switches protocols or never begins"));
    }
    return exchange_result::ResponseReceived;
}

bool upstream_exchange::isForAnotherRequest() const
{
    if (m_rules.idHeader.empty() || !m_response.has(m_rules.idHeader))
        return false;
    return m_response.get(m_rules.idHeader) != m_rules.id;
}

bool upstream_exchange::hasUnknownRequest() const
{
    return m_isReused && !m_rules.idHeader.empty() && !m_rules.id.empty() && !m_response.has(m_rules.idHeader);
}

bool upstream_exchange::discardBody(instant deadline)
{
    if (m_framing.kind == body_kind::UntilClose)
        return false;
    body_reader body(*m_stream, m_framing);
    while (!body.isAtEnd()) {
        if (!body.next(deadline).ok())
            return false;
    }
    return true;
}

exchange_result upstream_exchange::receiveHead(const std::string& method, byte_stream& client, instant deadline)
{
    for (unsigned skippedResponses = 0; skippedResponses <= maxSkippedResponses; ++skippedResponses) {
        const exchange_result result = receiveFinalHead(method, client, deadline);
        m_canContinueWaiting = result == exchange_result::Timeout;
        if (result != exchange_result::ResponseReceived)
            return result;
        if (!isForAnotherRequest())
            break;
        m_mustClose = true;
        if (skippedResponses == maxSkippedResponses || !discardBody(deadline))
            return resultFromStatus(absl::InvalidArgumentError("the answers belong to other requests"));
    }
    m_latency = presentInstant() - m_sentAt;
    if (hasUnknownRequest())
        return resultFromStatus(absl::InvalidArgumentError("the answer on a reused connection names no request"));
    if (m_framing.kind == body_kind::UntilClose && !m_rules.acceptsBodyUntilClose)
        return resultFromStatus(absl::InvalidArgumentError("the answer's end cannot be told from a lost connection"));
    if (m_response.getStatus() >= minErrorStatus && m_response.has(m_rules.notStarted))
        return exchange_result::NotStarted;
    return exchange_result::ResponseReceived;
}

void upstream_exchange::finish()
{
    if (!m_stream)
        return;
    const bool wantsClose = toLower(m_response.get("Connection", "")) == "close" || m_response.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
    if (wantsClose || m_mustClose || !m_isBodySent || m_framing.kind == body_kind::UntilClose || !m_stream->buffered().empty()) {
        cancel();
        return;
    }
    m_pool.putBack(m_upstream, std::move(m_stream), keepAliveTimeout(m_response));
}

void upstream_exchange::cancel()
{
    if (m_stream)
        m_stream->abort();
    m_stream.reset();
}

} // namespace almondmoor
