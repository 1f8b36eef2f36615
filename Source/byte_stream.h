// A TCP connection with a read buffer and deadlines.

#pragma once

#include "Core/core_time.h"

#include <Poco/Net/StreamSocket.h>
#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace almondmoor {

// Returns the present instant, from a clock that counts suspended time.
instant presentInstant();

// One side uses a stream at a time; it is not thread-safe. After an error the
// stream can only be closed.
class byte_stream {
public:
    // Takes over a connected socket and makes it non-blocking.
    explicit byte_stream(const Poco::Net::StreamSocket&);

    // Connects to IP-NUMBER:PORT.
    static absl::Status connect(const std::string& address, instant deadline, Poco::Net::StreamSocket& socket);

    // Bytes that were received and not consumed yet.
    std::string_view buffered() const { return std::string_view(m_buffer).substr(m_consumed); }
    void consume(std::size_t count);

    // Receives at least one more byte into the buffer. The end of the stream is
    // an error of code OutOfRange, a reset or another failure of the connection
    // one of DataLoss, a passed deadline one of DeadlineExceeded.
    absl::Status receive(instant deadline);

    // Receives what is there without waiting. Returns false if the stream ended.
    bool receiveAvailable();

    // Sends all bytes.
    absl::Status send(std::string_view bytes, instant deadline);

    // Returns whether an idle connection is still open with nothing unread.
    bool isIdleAndOpen();

    // Returns whether the other side has closed, without consuming anything.
    bool isClosedByPeer();

    // Waits until this stream has bytes to read or the other one was closed by
    // its peer. Returns Cancelled in the latter case.
    absl::Status waitReadableOrClosed(byte_stream& other, instant deadline);

    // Closes so that the other side sees an error instead of a clean end.
    void abort();
    void close();

    Poco::Net::StreamSocket& socket() { return m_socket; }

private:
    Poco::Net::StreamSocket m_socket;
    std::string m_buffer;
    // Invariant: at most the size of m_buffer.
    std::size_t m_consumed = 0;
    bool m_hasFailed = false;
};

// Returns whether an error says that the other side is gone, by an orderly end
// or not.
bool isDisconnected(const absl::Status&);

} // namespace almondmoor
