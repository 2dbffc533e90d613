#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <utility>

#include "gateway/keyed_log.h"

namespace medlaryoke::fakes {

/// A store whose answers a test gives one by one.
class fake_keyed_log final : public gateway::keyed_log {
public:
    /// A call that waits for its answer.
    struct call {
        std::string what; ///< `list`, `read` or `put`
        std::uint64_t from = 0;
        duration wait{};
        std::function<void(gateway::keyed_result)> done;
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

    void put(const std::string& /*topic*/, const std::string& /*key*/, const std::string& /*value*/,
             std::function<void(std::optional<std::uint64_t>)> done) override
    {
        done(std::nullopt);
    }

    /// @return the next call; waits for it
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

    std::mutex mutex_;
    std::condition_variable added_;
    std::deque<call> calls_;
};

} // namespace medlaryoke::fakes
