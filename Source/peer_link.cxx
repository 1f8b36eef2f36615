#include "peer_link.h"

#include "peer_codec.h"

namespace almondmoor {

namespace {

    constexpr std::chrono::milliseconds shutdownGrace(200);
    constexpr int maxMessageBytes = 64 << 20;
    // A connection over which nothing arrives for this long is probed, and closed if the probe gets no answer. Otherwise
    // calls would go on to use a connection that has gone silent until the system's TCP gives it up after minutes.
    constexpr int probeAfterMs = 1000;
    constexpr int probeTimeoutMs = 500;

} // namespace

class peer_link::service final : public wire::Peer::Service {
public:
    explicit service(request_handler handler)
        : m_handler(std::move(handler))
    {
    }

    grpc::Status Exchange(grpc::ServerContext*, const wire::PeerMessage* request, wire::PeerMessage* reply) override
    {
        *reply = toWire(m_handler(fromWire(*request)));
        return grpc::Status::OK;
    }

private:
    request_handler m_handler;
};

struct peer_link::call {
    grpc::ClientContext context;
    wire::PeerMessage request;
    wire::PeerMessage reply;
};

peer_link::peer_link(std::string address, duration timeout, request_handler handler)
    : m_address(std::move(address))
    , m_timeout(timeout)
    , m_service(std::make_unique<service>(std::move(handler)))
{
}

peer_link::~peer_link()
{
    stop();
}

bool peer_link::start()
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(m_address, grpc::InsecureServerCredentials(), &port);
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, probeAfterMs / 2);
    // Probes never count as abuse.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.RegisterService(m_service.get());
    m_server = builder.BuildAndStart();
    return m_server && port != 0;
}

wire::Peer::Stub& peer_link::stubFor(const std::string& address)
{
    auto& stub = m_stubs[address];
    if (!stub) {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(maxMessageBytes);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, probeAfterMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, probeTimeoutMs);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        stub = wire::Peer::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    }
    return *stub;
}

std::size_t peer_link::send(const outgoing_message& message, reply_handler handler)
{
    auto pendingCall = std::make_shared<call>();
    pendingCall->request = toWire(message.message);
    pendingCall->context.set_deadline(std::chrono::system_clock::now() + m_timeout);
    const std::size_t bytes = pendingCall->request.ByteSizeLong();
    wire::Peer::Stub* stub = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            return 0;
        stub = &stubFor(message.address);
        ++m_pendingCalls;
    }
    stub->async()->Exchange(&pendingCall->context, &pendingCall->request, &pendingCall->reply, [this, pendingCall, handler = std::move(handler)](const grpc::Status& status) {
        if (status.ok()) {
            const peer_message reply = fromWire(pendingCall->reply);
            handler(&reply, pendingCall->reply.ByteSizeLong());
        } else {
            handler(nullptr, 0);
        }
        const std::lock_guard lock(m_mutex);
        --m_pendingCalls;
        m_callFinished.notify_all();
    });
    return bytes;
}

void peer_link::stop()
{
    std::unique_lock lock(m_mutex);
    m_isStopping = true;
    m_callFinished.wait(lock, [this] { return m_pendingCalls == 0; });
    lock.unlock();
    if (m_server)
        m_server->Shutdown(std::chrono::system_clock::now() + shutdownGrace);
    m_server.reset();
}

} // namespace almondmoor
