// Example of embedding the coordination core: two hosts share a team's
// allowance. The example needs no sockets, threads or clock, since it passes the
// messages between the hosts as plain values.

#include "Core/fleet_member.h"
#include "Core/traffic_core.h"

#include <absl/strings/str_cat.h>
#include <iostream>

int main()
{
    using namespace almondmoor;
    using namespace std::chrono_literals;
    instant now(1h);
    fleet_member home({ .host = "h1", .incarnation = 1, .peerAddress = "10.0.0.1:1", .dataCentre = "lagos-1" });
    fleet_member other({ .host = "h2", .incarnation = 1, .peerAddress = "10.0.0.2:1", .dataCentre = "lagos-1" });
    traffic_core traffic({}, "h2", "lagos-1", 1);

    // A real host reads these changes from the platform's table service.
    const std::vector<change> changes {
        { "a", 1, "ops", 0, "join host h1 incarnation 1 at 10.0.0.1:1 in lagos-1" },
        { "b", 2, "ops", 0, "join host h2 incarnation 1 at 10.0.0.2:1 in lagos-1" },
        { "c", 3, "ops", 0, "create team cooling rate 5/s burst 3" },
        { "d", 4, "ops", 0, absl::StrCat("assign shards ", shardOf("cooling"), " on h1 incarnation 1 unused") },
    };
    home.applyStoreRead(now, 4, changes, now);
    const auto storeUpdate = other.applyStoreRead(now, 4, changes, now);
    traffic.applyConfiguration(other.held(), storeUpdate.wasFresh, storeUpdate.isMember, now);
    traffic.setFreshUntil(other.freshUntil(now));

    unsigned admitted = 0;
    for (int request = 0; request < 5; ++request) {
        bool isAdmitted = traffic.isFresh(now) && traffic.admit("cooling", now) == admission::Admitted;
        if (!isAdmitted) {
            // Reports the missing token to the team's home and applies its grant.
            for (const auto& message : other.sendShareReports(traffic.holder().dueReports(now), now).messages) {
                home.receive(message.message, now);
                for (const auto& grant : home.reply(message.message, now).shareGrants)
                    traffic.holder().applyGrant(grant, now);
            }
            isAdmitted = traffic.admitWaiting("cooling", now);
            traffic.stopWaiting("cooling");
        }
        admitted += isAdmitted ? 1 : 0;
        now += 15ms;
    }
    std::cout << "admitted " << admitted << " of 5 requests at once with a burst of 3\n";
    return admitted == 3 ? 0 : 1;
}
