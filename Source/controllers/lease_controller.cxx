#include "controllers/lease_controller.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/identifiers.h"
#include "base/logging.h"
#include "policy/log_position.h"

namespace medlaryoke::controllers {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_records_per_read = 500;
constexpr duration retry_delay = 250ms;
constexpr int renewals_per_lease = 3;
constexpr int reads_per_lease = 10;
const std::string stream_name = "leases";

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
    bool holds_lease = false;
    {
        const std::scoped_lock lock(this->mutex_);
        this->stopped_ = true;
        holds_lease = this->is_own_lease(this->ledger_.find(this->options_.name));
        this->valid_until_ = {};
    }
    if (holds_lease) {
        this->append(true);
    }
}

std::optional<std::uint64_t> lease_controller::fence() const
{
    const std::scoped_lock lock(this->mutex_);
    const auto state = this->ledger_.find(this->options_.name);
    if (!this->is_own_lease(state) || this->clock_.now() >= this->valid_until_) {
        return std::nullopt;
    }
    return this->to_fence(state);
}

duration lease_controller::time_left() const
{
    const std::scoped_lock lock(this->mutex_);
    return std::max(this->valid_until_ - this->clock_.now(), duration::zero());
}

policy::lease_state lease_controller::state() const
{
    const std::scoped_lock lock(this->mutex_);
    auto state = this->ledger_.find(this->options_.name);
    state.fence = this->to_fence(state);
    return state;
}

std::uint64_t lease_controller::to_fence(const policy::lease_state& state) const
{
    return state.offset == 0 ? 0 : policy::fencing_token({this->epoch_, state.fence - 1});
}

void lease_controller::read()
{
    std::uint64_t from = 0;
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->stopped_) {
            return;
        }
        from = this->next_offset_;
    }
    const auto wait = this->options_.time_to_live / reads_per_lease;
    this->log_.read(stream_name, from, max_records_per_read, wait,
                    [self = this->shared_from_this()](const transport::read_result& result) {
                        self->on_read(result);
                    });
}

void lease_controller::on_read(const transport::read_result& result)
{
    duration next_read_delay = retry_delay;
    if (const auto* found = std::get_if<transport::read_records>(&result)) {
        const std::scoped_lock lock(this->mutex_);
        if (found->epoch != this->epoch_) {
            this->set_epoch(found->epoch); // the offset of the read belongs to a lost history
            next_read_delay = 0ns;
        }
        else {
            std::ranges::for_each(found->records,
                                  [this](const auto& it) { this->apply_record(it); });
            this->caught_up_ = this->next_offset_ >= found->next;
            next_read_delay =
                found->records.empty() ? this->options_.time_to_live / reads_per_lease : 0ns;
        }
    }
    else if (const auto* expired = std::get_if<transport::read_expired>(&result)) {
        const std::scoped_lock lock(this->mutex_);
        this->set_epoch(expired->epoch);
        this->next_offset_ = std::max(this->next_offset_, expired->earliest);
        next_read_delay = 0ns;
    }
    this->acquire_or_renew();
    this->after_(next_read_delay, [self = this->shared_from_this()] { self->read(); });
}

void lease_controller::set_epoch(std::uint64_t epoch)
{
    if (epoch == this->epoch_) {
        return;
    }
    log_output().warning("The log was restored (epoch {} after {}); reading all leases again.",
                         epoch, this->epoch_);
    this->epoch_ = epoch;
    this->ledger_ = {};
    this->sent_at_by_operation_.clear();
    this->next_offset_ = 1;
    this->caught_up_ = false;
    this->valid_until_ = {};
    const auto time_to_live = this->options_.time_to_live;
    this->acquire_not_before_ =
        this->clock_.now() + time_to_live + policy::lease_margin(time_to_live);
}

void lease_controller::apply_record(const transport::stored_record& record)
{
    this->next_offset_ = std::max(this->next_offset_, record.offset + 1);
    wire::lease lease;
    if (!lease.ParseFromString(record.data)) {
        log_output().warning("Skipping record {}, which cannot be parsed.", record.offset);
        return;
    }
    const bool accepted = this->ledger_.apply(record.offset, lease, this->clock_.now());
    const auto own_record = this->sent_at_by_operation_.find(lease.operation_id());
    if (own_record == this->sent_at_by_operation_.end()) {
        return;
    }
    if (accepted && !lease.released()) {
        this->valid_until_ = own_record->second + this->options_.time_to_live;
        this->renew_at_ = own_record->second + this->options_.time_to_live / renewals_per_lease;
    }
    this->sent_at_by_operation_.erase(own_record);
}

void lease_controller::acquire_or_renew()
{
    {
        const std::scoped_lock lock(this->mutex_);
        const auto now = this->clock_.now();
        const auto is_own = this->is_own_lease(this->ledger_.find(this->options_.name));
        const bool is_due =
            is_own ? now >= this->renew_at_ : this->ledger_.is_available(this->options_.name, now);
        if (this->stopped_ || !this->caught_up_ || !is_due || now < this->next_append_at_ ||
            now < this->acquire_not_before_) {
            return;
        }
        this->next_append_at_ = now + this->options_.time_to_live / renewals_per_lease / 2;
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
        this->sent_at_by_operation_[record.operation_id()] = this->clock_.now();
    }
    // The result is not needed: the record is recognised by its operation id when it is read.
    this->log_.append(stream_name, record.SerializeAsString(),
                      [](const transport::append_result&) {});
}

bool lease_controller::is_own_lease(const policy::lease_state& state) const
{
    return state.offset != 0 && !state.released && state.holder == this->options_.holder &&
           state.incarnation == this->options_.incarnation;
}

} // namespace medlaryoke::controllers
