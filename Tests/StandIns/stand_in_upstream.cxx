// Handles requests as the behaviour of the upstream, or the query of the request, specifies.

#include "StandIns/stand_in_upstream.h"

#include "http_body.h"

#include <Poco/URI.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace almondmoor {

namespace {

    constexpr duration ioTimeout = std::chrono::seconds(30);
    constexpr std::size_t maxPieceBytes = std::size_t { 64 } * 1024;

    // Returns bytes of the body that depend on their offset, so that a test detects lost or repeated pieces.
    std::string patternBytes(std::uint64_t offset, std::size_t size)
    {
        std::string piece(size, '\0');
        for (std::size_t index = 0; index < size; ++index)
            piece[index] = static_cast<char>('a' + (offset + index) % 23);
        return piece;
    }

    // Returns the header lines that the behaviour adds to each response.
    std::string extraHeaders(const http_exchange& exchange, const upstream_behaviour& behaviour)
    {
        std::string extra = behaviour.extraHeaders;
        if (!behaviour.echoedHeader.empty())
            absl::StrAppend(&extra, behaviour.echoedHeader, ": ", exchange.request.get(behaviour.echoedHeader, "-"), "\r\n");
        return extra;
    }

} // namespace

stand_in_upstream::stand_in_upstream(const std::string& address)
{
    const listener_settings settings { address, 64, 4096, ioTimeout, ioTimeout };
    m_listener = std::make_unique<http_listener>(
        settings, [this](http_exchange& exchange) { return serve(exchange); },
        listener_callbacks { [] {}, [] {}, [](bool) {} });
    m_listener->start();
}

stand_in_upstream::~stand_in_upstream()
{
    hold(false);
    stopEndless();
    m_listener->stop();
}

void stand_in_upstream::setBehaviour(const upstream_behaviour& behaviour)
{
    const std::lock_guard lock(m_mutex);
    m_behaviour = behaviour;
}

void stand_in_upstream::hold(bool isHeld)
{
    const std::lock_guard lock(m_mutex);
    m_isHeld = isHeld;
    m_changed.notify_all();
}

void stand_in_upstream::stopEndless()
{
    const std::lock_guard lock(m_mutex);
    m_isEndlessStopped = true;
    m_changed.notify_all();
}

bool stand_in_upstream::isEndlessStopped() const
{
    const std::lock_guard lock(m_mutex);
    return m_isEndlessStopped;
}

void stand_in_upstream::waitUntilEndlessStopped()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_isEndlessStopped; });
}

bool stand_in_upstream::waitForReceived(std::size_t count, duration timeout)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [&] { return m_received >= count; });
}

std::vector<run_record> stand_in_upstream::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::size_t stand_in_upstream::receivedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_received;
}

upstream_behaviour stand_in_upstream::behaviourFor(const std::string& target) const
{
    upstream_behaviour behaviour;
    {
        const std::lock_guard lock(m_mutex);
        behaviour = m_behaviour;
    }
    for (const auto& [name, value] : Poco::URI(target).getQueryParameters()) {
        if (name == "delay-ms")
            behaviour.delay = std::chrono::milliseconds(std::stoul(value));
        else if (name == "status")
            behaviour.status = std::stoi(value);
        else if (name == "bytes")
            behaviour.bodyBytes = std::stoull(value);
        else if (name == "chunked")
            behaviour.isChunked = value == "yes";
        else if (name == "endless")
            behaviour.isEndless = value == "yes";
        else if (name == "crash")
            behaviour.crashesBeforeRun = value == "yes";
    }
    return behaviour;
}

