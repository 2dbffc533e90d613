#include "policy/work_queue.h"

#include <algorithm>
#include <iterator>
#include <list>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace medlaryoke::policy {

namespace {

struct organisation_queue {
    std::string name;
    std::list<work_item> items;
    double start_tag = 0; ///< virtual time at which the next item may start
    double queued_cost = 0;
    double share = 1; ///< of the newest item
};

struct organisation_order {
    double key = 0;
    const organisation_queue* queue = nullptr;

    bool operator<(const organisation_order& other) const
    {
        return std::tie(this->key, this->queue->name) < std::tie(other.key, other.queue->name);
    }
};

/// Requests of one priority, shared between organisations by start-time fair queueing.
struct priority_class {
    priority_rule rule;
    std::map<std::string, organisation_queue> organisations;
    std::set<organisation_order> by_start;   ///< with waiting requests, by start tag
    std::set<organisation_order> by_backlog; ///< with waiting requests, by queued cost over share
    std::set<organisation_order> idle;       ///< without waiting requests, by start tag
    double virtual_time = 0;
    double queued_cost = 0;
    double waiting_shares = 0; ///< of the organisations with waiting requests
    double floor_credit = 0;   ///< cost owed to the floor; negative after an item that exceeded it
    std::size_t size = 0;
};

struct item_position {
    unsigned priority = 0;
    organisation_queue* organisation = nullptr;
    std::list<work_item>::iterator item;
};

double backlog_of(const organisation_queue& queue)
{
    return queue.queued_cost / queue.share;
}

void unlink(priority_class& group, organisation_queue& queue)
{
    if (queue.items.empty()) {
        group.idle.erase({queue.start_tag, &queue});
        return;
    }
    group.by_start.erase({queue.start_tag, &queue});
    group.by_backlog.erase({backlog_of(queue), &queue});
    group.waiting_shares -= queue.share;
    group.queued_cost -= queue.queued_cost;
}

void link(priority_class& group, organisation_queue& queue)
{
    if (queue.items.empty()) {
        queue.queued_cost = 0;
        group.idle.insert({queue.start_tag, &queue});
        return;
    }
    group.by_start.insert({queue.start_tag, &queue});
    group.by_backlog.insert({backlog_of(queue), &queue});
    group.waiting_shares += queue.share;
    group.queued_cost += queue.queued_cost;
}

organisation_queue& find_or_add(priority_class& group, const std::string& name)
{
    const auto [it, added] = group.organisations.try_emplace(name);
    auto& queue = it->second;
    if (added) {
        queue.name = name;
        queue.start_tag = group.virtual_time;
        link(group, queue);
    }
    return queue;
}

/// Forgets idle organisations that owe nothing; they would restart at the virtual time anyway.
void forget_idle(priority_class& group)
{
    while (!group.idle.empty() && group.idle.begin()->key <= group.virtual_time) {
        const auto it = group.organisations.find(group.idle.begin()->queue->name);
        group.idle.erase(group.idle.begin());
        group.organisations.erase(it);
    }
}

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
        auto& group = this->classes_[item.priority];
        auto& queue = find_or_add(group, item.organisation);
        unlink(group, queue);
        if (queue.items.empty()) {
            queue.start_tag = std::max(queue.start_tag, group.virtual_time);
        }
        queue.share = item.share;
        queue.queued_cost += item.cost;
        queue.items.push_back(std::move(item));
        const auto it = std::prev(queue.items.end());
        this->positions_[it->id] = {it->priority, &queue, it};
        if (has_deadline(*it)) {
            this->deadlines_.emplace(it->deadline, it->id);
        }
        ++group.size;
        link(group, queue);
        std::vector<work_item> refused;
        while (this->positions_.size() > this->options_.max_items) {
            refused.push_back(this->evict());
        }
        return refused;
    }

    std::optional<work_item> pop(time_point now)
    {
        this->collect_expired(now);
        auto* group = this->choose_class();
        if (group == nullptr) {
            return std::nullopt;
        }
        const auto& next = group->by_start.begin()->queue->items.front();
        this->account_floors(*group, next.cost);
        auto item = this->take(next.id);
        auto& queue = find_or_add(*group, item.organisation);
        group->virtual_time = std::max(group->virtual_time, queue.start_tag);
        unlink(*group, queue);
        queue.start_tag += item.cost / item.share;
        link(*group, queue);
        forget_idle(*group);
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
        this->take(id);
        return true;
    }

    void charge(unsigned priority, const std::string& organisation, double cost, double share)
    {
        auto& group = this->classes_[priority];
        auto& queue = find_or_add(group, organisation);
        unlink(group, queue);
        if (share > 0) {
            queue.share = share;
        }
        const auto base = std::max(queue.start_tag, group.virtual_time);
        const auto bound = group.virtual_time + this->options_.max_debt / queue.share;
        queue.start_tag = std::max(base, std::min(base + cost / queue.share, bound));
        link(group, queue);
    }

    void set_priorities(std::vector<priority_rule> priorities)
    {
        double sum = 0;
        for (const auto& it : priorities) {
            sum += it.floor;
        }
        for (auto& [order, group] : this->classes_) {
            group.rule = priority_rule{.order = order};
        }
        for (auto& it : priorities) {
            it.floor /= std::max(sum, 1.0);
            this->classes_[it.order].rule = it;
        }
        this->options_.priorities = std::move(priorities);
    }

    double cost_ahead(unsigned priority, const std::string& organisation, double share) const
    {
        const auto found = this->classes_.find(priority);
        if (found == this->classes_.end() || found->second.size == 0) {
            return 0;
        }
        const auto& group = found->second;
        double own = 0;
        double start = group.virtual_time;
        auto shares = group.waiting_shares;
        const auto it = group.organisations.find(organisation);
        if (it != group.organisations.end()) {
            own = it->second.queued_cost;
            start = std::max(start, it->second.start_tag);
            shares -= it->second.items.empty() ? 0 : it->second.share;
        }
        // Until its turn comes the others are served at their shares, if they have that much.
        const auto lead = start - group.virtual_time + own / share;
        return own + std::min(lead * shares, group.queued_cost - own);
    }

    double more_urgent_cost(unsigned priority) const
    {
        double sum = 0;
        for (const auto& [order, group] : this->classes_) {
            sum += order < priority ? group.queued_cost : 0;
        }
        return sum;
    }

    std::size_t size() const { return this->positions_.size(); }

