#include "controllers/serial_actions.h"

#include <exception>
#include <utility>

#include "base/logging.h"

namespace medlaryoke::controllers {

void serial_actions::add(std::function<void()> fn)
{
    const std::scoped_lock lock(this->mutex_);
    this->pending_.push_back(std::move(fn));
}

void serial_actions::run()
{
    std::unique_lock lock(this->mutex_);
    if (this->running_) {
        return;
    }
    this->running_ = true;
    while (!this->pending_.empty()) {
        const auto fn = std::move(this->pending_.front());
        this->pending_.pop_front();
        lock.unlock();
        try {
            fn();
        }
        catch (const std::exception& e) {
            logger("agent").error("A callback threw an exception: {}.", e.what());
        }
        lock.lock();
    }
    this->running_ = false;
}

} // namespace medlaryoke::controllers
