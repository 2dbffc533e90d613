#include "transport/runtime_implementation.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <csignal>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace medlaryoke::transport {

namespace {

void run_and_log_exceptions(const logger& log, const std::function<void()>& fn)
{
    try {
        fn();
    }
    catch (const std::exception& e) {
        log.error("A task failed: {}.", e.what());
    }
}

/// @return the signals for which a runtime may have handlers
sigset_t handled_signals()
{
    sigset_t set;
    ::sigemptyset(&set);
    for (const int number : {SIGHUP, SIGTERM, SIGINT}) {
        ::sigaddset(&set, number);
    }
    return set;
}

} // namespace

timer_handle::timer_handle(std::shared_ptr<std::function<void()>> cancel)
    : cancel_(std::move(cancel))
{
}

void timer_handle::cancel()
{
    if (const auto fn = std::exchange(this->cancel_, nullptr)) {
        (*fn)();
    }
}

runtime::runtime(unsigned threads) : impl_(std::make_unique<implementation>(std::max(threads, 1U)))
{
}

runtime::~runtime()
{
    this->stop();
    for (auto& thread : this->impl_->threads) {
        if (thread.get_id() == std::this_thread::get_id()) {
            thread.detach();
        }
        else {
            thread.join();
        }
    }
}

void runtime::post(std::function<void()> fn)
{
    boost::asio::post(this->impl_->context, [log = this->impl_->log, fn = std::move(fn)] {
        run_and_log_exceptions(log, fn);
    });
}

timer_handle runtime::after(duration delay, std::function<void()> fn)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->impl_->context);
    const auto timer_mutex = std::make_shared<std::mutex>();
    timer->expires_after(delay);
    timer->async_wait(
        [log = this->impl_->log, timer, fn = std::move(fn)](const boost::system::error_code& ec) {
            if (!ec) {
                run_and_log_exceptions(log, fn);
            }
        });
    const std::weak_ptr<boost::asio::steady_timer> weak = timer;
    return timer_handle(std::make_shared<std::function<void()>>([weak, timer_mutex] {
        // An Asio timer is not thread safe; the lock serializes concurrent cancellations.
        const std::scoped_lock lock(*timer_mutex);
        if (const auto target = weak.lock()) {
            target->cancel();
        }
    }));
}

void runtime::on_termination_signal(std::function<void()> fn)
{
    this->impl_->termination_signals.add(SIGTERM);
    this->impl_->termination_signals.add(SIGINT);
    this->impl_->termination_signals.async_wait(
        [log = this->impl_->log, fn = std::move(fn)](const boost::system::error_code& ec, int) {
            if (!ec) {
                run_and_log_exceptions(log, fn);
            }
        });
}

void runtime::on_reload_signal(std::function<void()> fn)
{
    boost::system::error_code ignored; // re-arming adds a signal that is already in the set
    this->impl_->reload_signals.add(SIGHUP, ignored);
    this->impl_->reload_signals.async_wait(
        [this, fn = std::move(fn)](const boost::system::error_code& ec, int) {
            if (!ec) {
                run_and_log_exceptions(this->impl_->log, fn);
                this->on_reload_signal(fn);
            }
        });
}

void hold_signals()
{
    const auto set = handled_signals();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void runtime::start()
{
    const auto set = handled_signals();
    ::pthread_sigmask(SIG_UNBLOCK, &set, &this->impl_->signals_before_start);
    for (unsigned n = 0; n < this->impl_->thread_count; ++n) {
        this->impl_->threads.emplace_back([this] { this->impl_->run_until_stopped(); });
    }
}

void runtime::wait()
{
    {
        std::unique_lock lock(this->impl_->mutex);
        this->impl_->stop_requested.wait(lock, [this] { return this->impl_->stopped; });
    }
    for (auto& thread : std::exchange(this->impl_->threads, {})) {
        thread.join();
    }
    this->impl_->hold_signals_again();
}

void runtime::stop()
{
    {
        const std::scoped_lock lock(this->impl_->mutex);
        this->impl_->stopped = true;
    }
    this->impl_->stop_requested.notify_all();
    this->impl_->context.stop();
}

} // namespace medlaryoke::transport
