#include "byte_stream.h"

#include "fiber_loop.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <poll.h>
#include <span>
#include <sys/socket.h>
#include <system_error>

namespace almondmoor {

namespace {

    constexpr std::size_t receiveBufferBytes = std::size_t { 64 } * 1024;

    int remainingMs(instant deadline)
    {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - presentInstant());
        return static_cast<int>(std::clamp<std::int64_t>(remaining.count(), 0, 3'600'000));
    }

    absl::Status deadlinePassed()
    {
        return absl::DeadlineExceededError("the deadline passed");
    }

    absl::Status connectionEnded()
    {
        return absl::OutOfRangeError("the connection ended");
    }

    absl::Status clientDisconnected()
    {
        return absl::CancelledError("the guest went away");
    }

    // Waits until one of the descriptors is ready. In a fiber, other fibers run meanwhile. Returns the number of ready
    // descriptors, 0 at the deadline and a negative number after a failure.
    int pollUntil(std::span<pollfd> entries, instant deadline)
    {
        if (fiber_loop* loop = fiber_loop::current())
            return loop->waitForEvents(entries, deadline);
        while (true) {
            const int ready = ::poll(entries.data(), entries.size(), remainingMs(deadline));
            if (ready >= 0 || errno != EINTR)
                return ready;
        }
    }

    // Lets other fibers run if the turn of this fiber is over. Returns whether the deadline has passed meanwhile.
    bool yieldPast(instant deadline)
    {
        fiber_loop* loop = fiber_loop::current();
        return loop && loop->yieldAfterTurn() && presentInstant() >= deadline;
    }

    bool waitForEvents(int descriptor, short events, instant deadline)
    {
        pollfd entry { descriptor, events, 0 };
        return pollUntil({ &entry, 1 }, deadline) > 0;
    }

    // Large reads are rare, so all streams of a thread share one buffer instead of taking it from their small stacks.
    thread_local std::array<char, receiveBufferBytes> receiveBuffer;

} // namespace

instant presentInstant()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return instant(std::chrono::duration_cast<duration>(sinceBoot));
}

byte_stream::byte_stream(const Poco::Net::StreamSocket& socket)
    : m_socket(socket)
    , m_descriptor(m_socket.impl()->sockfd())
{
    m_socket.setBlocking(false);
    m_socket.setNoDelay(true);
}

absl::Status byte_stream::connect(const std::string& address, instant deadline, Poco::Net::StreamSocket& socket)
{
    try {
        socket.connectNB(Poco::Net::SocketAddress(address));
    } catch (const Poco::Exception& error) {
        return absl::UnavailableError(error.displayText());
    }
    const int descriptor = socket.impl()->sockfd();
    if (!waitForEvents(descriptor, POLLOUT, deadline))
        return deadlinePassed();
    int error = 0;
    socklen_t size = sizeof(error);
    if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return absl::UnavailableError(absl::StrCat("cannot connect to ", address, ": ", std::generic_category().message(error)));
    return absl::OkStatus();
}

void byte_stream::consume(std::size_t count)
{
    m_consumed += count;
    if (m_consumed == m_buffer.size()) {
        m_buffer.clear();
        m_consumed = 0;
    }
}

bool byte_stream::receiveAvailable()
{
    if (m_consumed > 0) {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
    }
    const std::size_t sizeBefore = m_buffer.size();
    const ssize_t count = ::recv(m_socket.impl()->sockfd(), receiveBuffer.data(), receiveBuffer.size(), 0);
    if (count > 0)
        m_buffer.append(receiveBuffer.data(), static_cast<std::size_t>(count));
    const bool wouldBlock = count < 0 && (errno == EAGAIN || errno == EINTR);
    m_hasFailed = count < 0 && !wouldBlock;
    return m_buffer.size() > sizeBefore || wouldBlock;
}

