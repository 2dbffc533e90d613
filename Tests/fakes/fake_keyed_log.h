#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/keyed_log.h"

namespace medlaryoke::fakes {

/// Keyed log whose `list` and `read` calls wait until the test answers them. `put` fails at once
/// unless the test accepts it.
class fake_keyed_log final : public gateway::keyed_log {
public:
    /// A call that has not been answered.
    struct call {
        std::string operation;  ///< `list` or `read`
        std::uint64_t from = 0; ///< first offset to read
        duration wait{};        ///< how long a `read` may wait for new records
        std::function<void(gateway::keyed_result)> done; ///< takes the answer
    };

    void list(const std::string& /*topic*/,
              std::function<void(gateway::keyed_result)> done) override
    {
        this->add({"list", 0, {}, std::move(done)});
    }

    void read(const std::string& /*topic*/, std::uint64_t from, duration wait,
              std::function<void(gateway::keyed_result)> done) override
    {
        this->add({"read", from, wait, std::move(done)});
    }

    void put(const std::string& /*topic*/, const std::string& key, const std::string& /*value*/,
             std::function<void(std::optional<policy::log_position>)> done) override
    {
        std::optional<policy::log_position> position;
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->epoch_ != 0) {
                position = policy::log_position{this->epoch_, this->accepted_.size()};
                this->accepted_.push_back(key);
            }
        }
        done(position);
    }

    void renew_connections() override
    {
        const std::scoped_lock lock(this->mutex_);
        ++this->renewals_;
    }

    /// @return how often the connections were renewed
    [[nodiscard]] unsigned renewals() const
    {
        const std::scoped_lock lock(this->mutex_);
        return this->renewals_;
    }

    /// @param epoch in which `put` is acknowledged from now on
    void accept_puts(std::uint64_t epoch)
    {
        const std::scoped_lock lock(this->mutex_);
        this->epoch_ = epoch;
    }

    /// @return the keys of the acknowledged records
    [[nodiscard]] std::vector<std::string> accepted() const
    {
        const std::scoped_lock lock(this->mutex_);
        return this->accepted_;
    }

    /// Waits for the next call and removes it from the queue.
    /// @return the call
    call next()
    {
        std::unique_lock lock(this->mutex_);
        this->added_.wait(lock, [this] { return !this->calls_.empty(); });
        auto first = std::move(this->calls_.front());
        this->calls_.pop_front();
        return first;
    }

private:
    void add(call it)
    {
        const std::scoped_lock lock(this->mutex_);
        this->calls_.push_back(std::move(it));
        this->added_.notify_all();
    }

    mutable std::mutex mutex_;
    std::condition_variable added_;
    std::deque<call> calls_;
    std::uint64_t epoch_ = 0;
    unsigned renewals_ = 0;
    std::vector<std::string> accepted_;
};

} // namespace medlaryoke::fakes
