#include "policy/work_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "policy/priority_class.h"

namespace medlaryoke::policy {

namespace {

/// Limit on the service beyond its floor that is held against a priority, in multiples of the cost
/// of the request served. With 0, urgent requests met their target 2 to 5 percentage points less
/// often during a flood of batch requests.
constexpr double max_floor_debt_requests = 4;

/// Fraction of the first token target after which a waiting request counts as late. The rest of the
/// target is needed for the network and the prefill.
constexpr double late_after_fraction = 0.8;

struct item_position {
    unsigned priority = 0;
    organisation_queue* organisation = nullptr;
    std::list<waiting_item>::iterator item;
};

bool has_deadline(const work_item& item)
{
    return item.deadline != time_point{};
}

} // namespace

class work_queue::implementation {
public:
    explicit implementation(work_queue_options options) : options_(std::move(options))
    {
        this->set_priorities(this->options_.priorities);
    }

    std::vector<work_item> push(work_item item, time_point now)
    {
        this->collect_expired(now);
        this->collect_late(now);
        auto& cls = this->find_or_add_class(item.priority);
        auto& queue = find_or_add(cls, item.organisation);
        remove_from_indexes(cls, queue);
        queue.share = item.share;
        if (queue.empty()) {
            queue.start_tag = earliest_start(cls, queue);
        }
        queue.queued_cost += item.cost;
        queue.on_time_cost += item.cost;
        if (has_deadline(item)) {
            this->deadlines_.emplace(item.deadline, item.id);
        }
        const auto id = item.id;
        const auto priority = item.priority;
        queue.on_time.push_back({std::move(item), now});
        this->positions_[id] = {priority, &queue, std::prev(queue.on_time.end())};
        if (cls.rule.first_token_target > duration::zero()) {
            cls.arrivals.emplace_back(now, id);
        }
        ++cls.size;
        add_to_indexes(cls, queue);
        std::vector<work_item> refused;
        while (this->positions_.size() > this->options_.max_items) {
            refused.push_back(this->evict());
        }
        return refused;
    }

    std::optional<work_item> pop(time_point now, slot_availability slots)
    {
        this->collect_expired(now);
        this->collect_late(now);
        auto* cls = this->select_class(slots);
        if (cls == nullptr) {
            return std::nullopt;
        }
        const auto& next = select_next(*cls, now);
        this->account_floors(*cls, next.cost);
        auto item = this->extract(next.id);
        auto& queue = find_or_add(*cls, item.organisation);
        cls->virtual_time = std::max(cls->virtual_time, queue.start_tag);
        remove_from_indexes(*cls, queue);
        queue.start_tag += item.cost / item.share;
        add_to_indexes(*cls, queue);
        remove_settled_organisations(*cls);
        return item;
    }

    std::vector<work_item> expire(time_point now)
    {
        this->collect_expired(now);
        return std::exchange(this->expired_, {});
    }

    bool remove(std::uint64_t id)
    {
        if (!this->positions_.contains(id)) {
            return false;
        }
        this->extract(id);
        return true;
    }

    void charge(unsigned priority, const std::string& organisation, double cost, double share)
    {
        auto& cls = this->find_or_add_class(priority);
        auto& queue = find_or_add(cls, organisation);
        remove_from_indexes(cls, queue);
        if (share > 0) {
            queue.share = share;
        }
        const auto base = earliest_start(cls, queue);
        const auto bound = cls.virtual_time + this->options_.max_debt / queue.share;
        queue.start_tag = std::max(base, std::min(base + cost / queue.share, bound));
        add_to_indexes(cls, queue);
    }

    void set_priorities(std::vector<priority_rule> priorities)
    {
        double sum = 0;
        for (const auto& it : priorities) {
            sum += it.floor;
        }
        for (auto& [order, cls] : this->classes_) {
            cls.rule = priority_rule{.order = order};
        }
        for (auto& it : priorities) {
            it.floor /= std::max(sum, 1.0);
            this->find_or_add_class(it.order).rule = it;
        }
        this->options_.priorities = std::move(priorities);
    }

    double cost_ahead(unsigned priority, const std::string& organisation, double share) const
    {
        const auto found = this->classes_.find(priority);
        if (found == this->classes_.end() || found->second.size == 0) {
            return 0;
        }
        const auto& cls = found->second;
        double own = 0;
        double start = cls.virtual_time;
        auto shares = cls.on_time_share_sum;
        const auto it = cls.organisations.find(organisation);
        if (it != cls.organisations.end()) {
            own = it->second.on_time_cost;
            start = earliest_start(cls, it->second);
            shares -= it->second.on_time.empty() ? 0 : it->second.share;
        }
        // Until then the other organisations are served by their shares, up to their backlog.
        const auto virtual_wait = std::max(0.0, start - cls.virtual_time) + own / share;
        return own + std::min(virtual_wait * shares, cls.on_time_cost - own);
    }

    double more_urgent_cost(unsigned priority) const
    {
        double sum = 0;
        for (const auto& [order, cls] : this->classes_) {
            sum += order < priority ? cls.queued_cost : 0;
        }
        return sum;
    }

    std::size_t size() const { return this->positions_.size(); }

private:
    priority_class& find_or_add_class(unsigned priority)
    {
        auto& cls = this->classes_[priority];
        cls.burst = this->options_.burst;
        return cls;
    }

