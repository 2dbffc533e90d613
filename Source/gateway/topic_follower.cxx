#include "gateway/topic_follower.h"

#include <algorithm>
#include <utility>

namespace medlaryoke::gateway {

topic_follower::topic_follower(transport::runtime& context, keyed_log& store,
                               follower_options options, change_handler on_changes,
                               availability_handler on_available)
    : context_(context), store_(store), options_(std::move(options)),
      on_changes_(std::move(on_changes)), on_available_(std::move(on_available)),
      retry_(options_.first_retry)
{
}

void topic_follower::start()
{
    this->step();
}

void topic_follower::catch_up(std::uint64_t position)
{
    if (position <= this->topic_.next() || !this->available_ || !this->listed_) {
        return;
    }
    this->log_.note(log_level::info, "read again, a peer is ahead",
                    {{"topic", this->options_.topic},
                     {"position", static_cast<std::int64_t>(this->topic_.next())},
                     {"peer_position", static_cast<std::int64_t>(position)}});
    this->step();
}

void topic_follower::step()
{
    this->step_started_ = std::chrono::steady_clock::now();
    const auto done = [self = this->shared_from_this(), round = ++this->round_](
                          const keyed_result& result) { self->received(round, result); };
    if (this->must_list_) {
        this->store_.list(this->options_.topic, done);
    }
    else {
        // After an outage the store's return must be noticed at once and not with the next record,
        // because the time of the return decides how removed entries are taken.
        const auto wait = this->available_ ? this->options_.wait : duration::zero();
        this->store_.read(this->options_.topic, this->topic_.next(), wait, done);
    }
}

void topic_follower::received(std::uint64_t round, const keyed_result& result)
{
    if (round != this->round_) {
        return;
    }
    if (const auto* failure = std::get_if<keyed_unavailable>(&result)) {
        this->failed(failure->reason);
        return;
    }
    this->set_available(true, {});
    this->retry_ = this->options_.first_retry;
    if (std::holds_alternative<keyed_expired>(result)) {
        this->log_.note(log_level::warning, "records were deleted, listing again",
                        {{"topic", this->options_.topic}});
        this->must_list_ = true;
        this->step();
        return;
    }
    const auto& page = std::get<keyed_records>(result);
    const auto changes = this->must_list_ ? this->topic_.apply_listing(page.records, page.next)
                                          : this->topic_.apply_records(page.records, page.next);
    this->must_list_ = false;
    const bool first = !std::exchange(this->listed_, true);
    if (first || !changes.empty()) {
        this->on_changes_(changes);
    }
    const auto spent = std::chrono::steady_clock::now() - this->step_started_;
    this->step_after(std::max<duration>(this->options_.spacing - spent, duration::zero()));
}

void topic_follower::failed(const std::string& reason)
{
    this->set_available(false, reason);
    this->step_after(this->retry_);
    this->retry_ = std::min(this->retry_ * 2, this->options_.longest_retry);
}

void topic_follower::set_available(bool available, const std::string& reason)
{
    if (this->available_ == available) {
        return;
    }
    this->available_ = available;
    this->log_.note(available ? log_level::info : log_level::warning,
                    available ? "store answers again" : "store does not answer",
                    {{"topic", this->options_.topic},
                     {"reason", reason},
                     {"position", static_cast<std::int64_t>(this->topic_.next())}});
    this->on_available_(available);
}

void topic_follower::step_after(duration delay)
{
    if (delay == duration::zero()) {
        this->step();
        return;
    }
    this->context_.after(delay, [self = this->shared_from_this(), round = this->round_] {
        if (round == self->round_) {
            self->step();
        }
    });
}

} // namespace medlaryoke::gateway
