#include "commands/startup_settings.h"

#include <chrono>
#include <thread>

#include "base/error.h"

namespace medlaryoke::commands {

namespace {

/// Writing a file of a few kilobytes takes milliseconds. A process that ends instead of waiting is
/// started again and fails in the same way.
constexpr auto max_wait = std::chrono::seconds(2);
constexpr auto retry_interval = std::chrono::milliseconds(20);

} // namespace

platform::node_settings load_startup_settings(unsigned metrics_port)
{
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    for (;;) {
        try {
            return platform::load_node_settings(metrics_port);
        }
        catch (const error&) {
            if (std::chrono::steady_clock::now() >= deadline) {
                throw;
            }
        }
        std::this_thread::sleep_for(retry_interval);
    }
}

} // namespace medlaryoke::commands