connection_disposition stand_in_upstream::serve(http_exchange& exchange)
{
    {
        std::unique_lock lock(m_mutex);
        ++m_received;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return !m_isHeld; });
    }
    const upstream_behaviour behaviour = behaviourFor(exchange.request.getURI());
    if (behaviour.crashesBeforeRun)
        return connection_disposition::Abort;
    if (behaviour.refusesToStart || behaviour.shedsLoad) {
        const std::string header = behaviour.refusesToStart ? behaviour.notStartedHeaderLine : "Retry-After: 1";
        (void)exchange.stream.send(absl::StrCat("HTTP/1.1 503 Busy\r\n", header, "\r\n", extraHeaders(exchange, behaviour), "Content-Length: 0\r\nConnection: close\r\n\r\n"), presentInstant() + ioTimeout);
        return connection_disposition::Close;
    }
    if (behaviour.respondsBeforeBody) {
        (void)sendResponse(exchange, behaviour);
        waitUntilEndlessStopped();
        return connection_disposition::Abort;
    }
    body_reader body(exchange.stream, exchange.framing);
    std::string received;
    while (!body.isAtEnd()) {
        const auto piece = body.next(presentInstant() + ioTimeout);
        if (!piece.ok())
            return connection_disposition::Close;
        received += *piece;
    }
    if (behaviour.delay > duration::zero())
        std::this_thread::sleep_for(behaviour.delay);
    {
        const std::lock_guard lock(m_mutex);
        const auto& request = exchange.request;
        m_runs.push_back(run_record { request.getMethod(), request.getURI(), request.get("Idempotency-Key", ""), request.get("Almondmoor-Team", ""),
            writeHead(request), received });
    }
    if (behaviour.crashesAfterRun)
        return connection_disposition::Abort;
    if (behaviour.isEndless) {
        sendWithoutEnd(exchange, behaviour);
        return connection_disposition::Abort;
    }
    if (!behaviour.rawResponse.empty()) {
        (void)exchange.stream.send(behaviour.rawResponse, presentInstant() + ioTimeout);
        return behaviour.resetsAfterRawResponse ? connection_disposition::Abort : connection_disposition::Close;
    }
    return sendResponse(exchange, behaviour);
}

void stand_in_upstream::sendWithoutEnd(http_exchange& exchange, const upstream_behaviour& behaviour)
{
    const auto sendPiece = [&](const std::string& piece) { return exchange.stream.send(piece, presentInstant() + ioTimeout).ok(); };
    bool isOpen = sendPiece(behaviour.endlessStart);
    if (behaviour.endlessPiece.empty()) {
        waitUntilEndlessStopped();
        return;
    }
    while (isOpen && !isEndlessStopped()) {
        isOpen = sendPiece(behaviour.endlessPiece);
        m_endlessBytes += behaviour.endlessPiece.size();
    }
}

connection_disposition stand_in_upstream::sendResponse(http_exchange& exchange, const upstream_behaviour& behaviour)
{
    const std::string framing = behaviour.isChunked ? "Transfer-Encoding: chunked" : absl::StrCat("Content-Length: ", behaviour.bodyBytes);
    const std::string extra = extraHeaders(exchange, behaviour);
    const std::string head = absl::StrCat(behaviour.bytesBeforeResponse, "HTTP/1.1 ", behaviour.status, " Said\r\nContent-Type: text/plain\r\nFor: ",
        exchange.request.get("Guest-Number", "-"), "\r\n", extra, framing, "\r\n\r\n");
    if (!exchange.stream.send(head, presentInstant() + ioTimeout).ok())
        return connection_disposition::Close;
    const std::uint64_t bytesToSend = behaviour.truncatesResponse ? behaviour.bodyBytes / 2 : behaviour.bodyBytes;
    const bool hasBody = exchange.request.getMethod() != "HEAD";
    for (std::uint64_t sent = 0; hasBody && sent < bytesToSend;) {
        const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(maxPieceBytes, bytesToSend - sent));
        const std::string piece = patternBytes(sent, size);
        if (!exchange.stream.send(behaviour.isChunked ? writeChunk(piece) : piece, presentInstant() + ioTimeout).ok())
            return connection_disposition::Close;
        sent += size;
    }
    if (behaviour.truncatesResponse)
        return connection_disposition::Close;
    if (behaviour.isChunked && hasBody)
        (void)exchange.stream.send(lastChunk, presentInstant() + ioTimeout);
    return connection_disposition::Keep;
}

} // namespace almondmoor
