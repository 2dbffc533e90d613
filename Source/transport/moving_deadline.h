#pragma once

#include "transport/asio_prelude.h"

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"

namespace medlaryoke::transport {

/// A time limit that is moved often, such as with each chunk of a stream. A timer that is set again
/// for each chunk costs a handler each time; here the running wait is kept and checked when it
/// ends. Used on one strand; only for the sources of this folder.
class moving_deadline {
public:
    /// @param executor the strand
    /// @param on_expired called when the limit has passed; may use the owner given to set
    moving_deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expired);

    /// Starts or moves the limit.
    /// @param limit time from now
    /// @param owner the object that holds this one; kept alive while a wait is running
    void set(duration limit, const std::shared_ptr<void>& owner);

    /// Removes the limit.
    void clear() { this->is_set_ = false; }

    /// Removes the limit and releases the owner soon.
    void close();

private:
    void wait(const std::shared_ptr<void>& owner);

    boost::asio::steady_timer timer_;
    std::function<void()> on_expired_;
    time_point deadline_{};
    time_point waits_until_{};
    std::uint64_t wait_number_ = 0;
    bool is_set_ = false;
    bool waiting_ = false;
};

} // namespace medlaryoke::transport
