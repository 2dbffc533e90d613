#pragma once

#include <deque>
#include <functional>
#include <mutex>

namespace medlaryoke::controllers {

/// Runs functions one at a time in the order in which they were added. They are added under the
/// lock of a controller, which fixes their order, and run after it was released.
class serial_actions {
public:
    /// @param fn the function; may add further ones
    void add(std::function<void()> fn);

    /// Runs what was added, unless another thread is doing so.
    void run();

private:
    std::mutex mutex_;
    std::deque<std::function<void()>> pending_;
    bool running_ = false;
};

} // namespace medlaryoke::controllers
