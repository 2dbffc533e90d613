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
    /// Time that one read waits for a record if `next_wait` is empty.
    duration read_wait = std::chrono::seconds(3);
    /// Chooses the time that the next read waits for a record; see policy::read_wait.
    std::function<duration(bool after_change)> next_wait;
    /// Time after which the answer to a read is overdue, beside the time that the read waits. The
    /// store answers within some milliseconds; the connection may have gone silent.
    duration overdue_after = std::chrono::milliseconds(400);
    /// Called when an answer is overdue. Other connections may have gone silent too.
    std::function<void()> on_overdue;
    /// Called for each answer of the store.
    std::function<void()> on_answer;
    duration initial_backoff = std::chrono::milliseconds(200);
    /// Upper bound of the backoff: after an outage of the store, reads resume within this time.
    duration max_backoff = std::chrono::milliseconds(800);
    /// Minimum time between the starts of two reads, so that frequent small changes to a topic are
    /// read in batches, a few times a second, instead of one by one.
    duration min_read_interval = std::chrono::milliseconds(100);
};

/// Follows one topic of the store: lists it, then reads new records by long polling, and lists it
/// again when records that were not read yet were deleted or the store was restored. To be used on
/// the thread of a single-threaded runtime.
class topic_follower : public std::enable_shared_from_this<topic_follower> {
public:
    using change_handler =
        std::function<void(const std::vector<policy::keyed_record>&, policy::change_origin)>;
    using availability_handler = std::function<void(bool available)>;

    /// @param context runs the reads
    /// @param store holds the topic; must outlive the runtime's last callback
    /// @param options name of the topic and timing
    /// @param on_changes called with the newest change of each key and where it comes from; an
    /// empty value removes the key
    /// @param on_available called when the store becomes available or unavailable
    topic_follower(transport::runtime& context, keyed_log& store, follower_options options,
                   change_handler on_changes, availability_handler on_available);

    void start();

    /// Reads again on a new connection if a peer has read further.
    /// @param position how far the peer has read
    void catch_up(policy::log_position position);

    /// Reads again without waiting for a record, beside the pending read, whose connection may have
    /// gone silent.
    void read_again();

    [[nodiscard]] const std::string& topic() const { return this->options_.topic; }

    /// @return epoch of the last listing and offset after the last record that was read
    [[nodiscard]] policy::log_position position() const { return this->topic_.position(); }

    /// @return whether a listing was completed
    [[nodiscard]] bool is_complete() const { return this->is_listed_; }

    /// @return epoch of the store as of its last answer
    [[nodiscard]] std::uint64_t store_epoch() const { return this->store_epoch_; }

    /// @return number of listings
    [[nodiscard]] std::uint64_t listings() const { return this->listings_; }

    /// @return number of records that were ignored because a newer one of their key is known
    [[nodiscard]] std::uint64_t ignored_records() const { return this->topic_.ignored_records(); }

private:
    /// Starts a read that replaces earlier ones.
    void start_read();
    /// Starts a read.
    /// @param wait how long it waits for a record; ignored for a listing
    void add_read(duration wait);
    void check_overdue(std::uint64_t read_id);
    void on_result(std::uint64_t read_id, const keyed_result& result);
    void on_page(const keyed_records& page);
    void on_store_epoch(std::uint64_t epoch);
    /// Passes changes on. Reading goes on if they cannot be used.
    void report_changes(const std::vector<policy::keyed_record>& changes,
                        policy::change_origin origin);
    void on_failure(const std::string& reason);
    void set_available(bool available, const std::string& reason);
    void start_read_after(duration delay);

    transport::runtime& context_;
    keyed_log& store_;
    follower_options options_;
    change_handler on_changes_;
    availability_handler on_available_;
    policy::keyed_topic topic_;
    event_log log_{"topic"};
    std::uint64_t read_id_ = 0; ///< of the last read that was started
    /// Reads whose result is awaited; the first answer ends them all.
    std::vector<std::uint64_t> pending_reads_;
    transport::timer_handle overdue_timer_;
    bool has_changed_ = false; ///< the last read returned records
    std::uint64_t store_epoch_ = 0;
    std::uint64_t listings_ = 0;
    bool is_listed_ = false;
    bool needs_listing_ = true;
    bool is_available_ = true;
    duration backoff_{};
    time_point read_started_at_{};
};

} // namespace medlaryoke::gateway
