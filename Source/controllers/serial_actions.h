#pragma once

#include <deque>
#include <functional>
#include <mutex>

namespace medlaryoke::controllers {

/// Runs functions one at a time in the order in which they were added. A controller adds them while
/// it holds its lock, which determines the order, and runs them after it released the lock, so that
/// they may call back into the controller.
class serial_actions {
public:
    /// Adds a function to be run.
    /// @param fn the function; may add further functions
    void add(std::function<void()> fn);

    /// Runs the added functions until none is left. Returns at once if another call of run, which
    /// then runs them, is active. Exceptions of the functions are logged.
    void run();

private:
    std::mutex mutex_;
    std::deque<std::function<void()>> pending_;
    bool running_ = false;
};

} // namespace medlaryoke::controllers
