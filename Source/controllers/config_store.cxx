#include "controllers/config_store.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

#include "base/error.h"
#include "base/logging.h"
#include "controllers/log_history.h"
#include "controllers/snapshot_assembler.h"

namespace medlaryoke::controllers {

namespace {

// Records retained for peers that are slightly behind. Peers that need older records get a
// snapshot of the whole state.
constexpr std::size_t max_retained_records = 1024;
constexpr std::size_t max_retained_bytes = 4U * 1024U * 1024U;

using view_ptr = std::shared_ptr<const config_view>;

template <typename Spec>
void insert_spec(std::map<std::string, versioned_spec<Spec>>& target,
                 const policy::ledger_entry& entry, const Spec& spec)
{
    target.emplace(entry.value.name, versioned_spec<Spec>{spec, entry.version, entry.author});
}

/// Inserts a resource into the map of the view that holds its kind.
struct view_inserter {
    config_view& view;
    const policy::ledger_entry& entry;

    void operator()(const model::model_group_spec& spec) const
    {
        insert_spec(this->view.model_groups, this->entry, spec);
    }
    void operator()(const model::upstream_spec& spec) const
    {
        insert_spec(this->view.upstreams, this->entry, spec);
    }
    void operator()(const model::priority_spec& spec) const
    {
        insert_spec(this->view.priorities, this->entry, spec);
    }
    void operator()(const model::caller_spec& spec) const
    {
        insert_spec(this->view.callers, this->entry, spec);
    }
};

view_ptr make_view(const policy::config_ledger& ledger)
{
    auto view = std::make_shared<config_view>();
    view->offset = ledger.offset();
    for (const auto& [key, entry] : ledger.entries()) {
        std::visit(view_inserter{*view, *entry}, entry->value.spec);
    }
    return view;
}

/// @return a copy of a view at a later offset, for records that changed no resource
view_ptr with_offset(const config_view& previous, std::uint64_t offset)
{
    auto view = std::make_shared<config_view>(previous);
    view->offset = offset;
    return view;
}

} // namespace

class config_store::implementation {
public:
    bool fold(const wire::config_records& records)
    {
        std::unique_lock lock(this->mutex);
        const auto previous_offset = this->ledger.offset();
        const bool loaded = this->load_snapshot(records);
        const bool changed = this->fold_records(records) || loaded;
        const auto offset = this->ledger.offset();
        if (offset == previous_offset) {
            return false;
        }
        this->current_view =
            changed ? make_view(this->ledger) : with_offset(*this->current_view, offset);
        this->pending_views_.push_back(this->current_view);
        this->notify(lock);
        return true;
    }

    mutable std::mutex mutex;
    log_history history;
    policy::config_ledger ledger;
    view_ptr current_view = std::make_shared<config_view>();
    snapshot_assembler snapshots;
    std::deque<std::pair<std::uint64_t, std::string>> retained_records; ///< offset and data
    std::size_t retained_bytes = 0;
    std::vector<std::function<void(const view_ptr&)>> subscribers;

private:
    /// @return whether the snapshot in the message was newer and has replaced the state
    bool load_snapshot(const wire::config_records& records)
    {
        if (records.snapshot().empty() || records.snapshot_offset() <= this->ledger.offset()) {
            return false;
        }
        try {
            auto loaded = policy::config_ledger::from_snapshot(records.snapshot());
            if (loaded.offset() <= this->ledger.offset()) {
                return false;
            }
            this->ledger = std::move(loaded);
        }
        catch (const error& e) {
            this->log_.warning("rejected the snapshot at offset {}: {}", records.snapshot_offset(),
                               e.what());
            return false;
        }
        this->retained_records.clear();
        this->retained_bytes = 0;
        this->snapshots.reset_to(this->ledger.offset());
        return true;
    }

