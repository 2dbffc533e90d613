#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "fakes/fake_keyed_log.h"
#include "gateway/topic_follower.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

/// A follower of a fake store that records its callbacks.
struct followed_topic {
    /// @param overdue_after see follower_options
    explicit followed_topic(duration overdue_after = std::chrono::hours(1))
    {
        follower_options options;
        options.topic = "t";
        options.read_wait = std::chrono::milliseconds(100);
        options.overdue_after = overdue_after;
        options.initial_backoff = std::chrono::milliseconds(1);
        options.min_read_interval = {};
        follower = std::make_shared<topic_follower>(
            context, store, options,
            [this](const std::vector<policy::keyed_record>& records, policy::change_origin origin) {
                const std::scoped_lock lock(mutex);
                for (const auto& it : records) {
                    if (it.key == "poison") {
                        throw std::runtime_error("this change cannot be used");
                    }
                    const bool is_copy = origin == policy::change_origin::restored_copy;
                    changes.push_back((is_copy ? "copy " : "") + it.key + "=" + it.value);
                }
            },
            [this](bool available) {
                const std::scoped_lock lock(mutex);
                changes.push_back(available ? "back" : "away");
            });
        context.start();
        context.post([this] { follower->start(); });
    }
    followed_topic(const followed_topic&) = delete;
    followed_topic& operator=(const followed_topic&) = delete;
    followed_topic(followed_topic&&) = delete;
    followed_topic& operator=(followed_topic&&) = delete;
    ~followed_topic() { context.stop(); }

    /// Completes the next call, which must be of the given kind.
    /// @return the call
    fakes::fake_keyed_log::call answer(const std::string& what, const keyed_result& result)
    {
        auto call = store.next();
        cr_assert(call.operation == what, "%s instead of %s", call.operation.c_str(), what.c_str());
        context.post([done = call.done, result] { done(result); });
        return call;
    }

    fakes::fake_keyed_log store;
    transport::runtime context{1};
    std::shared_ptr<topic_follower> follower;
    std::mutex mutex;
    std::vector<std::string> changes;
};

} // namespace medlaryoke::gateway
