#include "gateway/topic_follower.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace medlaryoke::gateway {

topic_follower::topic_follower(transport::runtime& context, keyed_log& store,
                               follower_options options, change_handler on_changes,
                               availability_handler on_available)
    : context_(context), store_(store), options_(std::move(options)),
      on_changes_(std::move(on_changes)), on_available_(std::move(on_available)),
      backoff_(options_.initial_backoff)
{
}

void topic_follower::start()
{
    this->start_read();
}

void topic_follower::catch_up(policy::log_position position)
{
    if (position <= this->topic_.position() || !this->is_available_ || !this->is_listed_) {
        return;
    }
    this->log_.note(log_level::info, "read again, a peer is ahead",
                    {{"topic", this->options_.topic},
                     {"position", static_cast<std::int64_t>(this->topic_.position().offset)},
                     {"peer_position", static_cast<std::int64_t>(position.offset)},
                     {"store_epoch", static_cast<std::int64_t>(this->store_epoch_)},
                     {"peer_epoch", static_cast<std::int64_t>(position.epoch)}});
    this->store_.renew_connections();
    this->read_again();
}

void topic_follower::read_again()
{
    // One read beside the pending one is enough; its own timeout bounds it.
    constexpr std::size_t max_pending_reads = 2;
    if (this->needs_listing_ || this->pending_reads_.empty() ||
        this->pending_reads_.size() >= max_pending_reads) {
        return;
    }
    this->add_read(duration::zero());
}

void topic_follower::start_read()
{
    this->pending_reads_.clear();
    this->overdue_timer_.cancel();
    this->read_started_at_ = std::chrono::steady_clock::now();
    // During an outage a read does not wait for a record, so that the end of the outage is
    // detected at once: entries removed soon after it are treated as expired by the outage.
    const auto wait = !this->is_available_       ? duration::zero()
                      : this->options_.next_wait ? this->options_.next_wait(this->has_changed_)
                                                 : this->options_.read_wait;
    this->has_changed_ = false;
    this->add_read(wait);
    if (!this->needs_listing_ && this->is_available_) {
        this->overdue_timer_ =
            this->context_.after(wait + this->options_.overdue_after,
                                 [self = this->shared_from_this(), read_id = this->read_id_] {
                                     self->check_overdue(read_id);
                                 });
    }
}

void topic_follower::add_read(duration wait)
{
    const auto read_id = ++this->read_id_;
    this->pending_reads_.push_back(read_id);
    const auto done = [self = this->shared_from_this(), read_id](const keyed_result& result) {
        self->on_result(read_id, result);
    };
    if (this->needs_listing_) {
        this->store_.list(this->options_.topic, done);
    }
    else {
        this->store_.read(this->options_.topic, this->topic_.position().offset, wait, done);
    }
}

void topic_follower::check_overdue(std::uint64_t read_id)
{
    if (this->pending_reads_.empty() || this->pending_reads_.front() != read_id) {
        return;
    }
    this->log_.sample(log_level::info, "answer of the store is overdue, read again",
                      {{"topic", this->options_.topic},
                       {"position", static_cast<std::int64_t>(this->topic_.position().offset)}});
    this->store_.renew_connections();
    this->read_again();
    if (this->options_.on_overdue) {
        this->options_.on_overdue();
    }
}

void topic_follower::on_result(std::uint64_t read_id, const keyed_result& result)
{
    if (std::erase(this->pending_reads_, read_id) == 0) {
        return;
    }
    if (const auto* failure = std::get_if<keyed_unavailable>(&result)) {
        if (this->pending_reads_.empty()) {
            this->on_failure(failure->reason);
        }
        return;
    }
    this->pending_reads_.clear();
    this->overdue_timer_.cancel();
    if (this->options_.on_answer) {
        this->options_.on_answer();
    }
    this->set_available(true, {});
    this->backoff_ = this->options_.initial_backoff;
    if (const auto* expired = std::get_if<keyed_expired>(&result)) {
        this->on_store_epoch(expired->epoch);
        this->log_.sample(log_level::warning, "records were deleted, listing again",
                          {{"topic", this->options_.topic},
                           {"position", static_cast<std::int64_t>(this->topic_.position().offset)},
                           {"store_epoch", static_cast<std::int64_t>(this->store_epoch_)}});
        this->needs_listing_ = true;
        this->start_read();
        return;
    }
    this->on_page(std::get<keyed_records>(result));
}

