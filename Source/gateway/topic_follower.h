#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/keyed_log.h"
#include "policy/keyed_topic.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

struct follower_options {
    std::string topic;
    /// One read waits so long for a record. Longer waits cost fewer calls; a store that went silent
    /// for a moment is noticed only after this time and that of an answer, and a new configuration
    /// must be in force within 2 s of the end of trouble and the 3 s in which that is forgiven.
    duration wait = std::chrono::seconds(3);
    duration first_retry = std::chrono::milliseconds(200);
    /// After an outage, changes are read within this time of the store's return.
    duration longest_retry = std::chrono::milliseconds(800);
    /// Least time between the starts of two reads, so that a topic with steady small changes is
    /// read a few times a second instead of once a record.
    duration spacing = std::chrono::milliseconds(100);
};

/// Follows one topic of the store: a listing first, then one read after another, and a listing
/// again when records were deleted. To be used on the thread of a runtime with one thread.
class topic_follower : public std::enable_shared_from_this<topic_follower> {
public:
    using change_handler = std::function<void(const std::vector<policy::keyed_record>&)>;
    using availability_handler = std::function<void(bool available)>;

    /// @param context runs the reads
    /// @param store where the topic is; outlives the runtime's last callback
    /// @param options topic and times
    /// @param on_changes called with the newest change of each key; empty values are removals
    /// @param on_available called when the store answers again, or no longer
    topic_follower(transport::runtime& context, keyed_log& store, follower_options options,
                   change_handler on_changes, availability_handler on_available);

    /// Starts to follow.
    void start();

    /// Abandons the read under way and reads again, because a peer has read further.
    /// @param position how far the peer has read
    void catch_up(std::uint64_t position);

    /// @return offset up to which changes are known
    [[nodiscard]] std::uint64_t position() const { return this->topic_.next(); }

    /// @return whether a whole listing was read
    [[nodiscard]] bool is_complete() const { return this->listed_; }

private:
    void step();
    void received(std::uint64_t round, const keyed_result& result);
    void failed(const std::string& reason);
    void set_available(bool available, const std::string& reason);
    void step_after(duration delay);

    transport::runtime& context_;
    keyed_log& store_;
    follower_options options_;
    change_handler on_changes_;
    availability_handler on_available_;
    policy::keyed_topic topic_;
    event_log log_{"topic"};
    std::uint64_t round_ = 0; ///< answers of earlier rounds are ignored
    bool listed_ = false;
    bool must_list_ = true;
    bool available_ = true;
    duration retry_{};
    time_point step_started_{};
};

} // namespace medlaryoke::gateway
