#pragma once

#include <functional>
#include <memory>

#include "base/clock.h"

namespace medlaryoke::transport {

/// Handle for cancelling a timer. Destroying the handle does not cancel the timer.
class timer_handle {
public:
    timer_handle() = default;

    /// @param cancel called at most once, by cancel()
    explicit timer_handle(std::shared_ptr<std::function<void()>> cancel);

    /// Cancels the timer. The function is not called, unless it has already started.
    void cancel();

private:
    std::shared_ptr<std::function<void()>> cancel_;
};

/// Keeps SIGHUP, SIGTERM and SIGINT pending in the calling thread and those that it starts, until a
/// runtime has installed its handlers for them.
void hold_signals();

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

    /// Queues a function to run on one of the worker threads.
    /// @param fn the function; exceptions are logged
    void post(std::function<void()> fn);

    /// Runs a function once after a delay.
    /// @param delay how long to wait
    /// @param fn the function; exceptions are logged
    /// @return a handle that can cancel the call
    timer_handle after(duration delay, std::function<void()> fn);

    /// Runs a function on the first SIGTERM or SIGINT.
    /// @param fn called once on a worker thread; exceptions are logged
    void on_termination_signal(std::function<void()> fn);

    /// Runs a function on each SIGHUP.
    /// @param fn called on a worker thread; exceptions are logged
    void on_reload_signal(std::function<void()> fn);

    /// Starts the worker threads. Signals that were held are delivered to the handlers from now on.
    void start();

    /// Blocks until stop() was called and the worker threads have ended; no callback runs after
    /// this call. Signals that were held before start() are held in the calling thread again, so
    /// that none of them ends the process while it exits. Must not be called on a worker thread.
    void wait();

    /// Stops the worker threads without running the functions still queued. Idempotent.
    void stop();

    class implementation;

    /// @return the Asio context and the threads; for the other classes of this directory only
    [[nodiscard]] implementation& impl() const { return *this->impl_; }

private:
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