void topic_follower::on_page(const keyed_records& page)
{
    this->on_store_epoch(page.epoch);
    if (!this->needs_listing_ && page.epoch != this->topic_.position().epoch) {
        this->needs_listing_ = true;
        this->start_read();
        return;
    }
    const bool is_listing = std::exchange(this->needs_listing_, false);
    const auto position = this->topic_.position();
    const auto ignored = this->topic_.ignored_records();
    const auto changes = is_listing
                             ? this->topic_.apply_listing(page.records, {page.epoch, page.next})
                             : this->topic_.apply_records(page.records, page.next);
    if (is_listing) {
        ++this->listings_;
    }
    if (is_listing || this->topic_.ignored_records() > ignored) {
        this->log_.sample(
            log_level::info, is_listing ? "topic listed" : "records ignored",
            {{"topic", this->options_.topic},
             {"records", static_cast<std::int64_t>(page.records.size())},
             {"changes", static_cast<std::int64_t>(changes.size())},
             {"ignored", static_cast<std::int64_t>(this->topic_.ignored_records() - ignored)},
             {"end", static_cast<std::int64_t>(page.next)},
             {"position_before", static_cast<std::int64_t>(position.offset)},
             {"store_epoch", static_cast<std::int64_t>(page.epoch)}});
    }
    this->has_changed_ = !page.records.empty();
    const bool first = !std::exchange(this->is_listed_, true);
    const bool is_restored = !first && page.epoch != position.epoch;
    if (first || is_restored || !changes.empty()) {
        this->report_changes(changes, is_restored ? policy::change_origin::restored_copy
                                                  : policy::change_origin::log);
    }
    const auto elapsed = std::chrono::steady_clock::now() - this->read_started_at_;
    this->start_read_after(
        std::max<duration>(this->options_.min_read_interval - elapsed, duration::zero()));
}

void topic_follower::on_store_epoch(std::uint64_t epoch)
{
    const auto previous = std::exchange(this->store_epoch_, epoch);
    if (previous == epoch || !this->is_listed_) {
        return;
    }
    this->log_.note(log_level::warning, "store was restored",
                    {{"topic", this->options_.topic},
                     {"store_epoch", static_cast<std::int64_t>(epoch)},
                     {"previous", static_cast<std::int64_t>(previous)},
                     {"position", static_cast<std::int64_t>(this->topic_.position().offset)}});
}

void topic_follower::report_changes(const std::vector<policy::keyed_record>& changes,
                                    policy::change_origin origin)
{
    try {
        this->on_changes_(changes, origin);
    }
    catch (const std::exception& e) {
        this->log_.note(log_level::error, "changes cannot be used",
                        {{"topic", this->options_.topic}, {"reason", e.what()}});
    }
}

void topic_follower::on_failure(const std::string& reason)
{
    this->overdue_timer_.cancel();
    this->set_available(false, reason);
    this->start_read_after(this->backoff_);
    this->backoff_ = std::min(this->backoff_ * 2, this->options_.max_backoff);
}

void topic_follower::set_available(bool available, const std::string& reason)
{
    if (this->is_available_ == available) {
        return;
    }
    this->is_available_ = available;
    this->log_.note(available ? log_level::info : log_level::warning,
                    available ? "store answers again" : "store does not answer",
                    {{"topic", this->options_.topic},
                     {"reason", reason},
                     {"position", static_cast<std::int64_t>(this->topic_.position().offset)}});
    this->on_available_(available);
}

void topic_follower::start_read_after(duration delay)
{
    if (delay == duration::zero()) {
        this->start_read();
        return;
    }
    this->context_.after(delay, [self = this->shared_from_this(), read_id = this->read_id_] {
        if (read_id == self->read_id_) {
            self->start_read();
        }
    });
}

} // namespace medlaryoke::gateway