    /// @return whether a resource changed
    bool fold_records(const wire::config_records& records)
    {
        bool changed = false;
        for (const auto& it : records.records()) {
            if (it.offset() <= this->ledger.offset()) {
                continue;
            }
            if (it.offset() != this->ledger.offset() + 1) {
                this->log_.warning(
                    "skipped the record at offset {}: the record at offset {} is missing",
                    it.offset(), this->ledger.offset() + 1);
                break;
            }
            const auto record = policy::decode_record(it.data());
            if (const auto* damaged = std::get_if<policy::damaged_record>(&record)) {
                this->log_.warning("the record at offset {} is damaged: {}", it.offset(),
                                   damaged->reason);
            }
            changed = this->ledger.apply_record(it.offset(), record) || changed;
            this->snapshots.add(it.offset(), record);
            this->retain(it.offset(), it.data());
        }
        return changed;
    }

    void retain(std::uint64_t offset, const std::string& data)
    {
        this->retained_records.emplace_back(offset, data);
        this->retained_bytes += data.size();
        while (this->retained_records.size() > max_retained_records ||
               this->retained_bytes > max_retained_bytes) {
            this->retained_bytes -= this->retained_records.front().second.size();
            this->retained_records.pop_front();
        }
    }

    /// Calls the subscribers with each pending view. If another thread is already doing so, or a
    /// subscriber has called fold(), the running call handles the new view as well, so that
    /// subscribers get the views in offset order.
    /// @param lock holds the mutex; released during the calls
    void notify(std::unique_lock<std::mutex>& lock)
    {
        if (this->notifying_) {
            return;
        }
        this->notifying_ = true;
        while (!this->pending_views_.empty()) {
            const auto view = std::move(this->pending_views_.front());
            this->pending_views_.pop_front();
            const auto callbacks = this->subscribers;
            lock.unlock();
            for (const auto& fn : callbacks) {
                fn(view);
            }
            lock.lock();
        }
        this->notifying_ = false;
    }

    std::deque<view_ptr> pending_views_;
    bool notifying_ = false;
    logger log_{"config"};
};

config_store::config_store() : impl_(std::make_unique<implementation>()) {}

config_store::~config_store() = default;

std::shared_ptr<const config_view> config_store::view() const
{
    const std::scoped_lock lock(this->impl_->mutex);
    return this->impl_->current_view;
}

bool config_store::fold(const wire::config_records& records)
{
    return this->impl_->fold(records);
}

bool config_store::continues_history(std::uint64_t epoch)
{
    const std::scoped_lock lock(this->impl_->mutex);
    return this->impl_->history.continues(epoch);
}

wire::config_records config_store::records_from(std::uint64_t from_offset) const
{
    const std::scoped_lock lock(this->impl_->mutex);
    wire::config_records result;
    const auto& retained = this->impl_->retained_records;
    const auto offset = this->impl_->ledger.offset();
    result.set_from_offset(from_offset);
    if (from_offset > offset) {
        return result;
    }
    if (retained.empty() || retained.front().first > from_offset) {
        result.set_snapshot(this->impl_->ledger.to_snapshot());
        result.set_snapshot_offset(offset);
        return result;
    }
    for (const auto& [record_offset, data] : retained) {
        if (record_offset >= from_offset) {
            auto* record = result.add_records();
            record->set_offset(record_offset);
            record->set_data(data);
        }
    }
    return result;
}

std::optional<policy::change_outcome>
config_store::outcome_of(const std::string& operation_id) const
{
    const std::scoped_lock lock(this->impl_->mutex);
    const auto* outcome = this->impl_->ledger.outcome_of(operation_id);
    return outcome == nullptr ? std::nullopt : std::optional(*outcome);
}

policy::change_outcome config_store::evaluate(const policy::config_change& change) const
{
    return this->ledger().evaluate(change);
}

policy::config_ledger config_store::ledger() const
{
    const std::scoped_lock lock(this->impl_->mutex);
    return this->impl_->ledger;
}

snapshot_coverage config_store::coverage() const
{
    const std::scoped_lock lock(this->impl_->mutex);
    return this->impl_->snapshots.coverage();
}

void config_store::subscribe(std::function<void(const std::shared_ptr<const config_view>&)> fn)
{
    const std::scoped_lock lock(this->impl_->mutex);
    this->impl_->subscribers.push_back(std::move(fn));
}

} // namespace medlaryoke::controllers