    /// Removes a request without charging its organisation or its priority for it.
    work_item extract(std::uint64_t id)
    {
        const auto it = this->positions_.find(id);
        const auto position = it->second;
        this->positions_.erase(it);
        auto& cls = this->classes_[position.priority];
        auto& queue = *position.organisation;
        remove_from_indexes(cls, queue);
        work_item item = std::move(position.item->item);
        queue.queued_cost -= item.cost;
        queue.on_time_cost -= position.item->late ? 0 : item.cost;
        (position.item->late ? queue.late : queue.on_time).erase(position.item);
        --cls.size;
        add_to_indexes(cls, queue);
        if (has_deadline(item)) {
            this->deadlines_.erase({item.deadline, item.id});
        }
        if (cls.size == 0) {
            cls.floor_credit = std::min(cls.floor_credit, 0.0);
            cls.queued_cost = 0;
            cls.on_time_cost = 0;
            cls.on_time_share_sum = 0;
            cls.arrivals.clear();
        }
        return item;
    }

    /// Evicts one request. A priority keeps the fraction of the queue given by its floor, because a
    /// floor has no effect without waiting requests.
    work_item evict()
    {
        for (auto it = this->classes_.rbegin(); it != this->classes_.rend(); ++it) {
            auto& cls = it->second;
            const auto guaranteed_items =
                cls.rule.floor * static_cast<double>(this->options_.max_items);
            if (cls.size > 0 && static_cast<double>(cls.size) > guaranteed_items) {
                const auto* victim = cls.by_backlog.rbegin()->queue;
                const auto& items = victim->late;
                return this->extract(
                    (items.empty() ? victim->on_time.back() : items.front()).item.id);
            }
        }
        return this->extract(this->positions_.begin()->first);
    }

    priority_class* select_class(slot_availability slots)
    {
        priority_class* below_floor = nullptr;
        priority_class* most_urgent = nullptr;
        for (auto& [order, cls] : this->classes_) {
            if (cls.size == 0) {
                continue;
            }
            if (most_urgent == nullptr) {
                most_urgent = &cls;
            }
            if (cls.floor_credit > 0 &&
                (below_floor == nullptr || cls.floor_credit > below_floor->floor_credit)) {
                below_floor = &cls;
            }
        }
        if (below_floor == nullptr && slots == slot_availability::reserve_only &&
            most_urgent != &this->classes_.begin()->second) {
            return nullptr;
        }
        return below_floor != nullptr ? below_floor : most_urgent;
    }

    /// Credits every waiting priority with its floor of the served cost and debits the served one.
    /// The debt is limited to a few requests, so that the floor holds soon after the start of a
    /// flood. With no debt at all, a priority that gets far more than its floor would still be
    /// served before urgent requests now and then.
    void account_floors(priority_class& served, double cost)
    {
        for (auto& [order, cls] : this->classes_) {
            if (cls.size > 0) {
                cls.floor_credit += cls.rule.floor * cost;
            }
        }
        const auto min_credit = std::min(served.floor_credit, -max_floor_debt_requests * cost);
        served.floor_credit = std::max(served.floor_credit - cost, min_credit);
    }

    void collect_expired(time_point now)
    {
        while (!this->deadlines_.empty() && this->deadlines_.begin()->first <= now) {
            this->expired_.push_back(this->extract(this->deadlines_.begin()->second));
        }
    }

    void collect_late(time_point now)
    {
        for (auto& [order, cls] : this->classes_) {
            const auto target =
                std::chrono::duration<double, std::nano>(cls.rule.first_token_target);
            const auto late_after =
                std::chrono::duration_cast<duration>(target * late_after_fraction);
            auto& arrivals = cls.arrivals;
            while (late_after > duration::zero() && !arrivals.empty() &&
                   now - arrivals.front().first > late_after) {
                const auto found = this->positions_.find(arrivals.front().second);
                arrivals.pop_front();
                if (found != this->positions_.end()) {
                    mark_late(cls, found->second);
                }
            }
        }
    }

    static void mark_late(priority_class& cls, const item_position& position)
    {
        auto& queue = *position.organisation;
        remove_from_indexes(cls, queue);
        position.item->late = true;
        queue.on_time_cost -= position.item->item.cost;
        queue.late.splice(queue.late.end(), queue.on_time, position.item);
        add_to_indexes(cls, queue);
    }

    work_queue_options options_;
    std::map<unsigned, priority_class> classes_;
    std::unordered_map<std::uint64_t, item_position> positions_;
    std::set<std::pair<time_point, std::uint64_t>> deadlines_;
    std::vector<work_item> expired_;
};

work_queue::work_queue(work_queue_options options)
    : impl_(std::make_unique<implementation>(std::move(options)))
{
}

work_queue::work_queue(work_queue&&) noexcept = default;
work_queue& work_queue::operator=(work_queue&&) noexcept = default;
work_queue::~work_queue() = default;

std::vector<work_item> work_queue::push(work_item item, time_point now)
{
    return this->impl_->push(std::move(item), now);
}

std::optional<work_item> work_queue::pop(time_point now, slot_availability slots)
{
    return this->impl_->pop(now, slots);
}

std::vector<work_item> work_queue::expire(time_point now)
{
    return this->impl_->expire(now);
}

bool work_queue::remove(std::uint64_t id)
{
    return this->impl_->remove(id);
}

void work_queue::charge(unsigned priority, const std::string& organisation, double cost,
                        double share)
{
    this->impl_->charge(priority, organisation, cost, share);
}

void work_queue::set_priorities(std::vector<priority_rule> priorities)
{
    this->impl_->set_priorities(std::move(priorities));
}

double work_queue::cost_ahead(unsigned priority, const std::string& organisation,
                              double share) const
{
    return this->impl_->cost_ahead(priority, organisation, share);
}

double work_queue::more_urgent_cost(unsigned priority) const
{
    return this->impl_->more_urgent_cost(priority);
}

std::size_t work_queue::size() const
{
    return this->impl_->size();
}

} // namespace medlaryoke::policy
