#include "controllers/peer_network.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace std::chrono_literals;

namespace {

/// An entry that has only a peer network.
struct node {
    node(transport::runtime& context, const std::string& name, std::vector<std::string> peers)
        : directory(name, controllers::peer_silence_limit)
    {
        controllers::peer_network_events events;
        events.own_state = [this, name] {
            wire::peer_state state;
            state.set_instance(name);
            state.set_caller_address(name);
            state.set_draining(this->draining);
            return state;
        };
        events.on_config_frame = [](const wire::frame&) { return std::nullopt; };
        network = std::make_unique<controllers::peer_network>(
            context, clock, controllers::peer_network_options{"127.0.0.1:0", std::move(peers), 8},
            directory, std::move(events));
    }

    [[nodiscard]] std::size_t entries() const
    {
        return this->directory.entries(this->clock.now()).size();
    }

    std::atomic<bool> draining = false;
    system_clock_source clock;
    controllers::peer_directory directory;
    std::unique_ptr<controllers::peer_network> network;
};

/// Waits up to 20 s for a condition; a passing test needs much less.
bool eventually(const std::function<bool()>& condition)
{
    for (int n = 0; n < 2000; ++n) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

} // namespace

// Guards against entries that do not detect the entries that connect to them, and against a drain
// or failure that peers do not detect.
Test(peer_network, peers_detect_start_drain_and_failure)
{
    transport::runtime context(2);
    context.start();
    node first(context, "entry-1", {});
    auto second = std::make_unique<node>(context, "entry-2",
                                         std::vector<std::string>{first.network->address()});
    node third(context, "entry-3", {first.network->address()});
    cr_assert(eventually([&] { return first.entries() == 2; }));
    cr_assert(eventually([&] { return second->entries() == 1 && third.entries() == 1; }));
    third.draining = true;
    third.network->announce();
    cr_assert(eventually([&] { return first.entries() == 1; }));
    second->network.reset();
    cr_assert(eventually([&] { return first.entries() == 0; }));
    context.stop();
    context.wait();
}
