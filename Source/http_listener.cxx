#include "http_listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <exception>
#include <vector>

namespace almondmoor {

namespace {

    constexpr int backlog = 1024;
    // Connections accepted at a time. The port stays readable if more are waiting.
    constexpr unsigned maxAcceptsPerEvent = 64;
    constexpr duration refusalTimeout = std::chrono::milliseconds(200);
    // Pause after a failure to accept a connection.
    constexpr duration acceptPause = std::chrono::milliseconds(50);
    // Time for which a connection whose last response was sent waits for its client to close it.
    constexpr duration lingerTimeout = std::chrono::seconds(1);

} // namespace

http_listener::http_listener(listener_settings settings, handler handle, listener_callbacks callbacks)
    : m_settings(std::move(settings))
    , m_handler(std::move(handle))
    , m_callbacks(std::move(callbacks))
    , m_maxHeadBytes(defaultMaxHeadBytes)
    , m_headTimeout(m_settings.headTimeout)
    , m_idleTimeout(m_settings.idleTimeout)
{
}

http_listener::~http_listener()
{
    stop();
}

void http_listener::start()
{
    m_socket.bind(Poco::Net::SocketAddress(m_settings.address), true);
    m_socket.listen(backlog);
    m_socket.setBlocking(false);
    if (m_settings.workerCount > 0)
        m_workers = std::make_unique<boost::asio::thread_pool>(m_settings.workerCount);
    m_isAccepting = true;
    m_isListening = true;
    m_loop.post([this] {
        m_loop.watch(m_socket.impl()->sockfd(), [this] { accept(); });
        tick();
    });
    m_pollThread = std::thread([this] { m_loop.run(); });
}

void http_listener::setLimits(std::size_t maxHeadBytes, duration headTimeout, duration idleTimeout)
{
    m_maxHeadBytes = maxHeadBytes;
    m_headTimeout = headTimeout;
    m_idleTimeout = idleTimeout;
}

void http_listener::tick()
{
    closeExpired();
    followStop();
    if (!m_isStopping)
        m_loop.callAfter(m_settings.pollInterval, [this] { tick(); });
}

void http_listener::followStop()
{
    if (m_isClosing && !m_hasClosedIdleConnections) {
        m_hasClosedIdleConnections = true;
        closeIdleConnections(true);
    }
    closePortWhenStopped();
}

void http_listener::execute(std::function<void()> function)
{
    if (m_workers)
        boost::asio::post(*m_workers, std::move(function));
    else
        m_loop.spawn(std::move(function));
}

void http_listener::accept()
{
    for (unsigned count = 0; m_isAccepting && count < maxAcceptsPerEvent; ++count) {
        Poco::Net::StreamSocket socket;
        try {
            if (!m_socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
                return;
            socket = m_socket.acceptConnection();
        } catch (const Poco::Exception&) {
            // The system lacks descriptors or memory. The port stays readable, so watching it would spin.
            const int descriptor = m_socket.impl()->sockfd();
            m_loop.unwatch(descriptor);
            m_loop.callAfter(acceptPause, [this, descriptor] {
                if (m_isListening)
                    m_loop.watch(descriptor, [this] { accept(); });
            });
            return;
        }
        if (m_openCount >= m_settings.maxConnections) {
            m_callbacks.connectionRefused();
            socket.close();
            continue;
        }
        m_callbacks.connectionAccepted();
        ++m_openCount;
        auto it = std::make_shared<connection>(socket);
        it->waitingSince = presentInstant();
        watch(it);
    }
}

void http_listener::watch(const std::shared_ptr<connection>& it)
{
    const int descriptor = it->stream.descriptor();
    m_watched[descriptor] = it;
    m_loop.watch(descriptor, [this, it] { onReadable(it); });
}

void http_listener::unwatch(const connection& it)
{
    const int descriptor = it.stream.descriptor();
    m_watched.erase(descriptor);
    m_loop.unwatch(descriptor);
}

void http_listener::closeConnection(const std::shared_ptr<connection>& it)
{
    unwatch(*it);
    it->stream.close();
    --m_openCount;
}

void http_listener::onReadable(const std::shared_ptr<connection>& it)
{
    const bool isFirstByte = it->stream.buffered().empty();
    if (!it->stream.receiveAvailable()) {
        closeConnection(it);
        return;
    }
    if (it->isLingering) {
        it->stream.consume(it->stream.buffered().size());
        return;
    }
    if (isFirstByte)
        it->waitingSince = presentInstant();
    dispatchIfComplete(it);
}

bool http_listener::dispatchIfComplete(const std::shared_ptr<connection>& it)
{
    const auto length = headLength(it->stream.buffered());
    const bool isTooLarge = length.value_or(it->stream.buffered().size()) > m_maxHeadBytes;
    const bool isMalformed = !length && hasBareLineFeed(it->stream.buffered());
    if (!length && !isTooLarge && !isMalformed)
        return false;
    unwatch(*it);
    ++m_runningCount;
    execute([this, it, isTooLarge, isMalformed, length] {
        if (isTooLarge || isMalformed) {
            refuseHead(*it, isTooLarge, isTooLarge ? "the head is too large" : "a line does not end in CR LF");
            finishExchange(it, connection_disposition::Close);
            return;
        }
        const std::string head(it->stream.buffered().substr(0, *length));
        it->stream.consume(*length);
        runExchange(it, head);
    });
    return true;
}

void http_listener::refuseHead(connection& it, bool isTooLarge, const std::string& detail)
{
    m_callbacks.headRejected(isTooLarge);
    const std::string_view status = isTooLarge ? "431 Request Header Fields Too Large" : "400 Bad Request";
    const std::string_view reason = isTooLarge ? "head-too-large" : "bad-request";
    const std::string body = absl::StrCat(std::string(reason), ": ", detail, "\n");
    const std::string reply = absl::StrCat("HTTP/1.1 ", std::string(status), "\r\nAlmondmoor-Outcome: not-run\r\nAlmondmoor-Reason: ", std::string(reason),
        "\r\nContent-Type: text/plain\r\nContent-Length: ", body.size(), "\r\nConnection: close\r\n\r\n", body);
    (void)it.stream.send(reply, presentInstant() + refusalTimeout);
}

void http_listener::runExchange(const std::shared_ptr<connection>& it, const std::string& head)
{
    http_exchange exchange { it->stream, {}, {}, presentInstant() };
    const auto status = readRequestHead(head, exchange.request, exchange.framing);
    connection_disposition disposition = connection_disposition::Close;
    if (status.ok())
        disposition = handle(exchange);
    else
        refuseHead(*it, false, std::string(status.message()));
    finishExchange(it, disposition);
}

void http_listener::finishExchange(const std::shared_ptr<connection>& it, connection_disposition disposition)
{
    // A fiber ends before the next exchange of its connection begins.
    m_loop.post([this, it, disposition] {
        --m_runningCount;
        if (disposition == connection_disposition::Abort) {
            unwatch(*it);
            it->stream.abort();
            --m_openCount;
            return;
        }
        if (disposition == connection_disposition::Close || !m_isAccepting || m_isClosing) {
            closeAfterResponse(it);
            return;
        }
        it->waitingSince = presentInstant();
        it->hasServedExchange = true;
        // A pipelined request may already be in the buffer and would raise no further poll event.
        if (!dispatchIfComplete(it))
            watch(it);
    });
}

connection_disposition http_listener::handle(http_exchange& exchange)
{
    try {
        return m_handler(exchange);
    } catch (const std::exception& error) {
        m_callbacks.exchangeFailed(error.what());
        return connection_disposition::Abort;
    }
}

void http_listener::closeAfterResponse(const std::shared_ptr<connection>& it)
{
    it->stream.consume(it->stream.buffered().size());
    const bool isOpen = it->stream.receiveAvailable() && it->stream.shutdownSend();
    if (!isOpen) {
        closeConnection(it);
        return;
    }
    it->stream.consume(it->stream.buffered().size());
    it->isLingering = true;
    it->waitingSince = presentInstant();
    watch(it);
}

duration http_listener::timeoutOf(const connection& it) const
{
    if (it.isLingering)
        return lingerTimeout;
    return it.stream.buffered().empty() ? m_idleTimeout.load() : m_headTimeout.load();
}

void http_listener::closeExpired()
{
    const instant now = presentInstant();
    std::vector<std::shared_ptr<connection>> expired;
    for (const auto& [descriptor, it] : m_watched) {
        if (now - it->waitingSince > timeoutOf(*it))
            expired.push_back(it);
    }
    for (const auto& it : expired)
        closeConnection(it);
}

void http_listener::beginClosing()
{
    m_isClosing = true;
    m_loop.post([this] { followStop(); });
}

void http_listener::stopAccepting()
{
    m_isAccepting = false;
    m_loop.post([this] { followStop(); });
}

void http_listener::closePortWhenStopped()
{
    if (!m_isListening || m_isAccepting)
        return;
    m_isListening = false;
    m_loop.unwatch(m_socket.impl()->sockfd());
    m_socket.close();
    closeIdleConnections(false);
}

void http_listener::closeIdleConnections(bool keepsUnused)
{
    std::vector<std::shared_ptr<connection>> idleConnections;
    for (const auto& [descriptor, it] : m_watched) {
        const bool isKept = it->isLingering || (keepsUnused && !it->hasServedExchange);
        if (!isKept && it->stream.buffered().empty() && (!keepsUnused || it->stream.isIdleAndOpen()))
            idleConnections.push_back(it);
    }
    for (const auto& it : idleConnections)
        closeConnection(it);
}

void http_listener::stop()
{
    stopAccepting();
    m_isStopping = true;
    if (m_workers)
        m_workers->join();
    m_loop.stop();
    if (m_pollThread.joinable())
        m_pollThread.join();
}

} // namespace almondmoor