absl::Status byte_stream::receive(instant deadline, byte_stream* watched)
{
    if (yieldPast(deadline))
        return deadlinePassed();
    const std::size_t sizeBefore = buffered().size();
    while (true) {
        if (!receiveAvailable())
            return m_hasFailed ? absl::DataLossError("the connection was reset") : connectionEnded();
        if (buffered().size() > sizeBefore)
            return absl::OkStatus();
        if (presentInstant() >= deadline)
            return deadlinePassed();
        auto status = waitReadable(watched, deadline);
        if (!status.ok())
            return status;
    }
}

bool byte_stream::sendAvailable(std::string_view& bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count > 0)
            bytes.remove_prefix(static_cast<std::size_t>(count));
        else
            return errno == EAGAIN || errno == EINTR;
    }
    return true;
}

absl::Status byte_stream::waitWritable(byte_stream* watched, instant deadline)
{
    if (!watched)
        return waitForEvents(m_socket.impl()->sockfd(), POLLOUT, deadline) ? absl::OkStatus() : deadlinePassed();
    std::array<pollfd, 2> entries { { { m_socket.impl()->sockfd(), POLLOUT | POLLIN, 0 }, { watched->m_socket.impl()->sockfd(), POLLRDHUP, 0 } } };
    if (pollUntil(entries, deadline) == 0)
        return deadlinePassed();
    if (entries[0].revents & POLLIN)
        return absl::AbortedError("the other side sends before it has read everything");
    return entries[1].revents ? clientDisconnected() : absl::OkStatus();
}

absl::Status byte_stream::sendAll(std::string_view bytes, byte_stream* watched, instant deadline)
{
    if (yieldPast(deadline))
        return deadlinePassed();
    while (true) {
        if (!sendAvailable(bytes))
            return connectionEnded();
        if (bytes.empty())
            return absl::OkStatus();
        if (presentInstant() >= deadline)
            return deadlinePassed();
        auto status = waitWritable(watched, deadline);
        if (!status.ok())
            return status;
    }
}

absl::Status byte_stream::send(std::string_view bytes, instant deadline)
{
    return sendAll(bytes, nullptr, deadline);
}

absl::Status byte_stream::sendUnlessReadable(std::string_view bytes, byte_stream& watched, instant deadline)
{
    return sendAll(bytes, &watched, deadline);
}

bool byte_stream::isIdleAndOpen()
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket.impl()->sockfd(), &byte, 1, MSG_PEEK);
    return buffered().empty() && count < 0 && errno == EAGAIN;
}

bool byte_stream::isClosedByPeer()
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket.impl()->sockfd(), &byte, 1, MSG_PEEK);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

absl::Status byte_stream::waitReadable(byte_stream* watched, instant deadline)
{
    if (!watched)
        return waitForEvents(m_socket.impl()->sockfd(), POLLIN, deadline) ? absl::OkStatus() : deadlinePassed();
    std::array<pollfd, 2> entries { { { m_socket.impl()->sockfd(), POLLIN, 0 }, { watched->m_socket.impl()->sockfd(), POLLRDHUP, 0 } } };
    const int ready = pollUntil(entries, deadline);
    if (ready == 0)
        return deadlinePassed();
    if (entries[0].revents)
        return absl::OkStatus();
    return entries[1].revents ? clientDisconnected() : connectionEnded();
}

absl::Status byte_stream::waitReadableOrClosed(byte_stream& other, instant deadline)
{
    return buffered().empty() ? waitReadable(&other, deadline) : absl::OkStatus();
}

bool isDisconnected(const absl::Status& status)
{
    return absl::IsOutOfRange(status) || absl::IsDataLoss(status);
}

bool byte_stream::shutdownSend()
{
    return ::shutdown(m_socket.impl()->sockfd(), SHUT_WR) == 0;
}

void byte_stream::abort()
{
    try {
        m_socket.setLinger(true, 0);
    } catch (const Poco::Exception&) {
        // The connection is closed already.
    }
    close();
}

void byte_stream::close()
{
    try {
        m_socket.close();
    } catch (const Poco::Exception&) {
        // Nothing is left to do: the socket is unusable either way.
    }
}

} // namespace almondmoor
