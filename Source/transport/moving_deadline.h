#pragma once

#include "transport/asio_prelude.h"

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"

namespace medlaryoke::transport {

/// A deadline that is cheap to move often, for example with each chunk of a stream. Setting an Asio
/// timer again runs a completion handler each time. This class keeps the pending wait instead, and
/// when it ends, waits again if the deadline has moved. Used on one strand; internal to this
/// directory.
class moving_deadline {
public:
    /// @param executor the strand
    /// @param on_expired called when the deadline has passed; may use the owner given to set()
    moving_deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expired);

    /// Sets or moves the deadline.
    /// @param timeout time from now to the deadline
    /// @param owner the object that holds this one; kept alive while a wait is pending
    void set(duration timeout, const std::shared_ptr<void>& owner);

    /// Removes the deadline.
    void clear() { this->is_set_ = false; }

    /// Removes the deadline and cancels the pending wait, which releases the owner.
    void close();

private:
    void wait(const std::shared_ptr<void>& owner);

    boost::asio::steady_timer timer_;
    std::function<void()> on_expired_;
    time_point deadline_{};
    time_point wait_end_{};     ///< when the pending wait ends
    std::uint64_t wait_id_ = 0; ///< identifies the latest wait
    bool is_set_ = false;
    bool waiting_ = false;
};

} // namespace medlaryoke::transport
