// Tests connections that go silent for good without an end: between hosts, and to the store.

#include "Serve/host_fixture.h"
#include "StandIns/severable_relay.h"
#include "StandIns/stand_in_store.h"
#include "peer_link.h"
#include "store_client.h"

#include <catch2/catch.hpp>
#include <future>

namespace almondmoor {

namespace {

    using namespace std::chrono_literals;

    // Time after which a host that reaches others must be in touch with them again.
    constexpr duration contactTime = 3s;
    constexpr duration peerTimeout = 500ms;

    peer_message replyOf(const peer_message& request)
    {
        peer_message reply;
        reply.sender = "h1";
        reply.echo = request.stamp;
        return reply;
    }

    // Sends a message and returns whether the reply to it arrived.
    bool reaches(peer_link& link, const std::string& address)
    {
        std::promise<bool> result;
        outgoing_message message { message_kind::Exchange, "h1", address, {} };
        message.message.stamp = 7;
        link.send(message, [&result](const peer_message* reply, std::size_t) { result.set_value(reply && reply->echo == 7); });
        return result.get_future().get();
    }

} // namespace

// Guards against hosts that go on using a connection to another host which has gone silent, so that each call over it times
// out until the system's TCP gives the connection up after minutes.
TEST_CASE("hosts whose connections go silent for good reach each other again within the contact time", "[silent]")
{
    peer_link other(localAddress(1), peerTimeout, replyOf);
    REQUIRE(other.start());
    severable_relay relay(localAddress(2), localAddress(1));
    peer_link link(localAddress(3), peerTimeout, replyOf);
    REQUIRE(link.start());
    REQUIRE(reaches(link, localAddress(2)));
    relay.sever();
    const instant severedAt = presentInstant();
    bool isBack = false;
    while (!isBack && presentInstant() < severedAt + 3 * contactTime)
        isBack = reaches(link, localAddress(2)) && relay.silentCount() > 0;
    CHECK(isBack);
    CHECK(presentInstant() - severedAt <= contactTime);
    CHECK(relay.acceptedCount() >= 2);
}

// Guards against a call to the store without a limit, over a connection that has gone silent while it waits for changes.
TEST_CASE("a wait for changes over a connection to the store that goes silent ends, and the next call succeeds", "[silent]")
{
    constexpr duration storeTimeout = 300ms;
    constexpr duration wait = 1s;
    stand_in_store store(localAddress(1));
    store.write("op", "config", "one");
    severable_relay relay(localAddress(2), localAddress(1));
    users_platform::store_client client({ localAddress(2), storeTimeout, {} });
    REQUIRE(client.readTable("op").result == store_result::Done);
    auto waiting = std::async(std::launch::async, [&client, wait] { return client.readChanges("op", 1, wait); });
    REQUIRE(store.waitForCalls(2, 5s));
    relay.sever();
    const instant severedAt = presentInstant();
    store.write("op", "config", "two");
    CHECK(waiting.get().result != store_result::Done);
    const auto changes = client.readChanges("op", 1, wait);
    CHECK(changes.result == store_result::Done);
    REQUIRE(changes.rows.size() == 1);
    CHECK(changes.rows[0].value == "two");
    CHECK(presentInstant() - severedAt <= contactTime);
}

} // namespace almondmoor
