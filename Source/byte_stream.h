// A TCP connection with a read buffer, whose operations have deadlines.

#pragma once

#include "Core/core_time.h"

#include <Poco/Net/StreamSocket.h>
#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace almondmoor {

// Returns the present instant from CLOCK_BOOTTIME, which also counts the time for which the machine was suspended.
instant presentInstant();

// Not thread-safe: only one thread may use a stream at a time. After an error the stream can only be closed.
//
// In a fiber, receive() and send() let other fibers run when the turn of the fiber is over. Loops over the bytes of a
// stream therefore never keep the thread, and end at their deadline even if the other side never pauses.
class byte_stream {
public:
    // Takes over a connected socket and makes it non-blocking.
    explicit byte_stream(const Poco::Net::StreamSocket&);

    // Connects to an address of the form IP-NUMBER:PORT. Returns DeadlineExceeded if the deadline passes, and
    // Unavailable after any other failure.
    static absl::Status connect(const std::string& address, instant deadline, Poco::Net::StreamSocket& socket);

    // Returns the bytes that were received and not yet consumed.
    std::string_view buffered() const { return std::string_view(m_buffer).substr(m_consumed); }
    void consume(std::size_t count);

    // Receives at least one byte into the buffer. Returns OutOfRange at the end of the stream, DataLoss after a reset
    // or another failure of the connection, and DeadlineExceeded if the deadline passes. Bytes that have already arrived
    // are received after the deadline too, but no more than one turn of the fiber takes. If another stream is given,
    // returns Cancelled as soon as the connection of that one is closed by its other side during the wait.
    absl::Status receive(instant deadline, byte_stream* watched = nullptr);

    // Receives what is available without waiting. Returns false if the stream has ended or failed.
    bool receiveAvailable();

    // Sends all bytes. Returns OutOfRange if the connection failed and DeadlineExceeded if the deadline passes.
    absl::Status send(std::string_view bytes, instant deadline);

    // Sends bytes like send(), but stops if the other side begins to send or closes meanwhile, and then returns Aborted.
    // Returns Cancelled as soon as the connection of the watched stream is closed by its other side during the wait.
    absl::Status sendUnlessReadable(std::string_view bytes, byte_stream& watched, instant deadline);

    // Returns whether the connection is open and no received byte is unread.
    bool isIdleAndOpen();

    // Returns whether the other side has closed the connection. Consumes nothing.
    bool isClosedByPeer();

    // Waits until this stream has bytes to read or the connection of the other stream was closed by its other side.
    // Returns Cancelled in the latter case.
    absl::Status waitReadableOrClosed(byte_stream& other, instant deadline);

    // Ends the sending side; the other side sees an orderly end after the bytes sent so far. Returns false if the
    // connection has failed.
    bool shutdownSend();

    // Closes the connection with a reset, so that the other side sees an error instead of an orderly end.
    void abort();
    void close();

    Poco::Net::StreamSocket& socket() { return m_socket; }
    int descriptor() const { return m_descriptor; }

private:
    // Sends what fits into the socket without waiting and removes it from the bytes. Returns false if the connection has
    // failed.
    bool sendAvailable(std::string_view& bytes);
    // Sends all bytes. With another stream, behaves as sendUnlessReadable() says.
    absl::Status sendAll(std::string_view bytes, byte_stream* watched, instant deadline);
    // Waits until this stream is writable. With another stream, behaves as sendUnlessReadable() says.
    absl::Status waitWritable(byte_stream* watched, instant deadline);
    // Waits until this stream is readable. With another stream, behaves as receive() says.
    absl::Status waitReadable(byte_stream* watched, instant deadline);

    Poco::Net::StreamSocket m_socket;
    // Number of the socket's descriptor, also after it was closed.
    int m_descriptor;
    std::string m_buffer;
    // Number of bytes at the start of m_buffer that were consumed; at most the size of m_buffer.
    std::size_t m_consumed = 0;
    bool m_hasFailed = false;
};

// Returns whether an error means that the other side closed the connection or that the connection failed.
bool isDisconnected(const absl::Status&);

} // namespace almondmoor
