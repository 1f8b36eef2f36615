#include "serve_command.h"

#include "client_handler.h"
#include "control_loop.h"
#include "logging.h"
#include "operator_handler.h"
#include "settings.h"

#include <Poco/Exception.h>
#include <absl/strings/str_cat.h>
#include <csignal>
#include <iostream>
#include <pthread.h>
#include <sys/resource.h>

namespace almondmoor {

namespace {

    constexpr int usageStatus = 2;
    constexpr int failureStatus = 1;
    constexpr unsigned operatorWorkers = 8;
    constexpr unsigned operatorConnections = 256;
    constexpr auto stopPollInterval = std::chrono::milliseconds(10);

    any_platform openPlatform(const serve_settings& settings)
    {
        if (settings.platform != "memory")
            return any_platform(std::make_shared<http_platform>(settings.platform, settings.platformTimeout));
        auto memory = std::make_shared<memory_platform>();
        memory->setHost(listed_host { settings.hostName, settings.peerAddress, settings.dataCentre, false });
        return any_platform(std::move(memory));
    }

    listener_callbacks clientEvents(host_runtime& runtime)
    {
        return listener_callbacks { [&runtime] { runtime.counters().add(event::ConnectionsAccepted); },
            [&runtime] { runtime.counters().add(event::ConnectionsRefused); },
            [&runtime](bool isTooLarge) { runtime.counters().addRefusal(isTooLarge ? refusal_reason::HeadTooLarge : refusal_reason::BadRequest, ""); } };
    }

    // Raises the limit on open files to the number that the settings need, as far as the hard limit allows. Logs a
    // warning if the limit stays too low.
    void raiseFileLimit(const serve_settings& settings)
    {
        constexpr rlim_t filesBesidesClients = 1024;
        // Each request that runs may also hold a connection to an upstream.
        const rlim_t needed = settings.clientConnections + settings.clientWorkers + filesBesidesClients;
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        if (limit.rlim_cur >= needed)
            return;
        limit.rlim_cur = std::min(needed, limit.rlim_max);
        setrlimit(RLIMIT_NOFILE, &limit);
        if (limit.rlim_cur < needed)
            logWarning(absl::StrCat("event=file-limit allowed=", limit.rlim_cur, " needed=", needed));
    }

    // Hands off allowances, keeps the client port open for the notice time, then closes the port and waits for running
    // requests until the drain timeout. A second signal ends both waits.
    void drainClients(host_runtime& runtime, control_loop& control, http_listener& clientListener, const sigset_t& signals)
    {
        const auto& settings = runtime.settings();
        runtime.beginStop();
        logInfo("event=stop phase=notice");
        control.handOffAllowances();
        const auto waitUntil = [&signals](instant deadline, const std::function<bool()>& isDone) {
            while (presentInstant() < deadline && !isDone()) {
                const timespec pollInterval { 0, std::chrono::nanoseconds(stopPollInterval).count() };
                if (sigtimedwait(&signals, nullptr, &pollInterval) > 0)
                    return false;
            }
            return true;
        };
        bool canWait = waitUntil(presentInstant() + settings.stopNotice, [] { return false; });
        clientListener.stopAccepting();
        logInfo(absl::StrCat("event=stop phase=drain running=", clientListener.runningCount()));
        if (canWait)
            canWait = waitUntil(presentInstant() + settings.drainTimeout, [&clientListener] { return clientListener.runningCount() == 0; });
        if (clientListener.runningCount() > 0) {
            runtime.counters().add(event::StopsForced);
            logWarning(absl::StrCat("event=stop phase=forced running=", clientListener.runningCount(), " by=", canWait ? "limit" : "signal"));
        }
    }

} // namespace

int runServe(int argumentCount, char** arguments)
{
    serve_settings settings;
    const auto status = readSettings(&argumentCount, &arguments, settings);
    if (!status.ok()) {
        std::cerr << "almondmoor: " << errorMessage(status) << "\n";
        return usageStatus;
    }
    startLogging(settings.logLevel, settings.hostName);
    raiseFileLimit(settings);

    // The signals are blocked before any other thread starts, so that all threads inherit the mask and only this thread
    // receives them, in sigwait().
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    host_runtime runtime(settings, openPlatform(settings));
    control_loop control(runtime);
    operator_handler operators(runtime, control);
    http_listener operatorPort({ settings.operatorAddress, operatorWorkers, operatorConnections, settings.headTimeout, settings.idleTimeout },
        [&operators](http_exchange& exchange) { return operators.serve(exchange); }, { [] {}, [] {}, [](bool) {} });
    http_listener clientPort(
        { settings.clientAddress, settings.clientWorkers, settings.clientConnections, settings.headTimeout, settings.idleTimeout },
        [&runtime](http_exchange& exchange) { return client_handler(runtime, exchange).serve(); }, clientEvents(runtime));
    try {
        const auto started = control.start();
        if (!started.ok()) {
            logError(absl::StrCat("event=start-failed error=\"", errorMessage(started), "\""));
            return failureStatus;
        }
        operatorPort.start();
        clientPort.start();
    } catch (const Poco::Exception& error) {
        logError(absl::StrCat("event=start-failed error=\"", error.displayText(), "\""));
        return failureStatus;
    }
    logInfo(absl::StrCat("event=started guests=", settings.clientAddress, " operators=", settings.operatorAddress, " peers=", settings.peerAddress));

    int receivedSignal = 0;
    sigwait(&signals, &receivedSignal);
    drainClients(runtime, control, clientPort, signals);
    control.stop();
    const bool isForced = runtime.counters().value(event::StopsForced) > 0;
    logInfo(absl::StrCat("event=stopped forced=", isForced ? "yes" : "no"));
    if (isForced)
        std::_Exit(failureStatus);
    clientPort.stop();
    operatorPort.stop();
    return 0;
}

} // namespace almondmoor
