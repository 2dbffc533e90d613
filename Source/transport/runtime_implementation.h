#pragma once

#include "transport/asio_prelude.h"

#include <condition_variable>
#include <csignal>
#include <exception>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "base/logging.h"
#include "transport/runtime.h"

namespace medlaryoke::transport {

/// The Asio context and the worker threads of a runtime. Internal to this directory.
class runtime::implementation {
public:
    explicit implementation(unsigned count)
        : context(static_cast<int>(count)), thread_count(count),
          work_guard(boost::asio::make_work_guard(context)), termination_signals(context),
          reload_signals(context)
    {
        ::sigemptyset(&this->signals_before_start);
    }

    /// Holds the signals that were held before the start, because destroying the signal sets
    /// restores the system's handlers, which end the process.
    void hold_signals_again() const
    {
        ::pthread_sigmask(SIG_BLOCK, &this->signals_before_start, nullptr);
    }

    /// Runs handlers until the context is stopped. A handler that throws does not end the process.
    void run_until_stopped()
    {
        while (!this->context.stopped()) {
            try {
                this->context.run();
            }
            catch (const std::exception& e) {
                this->log.error("A handler failed: {}.", e.what());
            }
        }
    }

    // Declared first and so destroyed last: its destructor waits for the sockets that the pending
    // handlers in the Asio context still hold.
    std::shared_ptr<void> zmq_context; ///< the ZeroMQ context, created on first use
    boost::asio::io_context context;
    unsigned thread_count;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard;
    boost::asio::signal_set termination_signals;
    boost::asio::signal_set reload_signals;
    sigset_t signals_before_start{}; ///< those that were held in the thread that started
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::condition_variable stop_requested;
    bool stopped = false;
    logger log{"runtime"};
};

} // namespace medlaryoke::transport
