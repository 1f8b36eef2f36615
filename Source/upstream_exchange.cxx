#include "upstream_exchange.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <optional>

namespace almondmoor {

namespace {

    constexpr int leastErrorStatus = 400;
    constexpr unsigned mostInterimAnswers = 16;
    constexpr unsigned mostSkippedAnswers = 2;

    // Returns for how long the upstream keeps an idle connection, as far as it
    // says so.
    std::optional<duration> idleLimit(const Poco::Net::HTTPResponse& response)
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

exchange_end upstream_exchange::endOf(const absl::Status& status)
{
    m_detail = std::string(status.message());
    if (absl::IsDeadlineExceeded(status))
        return exchange_end::Timeout;
    if (absl::IsCancelled(status))
        return exchange_end::GuestGone;
    if (absl::IsInvalidArgument(status))
        return exchange_end::BadAnswer;
    return exchange_end::Lost;
}

exchange_end upstream_exchange::run(const outgoing_request& request, byte_stream& guest, instant deadline, duration bodyTimeout)
{
    instant connectDeadline = deadline;
    if (request.connectTimeout > duration::zero())
        connectDeadline = std::min(deadline, presentInstant() + request.connectTimeout);
    auto acquired = m_pool.acquire(m_upstream, request.longestIdle, connectDeadline);
    if (!acquired.ok()) {
        m_detail = std::string(acquired.status().message());
        return exchange_end::ConnectFailed;
    }
    m_stream = std::move(acquired->stream);
    m_isKept = acquired->isKept;
    if (!m_beforeSend())
        return exchange_end::NotStarted;
    const exchange_end sent = send(request, deadline, bodyTimeout);
    if (sent != exchange_end::Answered)
        return sent;
    return receiveHead(request.head.getMethod(), guest, deadline);
}

exchange_end upstream_exchange::send(const outgoing_request& request, instant deadline, duration bodyTimeout)
{
    m_sentAt = presentInstant();
    std::string start = writeHead(request.head);
    if (request.head.getChunkedTransferEncoding()) {
        if (!request.bodyStart.empty())
            start += writeChunk(request.bodyStart);
        if (!request.bodyRest)
            start += lastChunk;
    } else {
        start += request.bodyStart;
    }
    const auto status = m_stream->send(start, deadline);
    // An upstream that answers early may close its side; its answer counts.
    if (!status.ok() && m_stream->isIdleAndOpen())
        return endOf(status);
    if (!request.bodyRest) {
        m_isBodySent = status.ok();
        return exchange_end::Answered;
    }
    return sendRest(request, deadline, bodyTimeout);
}

exchange_end upstream_exchange::sendRest(const outgoing_request& request, instant deadline, duration bodyTimeout)
{
    const bool isChunked = request.head.getChunkedTransferEncoding();
    while (true) {
        // An early answer ends the sending; the guest gets it at once.
        if (!m_stream->isIdleAndOpen())
            return exchange_end::Answered;
        const auto piece = request.bodyRest->next(presentInstant() + bodyTimeout);
        if (!piece.ok()) {
            m_detail = std::string(piece.status().message());
            return isDisconnected(piece.status()) ? exchange_end::GuestGone : exchange_end::GuestBodyFailed;
        }
        if (request.scanner->scan(*piece)) {
            m_detail = "the body holds the guest's key";
            return exchange_end::GuestBodyFailed;
        }
        const bool isEnd = request.bodyRest->isAtEnd() && piece->empty();
        const std::string safe = request.scanner->takeSafeBytes(isEnd);
        std::string bytes = isChunked && !safe.empty() ? writeChunk(safe) : safe;
        if (isEnd && isChunked)
            bytes += lastChunk;
        const auto status = m_stream->send(bytes, std::max(deadline, presentInstant() + bodyTimeout));
        if (!status.ok())
            return m_stream->isClosedByPeer() ? exchange_end::Lost : endOf(status);
        if (isEnd) {
            m_isBodySent = true;
            return exchange_end::Answered;
        }
    }
}

exchange_end upstream_exchange::receiveOneHead(const std::string& method, byte_stream& guest, instant deadline)
{
    for (unsigned interim = 0; interim <= mostInterimAnswers;) {
        const auto length = headLength(m_stream->buffered());
        if (!length) {
            if (m_stream->buffered().size() > defaultMaxHeadBytes)
                return endOf(absl::InvalidArgumentError("the answer's head is too large"));
            auto status = m_stream->waitReadableOrClosed(guest, deadline);
            if (!m_stream->buffered().empty() || status.ok())
                status = m_stream->receive(deadline);
            if (!status.ok())
                return endOf(status);
            continue;
        }
        const std::string block(m_stream->buffered().substr(0, *length));
        m_stream->consume(*length);
        m_response.clear();
        const auto status = readResponseHead(block, method, m_response, m_framing);
        if (!status.ok())
            return endOf(status);
        if (m_response.getStatus() >= 200)
            break;
        if (m_response.getStatus() == 101 || ++interim > mostInterimAnswers)
            return endOf(absl::InvalidArgumentError("the answer switches protocols or never begins"));
    }
    return exchange_end::Answered;
}

bool upstream_exchange::isForAnotherRequest() const
{
    if (m_rules.idHeader.empty() || !m_response.has(m_rules.idHeader))
        return false;
    return m_response.get(m_rules.idHeader) != m_rules.id;
}

bool upstream_exchange::skipBody(instant deadline)
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

exchange_end upstream_exchange::receiveHead(const std::string& method, byte_stream& guest, instant deadline)
{
    for (unsigned skipped = 0; skipped <= mostSkippedAnswers; ++skipped) {
        const exchange_end end = receiveOneHead(method, guest, deadline);
        m_mayWaitOn = end == exchange_end::Timeout;
        if (end != exchange_end::Answered)
            return end;
        if (!isForAnotherRequest())
            break;
        if (skipped == mostSkippedAnswers || !skipBody(deadline))
            return endOf(absl::InvalidArgumentError("the answers belong to other requests"));
    }
    m_latency = presentInstant() - m_sentAt;
    if (m_framing.kind == body_kind::UntilClose && !m_rules.mayEndWithConnection)
        return endOf(absl::InvalidArgumentError("the answer's end cannot be told from a lost connection"));
    if (m_response.getStatus() >= leastErrorStatus && m_response.has(m_rules.notStarted))
        return exchange_end::NotStarted;
    return exchange_end::Answered;
}

void upstream_exchange::finish()
{
    if (!m_stream)
        return;
    const bool wantsClose = toLower(m_response.get("Connection", "")) == "close" || m_response.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
    if (wantsClose || !m_isBodySent || m_framing.kind == body_kind::UntilClose || !m_stream->buffered().empty()) {
        cancel();
        return;
    }
    m_pool.putBack(m_upstream, std::move(m_stream), idleLimit(m_response));
}

void upstream_exchange::cancel()
{
    if (m_stream)
        m_stream->abort();
    m_stream.reset();
}

} // namespace almondmoor
