// Blocking sockets and HTTP/1.1 messages for the stand-ins of the second review. Loopback addresses only.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace review {

// Headers by lower-case name.
using header_map = std::map<std::string, std::string>;

struct http_message {
    // The request line or the status line.
    std::string startLine;
    header_map headers;
    std::string body;

    // Returns a header, or an empty string.
    std::string header(const std::string& lowerCaseName) const;
    // Returns one of the words of the start line.
    std::string word(std::size_t index) const;
    // Returns the status of a response.
    int status() const;
};

// One connection. Each read ends after readTimeoutMs.
class connection {
public:
    explicit connection(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~connection() { close(); }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool connectTo(std::uint16_t port);
    void setReadTimeout(int milliseconds) const;
    bool send(const std::string& bytes) const;
    // Reads a head and, unless it is left out, the body that belongs to it. Returns false if the connection ends before.
    bool readHead(http_message&);
    bool readBody(http_message&);
    bool read(http_message& message) { return readHead(message) && readBody(message); }
    // Ends the connection with a reset.
    void reset();
    void close();
    int descriptor() const { return m_descriptor; }

private:
    bool receiveMore();
    bool takeLine(std::string& line);
    bool takeBytes(std::size_t count, std::string& bytes);

    int m_descriptor;
    std::string m_buffer;
};

// Opens a listening socket on 127.0.0.1. A port of 0 chooses a free one, which is stored there. Returns -1 after a failure.
int listenOn(std::uint16_t& port);

// Returns a port that was free a moment ago, or 0 if there is none.
std::uint16_t freePort();

// Accepts a connection within the time. Returns -1 if there was none.
int acceptWithin(int listener, int milliseconds);

} // namespace review
