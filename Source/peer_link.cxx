#include "peer_link.h"

#include "peer_codec.h"

namespace almondmoor {

namespace {

    constexpr std::chrono::milliseconds shutdownGrace(200);
    constexpr int largestMessage = 64 << 20;

} // namespace

class peer_link::service final : public wire::Peer::Service {
public:
    explicit service(request_handler handle)
        : m_handle(std::move(handle))
    {
    }

    grpc::Status Exchange(grpc::ServerContext*, const wire::PeerMessage* request, wire::PeerMessage* reply) override
    {
        *reply = toWire(m_handle(fromWire(*request)));
        return grpc::Status::OK;
    }

private:
    request_handler m_handle;
};

struct peer_link::call {
    grpc::ClientContext context;
    wire::PeerMessage request;
    wire::PeerMessage reply;
};

peer_link::peer_link(std::string address, duration timeout, request_handler handle)
    : m_address(std::move(address))
    , m_timeout(timeout)
    , m_service(std::make_unique<service>(std::move(handle)))
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
    builder.SetMaxReceiveMessageSize(largestMessage);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(m_service.get());
    m_server = builder.BuildAndStart();
    return m_server && port != 0;
}

wire::Peer::Stub& peer_link::stubFor(const std::string& address)
{
    auto& stub = m_stubs[address];
    if (!stub) {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(largestMessage);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        stub = wire::Peer::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    }
    return *stub;
}

std::size_t peer_link::send(const outgoing_message& message, reply_handler handle)
{
    auto it = std::make_shared<call>();
    it->request = toWire(message.message);
    it->context.set_deadline(std::chrono::system_clock::now() + m_timeout);
    const std::size_t bytes = it->request.ByteSizeLong();
    wire::Peer::Stub* stub = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            return 0;
        stub = &stubFor(message.address);
        ++m_running;
    }
    stub->async()->Exchange(&it->context, &it->request, &it->reply, [this, it, handle = std::move(handle)](const grpc::Status& status) {
        if (status.ok()) {
            const peer_message reply = fromWire(it->reply);
            handle(&reply, it->reply.ByteSizeLong());
        } else {
            handle(nullptr, 0);
        }
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_idle.notify_all();
    });
    return bytes;
}

void peer_link::stop()
{
    std::unique_lock lock(m_mutex);
    m_isStopping = true;
    m_idle.wait(lock, [this] { return m_running == 0; });
    lock.unlock();
    if (m_server)
        m_server->Shutdown(std::chrono::system_clock::now() + shutdownGrace);
    m_server.reset();
}

} // namespace almondmoor
