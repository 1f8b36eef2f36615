// The program 'almondmoor_stand_in': runs a stand-in upstream or a stand-in platform as a separate process until it
// receives SIGTERM or SIGINT.
//
//   almondmoor_stand_in upstream IP-NUMBER:PORT
//   almondmoor_stand_in platform IP-NUMBER:PORT

#include "StandIns/stand_in_platform.h"
#include "StandIns/stand_in_upstream.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <pthread.h>
#include <string>

int main(int argumentCount, char** arguments)
{
    using namespace almondmoor;
    const std::string role = argumentCount > 1 ? arguments[1] : "";
    if (argumentCount != 3 || (role != "upstream" && role != "platform")) {
        std::cerr << "usage: almondmoor_stand_in upstream|platform IP-NUMBER:PORT\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::unique_ptr<stand_in_upstream> upstream;
    std::unique_ptr<stand_in_platform> platform;
    if (role == "upstream")
        upstream = std::make_unique<stand_in_upstream>(arguments[2]);
    else
        platform = std::make_unique<stand_in_platform>(arguments[2]);
    std::cout << role << " serves on " << arguments[2] << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
