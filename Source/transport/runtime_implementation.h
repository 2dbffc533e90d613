#pragma once

#include "transport/asio_prelude.h"

#include <condition_variable>
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

/// The Asio context and the threads behind a runtime; only for the sources of this folder.
class runtime::implementation {
public:
    explicit implementation(unsigned count)
        : context(static_cast<int>(count)), thread_count(count),
          work(boost::asio::make_work_guard(context)), signals(context), reload_signals(context)
    {
    }

    // Destroyed last: its destructor waits for the sockets that pending handlers still hold.
    std::shared_ptr<void> message_context; ///< ZeroMQ context, made on first use
    boost::asio::io_context context;
    unsigned thread_count;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    boost::asio::signal_set signals;
    boost::asio::signal_set reload_signals;
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::condition_variable stopped_changed;
    bool stopped = false;
    logger log{"runtime"};
};

} // namespace medlaryoke::transport
