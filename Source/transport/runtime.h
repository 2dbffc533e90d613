#pragma once

#include <functional>
#include <memory>

#include "base/clock.h"

namespace medlaryoke::transport {

/// A timer that can be cancelled; dropping the handle does not cancel it.
class timer_handle {
public:
    timer_handle() = default;

    /// @param cancel called at most once, by cancel()
    explicit timer_handle(std::shared_ptr<std::function<void()>> cancel);

    /// Prevents the function from being called, unless it has already started.
    void cancel();

private:
    std::shared_ptr<std::function<void()>> cancel_;
};

/// Worker threads that run posted functions and timers.
class runtime {
public:
    /// @param threads number of worker threads; at least 1
    explicit runtime(unsigned threads);
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;
    runtime(runtime&&) = delete;
    runtime& operator=(runtime&&) = delete;
    ~runtime();

    /// Runs a function soon on one of the worker threads.
    /// @param fn the function; exceptions are logged
    void post(std::function<void()> fn);

    /// Runs a function once after a delay.
    /// @param delay how long to wait
    /// @param fn the function; exceptions are logged
    /// @return a handle that can cancel the call
    timer_handle after(duration delay, std::function<void()> fn);

    /// Runs a function on SIGTERM or SIGINT.
    /// @param fn called once, on a worker thread
    void on_termination_signal(std::function<void()> fn);

    /// Runs a function on each SIGHUP.
    /// @param fn called on a worker thread
    void on_reload_signal(std::function<void()> fn);

    /// Starts the worker threads.
    void start();

    /// Blocks until stop() was called and the worker threads have ended, so that no callback runs
    /// afterwards. Not to be called on a worker thread.
    void wait();

    /// Stops the worker threads without waiting for pending functions. Idempotent.
    void stop();

    class implementation;

    /// @return the Asio context for the other classes of this folder
    [[nodiscard]] implementation& impl() const { return *this->impl_; }

private:
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
