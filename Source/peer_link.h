// Transport of messages between hosts over gRPC.

#pragma once

#include "Core/peer_message.h"
#include "Generated/peer.grpc.pb.h"

#include <condition_variable>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondmoor {

// Serves the peer port and calls other hosts. The handlers are called on gRPC's threads.
class peer_link {
public:
    // Handles a request from another host and returns the reply.
    using request_handler = std::function<peer_message(const peer_message&)>;
    // Receives the reply to a call and its size in bytes, or null and 0 if the call failed.
    using reply_handler = std::function<void(const peer_message* reply, std::size_t bytes)>;

    peer_link(std::string address, duration timeout, request_handler);
    ~peer_link();

    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    // Starts the server. Returns false if it cannot listen on the address.
    bool start();

    // Sends a message without waiting for the reply and returns its size in bytes. Returns 0 and never calls the
    // handler if the link is stopping.
    std::size_t send(const outgoing_message&, reply_handler);

    // Waits for pending calls to other hosts, then stops the server.
    void stop();

private:
    class service;
    struct call;

    wire::Peer::Stub& stubFor(const std::string& address);

    std::string m_address;
    duration m_timeout;
    std::unique_ptr<service> m_service;
    std::unique_ptr<grpc::Server> m_server;
    std::mutex m_mutex;
    std::condition_variable m_callFinished;
    std::map<std::string, std::unique_ptr<wire::Peer::Stub>> m_stubs;
    std::size_t m_pendingCalls = 0;
    bool m_isStopping = false;
};

} // namespace almondmoor
