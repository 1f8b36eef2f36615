// Two hosts take uploads from many clients, and the upstreams read the bodies slowly. The platform's part of this program
// ends a host whose memory goes beyond its limit, as the pages say, and starts it again.

#include "stand_ins.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using namespace review;

constexpr unsigned hostCount = 2;
constexpr unsigned clientsPerHost = 1200;
constexpr unsigned upstreamCount = 240;
constexpr unsigned slots = 6;
constexpr std::size_t bodyBytes = std::size_t { 1 } << 19U;
// Each client sends an upload every cycleS seconds, if its last one is over. The clients begin at different times.
constexpr double cycleS = 9;
constexpr unsigned memoryMb = 260;
constexpr double runS = 45;
constexpr double restartS = 0.5;
constexpr unsigned deadlineMs = 12000;

struct host_row {
    std::unique_ptr<host> process;
    unsigned ends = 0;
    std::uint64_t peak = 0;
    double startAt = 0;
};

std::string config()
{
    return R"({"version":7,"routes":{"r-upload":{"host":"a.example","prefix":"/upload/","kind":"unsafe","timeout_ms":12000,"target_latency_ms":1200,"priority":1,"service":"desk","max_attempts":2,"public":true}},)"
           R"("services":{"desk":{"health_check_path":"/health","max_connections":1500,"protocol":"h1","tls":false}},)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":{}})";
}

std::string upload(unsigned number)
{
    return "POST /upload/" + std::to_string(number) + " HTTP/1.1\r\nHost: a.example\r\nX-Almondmoor-Request-Id: u" + std::to_string(number) + "\r\nX-Almondmoor-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 3) {
        std::cerr << "usage: slow_uploads TROUBLE RECORD, in the repository's root" << std::endl;
        return 2;
    }
    const bool hasTrouble = std::string(arguments[1]) != "0";
    record log(arguments[2]);
    store platform;
    platform.write("op", "config", config());
    upstream_settings prompt;
    prompt.slots = slots;
    upstreams servers(platform, "desk", upstreamCount, prompt);
    std::vector<host_row> hosts;
    for (unsigned index = 0; index < hostCount; ++index) {
        hosts.push_back({ std::make_unique<host>(index, platform, host_settings { memoryMb, 6 }) });
        hosts.back().process->start(true);
    }
    const double readyUntil = now() + 20;
    for (auto& it : hosts) {
        while (!it.process->isReady()) {
            if (now() > readyUntil)
                return 2;
            servers.step();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        log.add(it.process->name() + " is ready; private memory " + std::to_string(it.process->privateBytes() >> 20U) + " MiB of " + std::to_string(memoryMb));
    }
    if (hasTrouble) {
        upstream_settings slow = prompt;
        slow.pieceBytes = 4096;
        slow.pauseS = 0.1;
        servers.setSettings(slow);
        log.add("the upstreams read 4 KiB each 0.1 s from now on");
    }
    std::vector<std::unique_ptr<client>> clients;
    for (unsigned index = 0; index < hostCount * clientsPerHost; ++index)
        clients.push_back(std::make_unique<client>(hosts[index % hostCount].process->address()));
    std::map<int, unsigned> statuses;
    std::vector<double> sendAt(clients.size());
    const double start = now();
    for (std::size_t index = 0; index < clients.size(); ++index)
        sendAt[index] = start + cycleS * static_cast<double>(index) / static_cast<double>(clients.size());
    unsigned sent = 0;
    double sampleAt = start;
    double logAt = start;
    const auto hasBroken = [&] { return std::all_of(hosts.begin(), hosts.end(), [](const host_row& it) { return it.ends >= 3; }); };
    while (now() < start + runS && !hasBroken()) {
        servers.step();
        const double at = now();
        for (std::size_t index = 0; index < clients.size(); ++index) {
            client& it = *clients[index];
            if (!it.isBusy() && at >= sendAt[index] && hosts[index % hostCount].process->isRunning()) {
                it.send(upload(++sent));
                while (sendAt[index] <= at)
                    sendAt[index] += cycleS;
            } else if (it.isBusy() && it.step()) {
                ++statuses[it.status()];
            }
        }
        if (at < sampleAt) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            continue;
        }
        sampleAt = at + 0.05;
        for (auto& it : hosts) {
            if (!it.process->isRunning()) {
                if (at >= it.startAt && it.startAt > 0) {
                    it.process->start(false);
                    it.startAt = 0;
                }
                continue;
            }
            const std::uint64_t used = it.process->privateBytes();
            it.peak = std::max(it.peak, used);
            if (used <= std::uint64_t { memoryMb } << 20U)
                continue;
            ++it.ends;
            log.add(it.process->name() + " holds " + std::to_string(used >> 20U) + " MiB of " + std::to_string(memoryMb) + " and is killed, time " + std::to_string(it.ends));
            it.process->kill();
            it.startAt = at + restartS;
        }
        if (at >= logAt) {
            logAt = at + 2;
            std::string text = std::to_string(sent) + " sent, " + std::to_string(servers.runCount()) + " run, " + std::to_string(servers.shedCount()) + " shed, " + std::to_string(servers.openCount()) + " connections at upstreams; answers:";
            for (const auto& [status, number] : statuses)
                text += " " + std::to_string(status) + "=" + std::to_string(number);
            for (const auto& it : hosts)
                text += "; " + it.process->name() + " " + std::to_string(it.process->privateBytes() >> 20U) + " MiB";
            log.add(text);
        }
    }
    for (const auto& it : hosts) {
        log.add(it.process->name() + " ended " + std::to_string(it.ends) + " times; peak of its private memory " + std::to_string(it.peak >> 20U) + " MiB");
    }
    const bool isBroken = hasBroken();
    log.add(isBroken ? "BROKEN: both hosts ended three times or more" : "held");
    std::cout.flush();
    std::_Exit(([&] {
        for (auto& it : hosts)
            it.process->kill();
        return isBroken ? 1 : 0;
    })());
}
