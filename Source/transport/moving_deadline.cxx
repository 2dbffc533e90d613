#include "transport/moving_deadline.h"

#include <utility>

namespace medlaryoke::transport {

moving_deadline::moving_deadline(const boost::asio::any_io_executor& executor,
                                 std::function<void()> on_expired)
    : timer_(executor), on_expired_(std::move(on_expired))
{
}

void moving_deadline::set(duration limit, const std::shared_ptr<void>& owner)
{
    this->deadline_ = std::chrono::steady_clock::now() + limit;
    this->is_set_ = true;
    if (!this->waiting_ || this->deadline_ < this->waits_until_) {
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
    this->waits_until_ = this->deadline_;
    this->timer_.expires_at(this->deadline_);
    this->timer_.async_wait(
        [this, owner, number = ++this->wait_number_](const boost::system::error_code&) {
            if (number != this->wait_number_) {
                return; // an earlier limit was set meanwhile
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
