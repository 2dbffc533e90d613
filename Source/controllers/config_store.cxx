#include "controllers/config_store.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

#include "base/error.h"
#include "base/logging.h"
#include "controllers/snapshot_assembly.h"

namespace medlaryoke::controllers {

namespace {

/// Records kept for peers that are a little behind; older peers get the folded state.
constexpr std::size_t max_kept_records = 1024;
constexpr std::size_t max_kept_bytes = 4U * 1024U * 1024U;

using view_ptr = std::shared_ptr<const config_view>;

template <typename Spec>
void add_to(std::map<std::string, versioned<Spec>>& target, const policy::ledger_entry& entry,
            const Spec& spec)
{
    target.emplace(entry.value.name, versioned<Spec>{spec, entry.version, entry.author});
}

/// Sorts a resource into the map of its kind.
struct view_builder {
    config_view& view;
    const policy::ledger_entry& entry;

    void operator()(const model::model_group_spec& spec) const
    {
        add_to(this->view.model_groups, this->entry, spec);
    }
    void operator()(const model::upstream_spec& spec) const
    {
        add_to(this->view.upstreams, this->entry, spec);
    }
    void operator()(const model::priority_spec& spec) const
    {
        add_to(this->view.priorities, this->entry, spec);
    }
    void operator()(const model::caller_spec& spec) const
    {
        add_to(this->view.callers, this->entry, spec);
    }
};

view_ptr make_view(const policy::config_ledger& ledger)
{
    auto view = std::make_shared<config_view>();
    view->offset = ledger.offset();
    for (const auto& [key, entry] : ledger.entries()) {
        std::visit(view_builder{*view, *entry}, entry->value.spec);
    }
    return view;
}

/// The configuration before it, at a later offset.
view_ptr move_on(const config_view& before, std::uint64_t offset)
{
    auto view = std::make_shared<config_view>(before);
    view->offset = offset;
    return view;
}

} // namespace

class config_store::implementation {
public:
    bool fold(const wire::config_records& records)
    {
        std::unique_lock lock(this->mutex);
        const auto before = this->ledger.offset();
        const bool loaded = this->load(records);
        const bool changed = this->fold_records(records) || loaded;
        const auto offset = this->ledger.offset();
        if (offset == before) {
            return false;
        }
        this->current = changed ? make_view(this->ledger) : move_on(*this->current, offset);
        this->waiting_.push_back(this->current);
        this->notify(lock);
        return true;
    }

    mutable std::mutex mutex;
    policy::config_ledger ledger;
    view_ptr current = std::make_shared<config_view>();
    snapshot_assembly snapshots;
    std::deque<std::pair<std::uint64_t, std::string>> kept;
    std::size_t kept_bytes = 0;
    std::vector<std::function<void(const view_ptr&)>> subscribers;

private:
    bool load(const wire::config_records& records)
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
            this->log_.warning("snapshot {} refused: {}", records.snapshot_offset(), e.what());
            return false;
        }
        this->kept.clear();
        this->kept_bytes = 0;
        this->snapshots.start_after(this->ledger.offset());
        return true;
    }

    bool fold_records(const wire::config_records& records)
    {
        bool changed = false;
        for (const auto& it : records.records()) {
            if (it.offset() <= this->ledger.offset()) {
                continue;
            }
            if (it.offset() != this->ledger.offset() + 1) {
                this->log_.warning("record {} skipped: record {} is missing", it.offset(),
                                   this->ledger.offset() + 1);
                break;
            }
            const auto record = policy::decode_record(it.data());
            if (const auto* damaged = std::get_if<policy::damaged_record>(&record)) {
                this->log_.warning("record {} is damaged: {}", it.offset(), damaged->reason);
            }
            changed = this->ledger.apply_record(it.offset(), record) || changed;
            this->snapshots.add(it.offset(), record);
            this->keep(it.offset(), it.data());
        }
        return changed;
    }

    void keep(std::uint64_t offset, const std::string& data)
    {
        this->kept.emplace_back(offset, data);
        this->kept_bytes += data.size();
        while (this->kept.size() > max_kept_records || this->kept_bytes > max_kept_bytes) {
            this->kept_bytes -= this->kept.front().second.size();
            this->kept.pop_front();
        }
    }

    /// Calls the subscribers for all waiting views. A second thread, or a subscriber that folds,
    /// leaves its view to the thread that is already calling, so that the order is kept.
    void notify(std::unique_lock<std::mutex>& lock)
    {
        if (this->notifying_) {
            return;
        }
        this->notifying_ = true;
        while (!this->waiting_.empty()) {
            const auto view = std::move(this->waiting_.front());
            this->waiting_.pop_front();
            const auto targets = this->subscribers;
            lock.unlock();
            for (const auto& fn : targets) {
                fn(view);
            }
            lock.lock();
        }
        this->notifying_ = false;
    }

    std::deque<view_ptr> waiting_;
    bool notifying_ = false;
    logger log_{"config"};
};

config_store::config_store() : impl_(std::make_unique<implementation>()) {}

config_store::~config_store() = default;

std::shared_ptr<const config_view> config_store::view() const
{
    const std::scoped_lock lock(this->impl_->mutex);
    return this->impl_->current;
}

bool config_store::fold(const wire::config_records& records)
{
    return this->impl_->fold(records);
}

wire::config_records config_store::records_from(std::uint64_t from_offset) const
{
    const std::scoped_lock lock(this->impl_->mutex);
    wire::config_records result;
    const auto& kept = this->impl_->kept;
    const auto offset = this->impl_->ledger.offset();
    result.set_from_offset(from_offset);
    if (from_offset > offset) {
        return result;
    }
    if (kept.empty() || kept.front().first > from_offset) {
        result.set_snapshot(this->impl_->ledger.to_snapshot());
        result.set_snapshot_offset(offset);
        return result;
    }
    for (const auto& [at, data] : kept) {
        if (at >= from_offset) {
            auto* record = result.add_records();
            record->set_offset(at);
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

snapshot_need config_store::need_of_snapshot() const
{
    const std::scoped_lock lock(this->impl_->mutex);
    return this->impl_->snapshots.need();
}

void config_store::subscribe(std::function<void(const std::shared_ptr<const config_view>&)> fn)
{
    const std::scoped_lock lock(this->impl_->mutex);
    this->impl_->subscribers.push_back(std::move(fn));
}

} // namespace medlaryoke::controllers