private:
    /// Removes one item; shares and floors are not charged.
    work_item take(std::uint64_t id)
    {
        const auto it = this->positions_.find(id);
        const auto position = it->second;
        this->positions_.erase(it);
        auto& group = this->classes_[position.priority];
        auto& queue = *position.organisation;
        unlink(group, queue);
        work_item item = std::move(*position.item);
        queue.items.erase(position.item);
        queue.queued_cost -= item.cost;
        --group.size;
        link(group, queue);
        if (has_deadline(item)) {
            this->deadlines_.erase({item.deadline, item.id});
        }
        if (group.size == 0) {
            group.floor_credit = std::min(group.floor_credit, 0.0);
            group.queued_cost = 0;
            group.waiting_shares = 0;
        }
        return item;
    }

    /// A floor is also a floor of places in the queue: without waiting requests it would be void.
    work_item evict()
    {
        for (auto it = this->classes_.rbegin(); it != this->classes_.rend(); ++it) {
            auto& group = it->second;
            const auto kept = group.rule.floor * static_cast<double>(this->options_.max_items);
            if (group.size > 0 && static_cast<double>(group.size) > kept) {
                const auto* victim = group.by_backlog.rbegin()->queue;
                return this->take(victim->items.back().id);
            }
        }
        return this->take(this->positions_.begin()->first);
    }

    priority_class* choose_class()
    {
        priority_class* owed = nullptr;
        priority_class* urgent = nullptr;
        for (auto& [order, group] : this->classes_) {
            if (group.size == 0) {
                continue;
            }
            if (urgent == nullptr) {
                urgent = &group;
            }
            if (group.floor_credit > 0 &&
                (owed == nullptr || group.floor_credit > owed->floor_credit)) {
                owed = &group;
            }
        }
        return owed != nullptr ? owed : urgent;
    }

    /// Every priority with waiting work earns its floor of the cost served; the served one pays.
    /// Service beyond the floor leaves no debt, so the floor holds from the start of a flood.
    void account_floors(priority_class& served, double cost)
    {
        for (auto& [order, group] : this->classes_) {
            if (&group == &served) {
                if (group.floor_credit > 0) {
                    group.floor_credit += group.rule.floor * cost - cost;
                }
            }
            else if (group.size > 0) {
                group.floor_credit += group.rule.floor * cost;
            }
        }
    }

    void collect_expired(time_point now)
    {
        while (!this->deadlines_.empty() && this->deadlines_.begin()->first <= now) {
            this->expired_.push_back(this->take(this->deadlines_.begin()->second));
        }
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

std::optional<work_item> work_queue::pop(time_point now)
{
    return this->impl_->pop(now);
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

std::size_t work_queue::size() const
{
    return this->impl_->size();
}

} // namespace medlaryoke::policy
