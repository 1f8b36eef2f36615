#include "http_listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <vector>

namespace almondmoor {

namespace {

    constexpr int backlog = 1024;
    constexpr duration refusalTimeout = std::chrono::milliseconds(200);
    constexpr duration expiryInterval = std::chrono::milliseconds(100);

} // namespace

http_listener::http_listener(listener_settings settings, handler handle, listener_events events)
    : m_settings(std::move(settings))
    , m_handler(std::move(handle))
    , m_events(std::move(events))
    , m_largestHead(largestHead)
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
    m_pollSet.add(m_socket, Poco::Net::PollSet::POLL_READ);
    m_workers = std::make_unique<boost::asio::thread_pool>(m_settings.workers);
    m_isAccepting = true;
    m_isListening = true;
    m_poller = std::thread([this] { poll(); });
}

void http_listener::setLimits(std::size_t largestHeadBytes, duration headTimeout, duration idleTimeout)
{
    m_largestHead = largestHeadBytes;
    m_headTimeout = headTimeout;
    m_idleTimeout = idleTimeout;
}

void http_listener::poll()
{
    while (!m_isStopping) {
        const auto ready = m_pollSet.poll(Poco::Timespan(m_settings.pollInterval.count()));
        for (const auto& [socket, mode] : ready) {
            if (socket == m_socket) {
                if (m_isAccepting)
                    accept();
                continue;
            }
            std::shared_ptr<connection> found;
            {
                const std::lock_guard lock(m_mutex);
                const auto entry = m_parked.find(socket);
                if (entry != m_parked.end())
                    found = entry->second;
            }
            if (found)
                onReadable(found);
        }
        closeExpired();
        if (m_isClosing && !m_hasClosedIdle) {
            m_hasClosedIdle = true;
            dropIdle(true);
        }
        closeIdle();
    }
    closeIdle();
}

void http_listener::accept()
{
    while (m_isAccepting) {
        Poco::Net::StreamSocket socket;
        try {
            if (!m_socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
                return;
            socket = m_socket.acceptConnection();
        } catch (const Poco::Exception&) {
            return;
        }
        if (m_open >= m_settings.connections) {
            m_events.refused();
            socket.close();
            continue;
        }
        m_events.accepted();
        ++m_open;
        auto it = std::make_shared<connection>(socket);
        it->waitingSince = presentInstant();
        park(it);
    }
}

void http_listener::park(const std::shared_ptr<connection>& it)
{
    const std::lock_guard lock(m_mutex);
    m_parked[it->stream.socket()] = it;
    m_pollSet.add(it->stream.socket(), Poco::Net::PollSet::POLL_READ);
}

void http_listener::drop(const std::shared_ptr<connection>& it)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_parked.erase(it->stream.socket()) > 0)
            m_pollSet.remove(it->stream.socket());
    }
    it->stream.close();
    --m_open;
}

void http_listener::onReadable(const std::shared_ptr<connection>& it)
{
    const bool isFirstByte = it->stream.buffered().empty();
    if (!it->stream.receiveAvailable()) {
        drop(it);
        return;
    }
    if (isFirstByte)
        it->waitingSince = presentInstant();
    dispatchIfComplete(it);
}

bool http_listener::dispatchIfComplete(const std::shared_ptr<connection>& it)
{
    const auto length = headLength(it->stream.buffered());
    const bool isTooLarge = length.value_or(it->stream.buffered().size()) > m_largestHead;
    const bool isBroken = !length && hasBareLineFeed(it->stream.buffered());
    if (!length && !isTooLarge && !isBroken)
        return false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_parked.erase(it->stream.socket()) > 0)
            m_pollSet.remove(it->stream.socket());
    }
    ++m_running;
    boost::asio::post(*m_workers, [this, it, isTooLarge, isBroken, length] {
        if (isTooLarge || isBroken) {
            refuseHead(*it, isTooLarge, isTooLarge ? "the head is too large" : "a line does not end in CR LF");
            --m_running;
            drop(it);
            return;
        }
        const std::string block(it->stream.buffered().substr(0, *length));
        it->stream.consume(*length);
        runExchange(it, block);
    });
    return true;
}

void http_listener::refuseHead(connection& it, bool isTooLarge, const std::string& detail)
{
    m_events.badHead(isTooLarge);
    const std::string_view status = isTooLarge ? "431 Request Header Fields Too Large" : "400 Bad Request";
    const std::string_view reason = isTooLarge ? "head-too-large" : "bad-request";
    const std::string body = absl::StrCat(std::string(reason), ": ", detail, "\n");
    const std::string reply = absl::StrCat("HTTP/1.1 ", std::string(status), "\r\nAlmondmoor-Outcome: not-run\r\nAlmondmoor-Reason: ", std::string(reason),
        "\r\nContent-Type: text/plain\r\nContent-Length: ", body.size(), "\r\nConnection: close\r\n\r\n", body);
    (void)it.stream.send(reply, presentInstant() + refusalTimeout);
}

void http_listener::runExchange(const std::shared_ptr<connection>& it, const std::string& block)
{
    http_exchange exchange { it->stream, {}, {}, presentInstant() };
    const auto status = readRequestHead(block, exchange.request, exchange.framing);
    connection_fate fate = connection_fate::Close;
    if (status.ok())
        fate = m_handler(exchange);
    else
        refuseHead(*it, false, std::string(status.message()));
    --m_running;
    if (fate == connection_fate::Abort)
        it->stream.abort();
    if (fate != connection_fate::Keep || !m_isAccepting || m_isClosing) {
        drop(it);
        return;
    }
    it->waitingSince = presentInstant();
    it->hasServed = true;
    // A pipelined request may be here already and raises no further event.
    if (!dispatchIfComplete(it))
        park(it);
}

void http_listener::closeExpired()
{
    const instant now = presentInstant();
    if (now - m_expiredAt < expiryInterval)
        return;
    m_expiredAt = now;
    std::vector<std::shared_ptr<connection>> expired;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [socket, it] : m_parked) {
            const duration limit = it->stream.buffered().empty() ? m_idleTimeout.load() : m_headTimeout.load();
            if (now - it->waitingSince > limit)
                expired.push_back(it);
        }
    }
    for (const auto& it : expired)
        drop(it);
}

void http_listener::beginClosing()
{
    m_isClosing = true;
}

void http_listener::stopAccepting()
{
    m_isAccepting = false;
}

void http_listener::closeIdle()
{
    if (!m_isListening || m_isAccepting)
        return;
    m_isListening = false;
    m_pollSet.remove(m_socket);
    m_socket.close();
    dropIdle(false);
}

void http_listener::dropIdle(bool keepsNew)
{
    std::vector<std::shared_ptr<connection>> idle;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [socket, it] : m_parked) {
            const bool isNew = keepsNew && !it->hasServed;
            if (!isNew && it->stream.buffered().empty() && (!keepsNew || it->stream.isIdleAndOpen()))
                idle.push_back(it);
        }
    }
    for (const auto& it : idle)
        drop(it);
}

void http_listener::stop()
{
    stopAccepting();
    m_isStopping = true;
    if (m_poller.joinable())
        m_poller.join();
    if (m_workers)
        m_workers->join();
}

} // namespace almondmoor
