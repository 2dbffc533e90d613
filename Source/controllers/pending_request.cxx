#include "controllers/pending_request.h"

#include <utility>

namespace medlaryoke::controllers {

pending_request::pending_request(std::uint64_t id, work_request request,
                                 std::shared_ptr<transport::response_stream> response)
    : id_(id), request_(std::move(request)),
      writer_(std::move(response), this->request_.request_id, this->request_.stream,
              this->request_.json_answer),
      waiting_since_(this->request_.received)
{
}

std::optional<unsigned> pending_request::begin_attempt(const std::string& upstream,
                                                       std::shared_ptr<upstream_link> link,
                                                       time_point now)
{
    const std::scoped_lock lock(this->mutex_);
    if (this->ended_) {
        return std::nullopt;
    }
    ++this->attempt_number_;
    this->tried_upstreams_.push_back(upstream);
    this->running_ = running_dispatch{upstream, std::move(link), 0};
    this->queue_wait_ += now - this->waiting_since_;
    return this->attempt_number_;
}

bool pending_request::set_dispatch_id(unsigned attempt, std::uint64_t dispatch_id)
{
    const std::scoped_lock lock(this->mutex_);
    if (this->attempt_number_ != attempt) {
        return false;
    }
    if (this->running_) {
        this->running_->dispatch_id = dispatch_id;
    }
    return this->ended_;
}

void pending_request::on_head(unsigned attempt, const transport::http_head& head)
{
    const std::scoped_lock lock(this->mutex_);
    if (this->is_current(attempt)) {
        this->writer_.set_head(head);
    }
}

std::string pending_request::on_data(unsigned attempt, const std::string& data, time_point now)
{
    const std::scoped_lock lock(this->mutex_);
    if (!this->is_current(attempt)) {
        return {};
    }
    if (!this->first_data_) {
        this->first_data_ = now;
    }
    this->last_data_ = now;
    ++this->data_part_count_;
    return this->writer_.append_data(data);
}

std::optional<request_record> pending_request::finish(unsigned attempt, time_point now)
{
    const std::scoped_lock lock(this->mutex_);
    if (!this->is_current(attempt)) {
        return std::nullopt;
    }
    this->ended_ = true;
    this->running_.reset();
    this->writer_.finish();
    auto record = this->make_record(now);
    record.result = outcome::answered;
    const bool first_data_in_time = record.first_data <= this->request_.first_token_target;
    const auto first = this->first_data_.value_or(this->last_data_);
    const auto mean_interval = this->data_part_count_ > 1
                                   ? (this->last_data_ - first) / (this->data_part_count_ - 1)
                                   : duration{};
    const auto max_interval = this->request_.token_interval_target;
    record.within_target =
        first_data_in_time && (max_interval == duration{} || mean_interval <= max_interval);
    return record;
}

std::optional<request_record> pending_request::fail(request_failure failure, time_point now,
                                                    std::optional<running_dispatch>& running)
{
    const std::scoped_lock lock(this->mutex_);
    auto record = this->end(now, running);
    if (record) {
        if (this->may_have_run_ && failure.result == outcome::not_run) {
            failure.result = outcome::unknown;
            failure.kind = error_kind::outcome_unknown;
            failure.message = "an earlier attempt may have been run; then " + failure.message;
        }
        record->result = failure.result;
        record->kind = failure.kind;
        this->writer_.fail(failure);
    }
    return record;
}

std::optional<request_record> pending_request::cancel(time_point now,
                                                      std::optional<running_dispatch>& running)
{
    const std::scoped_lock lock(this->mutex_);
    auto record = this->end(now, running);
    if (record) {
        record->cancelled = true;
        record->result = running || this->may_have_run_ ? outcome::unknown : outcome::not_run;
        this->writer_.abort();
    }
    return record;
}

bool pending_request::has_data() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->first_data_.has_value();
}

bool pending_request::is_running() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->running_.has_value();
}

bool pending_request::is_current(unsigned attempt) const
{
    return !this->ended_ && this->running_.has_value() && this->attempt_number_ == attempt;
}

request_record pending_request::make_record(time_point now) const
{
    request_record record;
    record.target = this->request_.target;
    record.priority = this->request_.priority;
    record.organisation = this->request_.organisation;
    record.attempts = this->attempt_number_;
    record.queue_wait = this->queue_wait_;
    record.first_data = this->first_data_.value_or(now) - this->request_.received;
    record.total = now - this->request_.received;
    return record;
}

std::optional<request_record> pending_request::end(time_point now,
                                                   std::optional<running_dispatch>& running)
{
    if (std::exchange(this->ended_, true)) {
        return std::nullopt;
    }
    if (!this->running_) {
        this->queue_wait_ += now - this->waiting_since_;
    }
    running = std::exchange(this->running_, std::nullopt);
    return this->make_record(now);
}

} // namespace medlaryoke::controllers
