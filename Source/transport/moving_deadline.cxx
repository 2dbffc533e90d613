#include "transport/moving_deadline.h"

#include <utility>

namespace medlaryoke::transport {

moving_deadline::moving_deadline(const boost::asio::any_io_executor& executor,
                                 std::function<void()> on_expired)
    : timer_(executor), on_expired_(std::move(on_expired))
{
}

void moving_deadline::set(duration timeout, const std::shared_ptr<void>& owner)
{
    this->deadline_ = std::chrono::steady_clock::now() + timeout;
    this->is_set_ = true;
    if (!this->waiting_ || this->deadline_ < this->wait_end_) {
        this->wait(owner);
    }
}

void moving_deadline::close()
{
    this->is_set_ = false;
    this->timer_.cancel();
}

void moving_deadline::wait(const std::shared_ptr<void>& owner)
{
    this->waiting_ = true;
    this->wait_end_ = this->deadline_;
    this->timer_.expires_at(this->deadline_);
    this->timer_.async_wait([this, owner, id = ++this->wait_id_](const boost::system::error_code&) {
        if (id != this->wait_id_) {
            return; // superseded by a wait for an earlier deadline
        }
        this->waiting_ = false;
        if (!this->is_set_) {
            return;
        }
        if (std::chrono::steady_clock::now() < this->deadline_) {
            this->wait(owner);
            return;
        }
        this->is_set_ = false;
        this->on_expired_();
    });
}

} // namespace medlaryoke::transport
