#include "controllers/lease_controller.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/identifiers.h"
#include "base/logging.h"

namespace medlaryoke::controllers {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t read_limit = 500;
constexpr duration retry_pause = 250ms;
constexpr int renewals_per_lease = 3;
constexpr int reads_per_lease = 10;
const std::string stream = "leases";

const logger& log_output()
{
    static const logger instance("lease");
    return instance;
}

} // namespace

lease_controller::lease_controller(const clock_source& clock, transport::log_service& log,
                                   std::function<void(duration, std::function<void()>)> after,
                                   lease_controller_options options)
    : clock_(clock), log_(log), after_(std::move(after)), options_(std::move(options))
{
}

void lease_controller::start()
{
    this->read();
}

void lease_controller::stop()
{
    bool release = false;
    {
        const std::scoped_lock lock(this->mutex_);
        this->stopped_ = true;
        release = this->is_mine(this->ledger_.find(this->options_.name));
        this->valid_until_ = {};
    }
    if (release) {
        this->append(true);
    }
}

std::optional<std::uint64_t> lease_controller::fence() const
{
    const std::scoped_lock lock(this->mutex_);
    const auto state = this->ledger_.find(this->options_.name);
    if (!this->is_mine(state) || this->clock_.now() >= this->valid_until_) {
        return std::nullopt;
    }
    return state.fence;
}

duration lease_controller::time_left() const
{
    const std::scoped_lock lock(this->mutex_);
    return std::max(this->valid_until_ - this->clock_.now(), duration::zero());
}

policy::lease_state lease_controller::state() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->ledger_.find(this->options_.name);
}

void lease_controller::read()
{
    std::uint64_t from = 0;
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->stopped_) {
            return;
        }
        from = this->next_read_;
    }
    const auto wait = this->options_.time_to_live / reads_per_lease;
    this->log_.read(stream, from, read_limit, wait,
                    [self = this->shared_from_this()](const transport::read_result& result) {
                        self->on_read(result);
                    });
}

void lease_controller::on_read(const transport::read_result& result)
{
    duration pause = retry_pause;
    if (const auto* found = std::get_if<transport::read_records>(&result)) {
        const std::scoped_lock lock(this->mutex_);
        std::ranges::for_each(found->records, [this](const auto& it) { this->fold(it); });
        this->has_read_all_ = this->next_read_ >= found->next;
        pause = found->records.empty() ? this->options_.time_to_live / reads_per_lease : 0ns;
    }
    else if (const auto* expired = std::get_if<transport::read_expired>(&result)) {
        const std::scoped_lock lock(this->mutex_);
        this->next_read_ = std::max(this->next_read_, expired->earliest);
        pause = 0ns;
    }
    this->contend();
    this->after_(pause, [self = this->shared_from_this()] { self->read(); });
}

void lease_controller::fold(const transport::stored_record& record)
{
    this->next_read_ = std::max(this->next_read_, record.offset + 1);
    wire::lease lease;
    if (!lease.ParseFromString(record.data)) {
        log_output().warning("Record {} is damaged. It is skipped.", record.offset);
        return;
    }
    const bool accepted = this->ledger_.apply(record.offset, lease, this->clock_.now());
    const auto sent = this->sent_.find(lease.operation_id());
    if (sent == this->sent_.end()) {
        return;
    }
    if (accepted && !lease.released()) {
        this->valid_until_ = sent->second + this->options_.time_to_live;
        this->renew_at_ = sent->second + this->options_.time_to_live / renewals_per_lease;
    }
    this->sent_.erase(sent);
}

void lease_controller::contend()
{
    {
        const std::scoped_lock lock(this->mutex_);
        const auto now = this->clock_.now();
        const auto mine = this->is_mine(this->ledger_.find(this->options_.name));
        const bool wanted =
            mine ? now >= this->renew_at_ : this->ledger_.is_available(this->options_.name, now);
        if (this->stopped_ || !this->has_read_all_ || !wanted || now < this->next_append_) {
            return;
        }
        this->next_append_ = now + this->options_.time_to_live / renewals_per_lease / 2;
    }
    this->append(false);
}

void lease_controller::append(bool released)
{
    wire::lease record;
    {
        const std::scoped_lock lock(this->mutex_);
        record.set_name(this->options_.name);
        record.set_holder(this->options_.holder);
        record.set_incarnation(this->options_.incarnation);
        record.set_ttl_ms(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(this->options_.time_to_live)
                .count()));
        record.set_previous_offset(this->ledger_.find(this->options_.name).offset);
        record.set_operation_id(random_bits());
        record.set_released(released);
        this->sent_[record.operation_id()] = this->clock_.now();
    }
    // A lost answer needs no care: the record is found by its operation id when it is read.
    this->log_.append(stream, record.SerializeAsString(), [](const transport::append_result&) {});
}

bool lease_controller::is_mine(const policy::lease_state& state) const
{
    return state.offset != 0 && !state.released && state.holder == this->options_.holder &&
           state.incarnation == this->options_.incarnation;
}

} // namespace medlaryoke::controllers
