// Measures how a flood of requests far above capacity affects other priorities and small callers.
// The model is one queue in front of a pool of slots, each of which generates tokens at a fixed
// rate.

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "Measurements/simulated_event_loop.h"
#include "policy/admission_control.h"
#include "policy/work_queue.h"

using namespace medlaryoke;
using namespace medlaryoke::measurements;

namespace {

constexpr unsigned slots = 256;
constexpr unsigned reserved_slots = 5;   ///< reserved for the most urgent priority
constexpr double tokens_per_second = 40; ///< of one slot
constexpr double capacity = slots * tokens_per_second;
constexpr double first_token_seconds = 0.05;
constexpr std::size_t small_callers = 8;
constexpr std::size_t large_callers = 2;

struct priority_profile {
    std::string name;
    policy::priority_rule rule;
    double mean_cost;        ///< tokens
    double timeout;          ///< seconds after which an answer has no value
    double offered_fraction; ///< load without a flood, as a fraction of capacity
};

/// The priorities and caller weights of a deployment that is simulated.
struct deployment_profile {
    std::string name;
    std::vector<priority_profile> priorities;
    double large_share; ///< weight of a large caller; a small one has 1
};

struct run_options {
    std::string policy;
    int flooded = -1; ///< bit mask of the orders of flooded priorities; 0: none
    bool only_small_callers = false;
    double flood_load = 5; ///< load of the flood, as a multiple of capacity
    double duration = 240; ///< simulated seconds
    std::uint64_t seed = 1;
};

struct outcome_counts {
    double arrived = 0;
    double in_target = 0;
    double served_cost = 0;
    double offered_cost = 0;
};

struct run_result {
    std::map<unsigned, outcome_counts> by_priority;
    std::map<std::pair<unsigned, std::string>, outcome_counts> by_caller;
    double goodput = 0; ///< worth of the answers in target, per second
};

deployment_profile perlefjord()
{
    return {"perlefjord",
            {{"urgent", {0, 0.3, 100, seconds(0.4)}, 150, 20, 0.20},
             {"normal", {1, 0.1, 10, seconds(2)}, 300, 60, 0.25},
             {"batch", {2, 0.05, 1, seconds(30)}, 600, 300, 0.15}},
            4};
}

deployment_profile taa_pamoja()
{
    return {"taa_pamoja",
            {{"urgent", {0, 0.2, 20, seconds(0.4)}, 150, 20, 0.20},
             {"normal", {1, 0.3, 8, seconds(2)}, 300, 60, 0.25},
             {"batch", {2, 0.15, 1, seconds(30)}, 600, 300, 0.15}},
            1};
}

/// Interface of the queueing policies that are compared.
class request_queue {
public:
    request_queue() = default;
    request_queue(const request_queue&) = delete;
    request_queue& operator=(const request_queue&) = delete;
    request_queue(request_queue&&) = delete;
    request_queue& operator=(request_queue&&) = delete;
    virtual ~request_queue() = default;
    virtual void push(const policy::work_item& item, time_point now) = 0;
    virtual std::optional<policy::work_item> pop(unsigned free_slots, time_point now) = 0;
};

/// Baselines: one FIFO queue, or one for each priority in strict order. Both have the same maximum
/// length as the product's queue; beyond it, the last item of the least urgent queue is dropped.
class baseline_queue final : public request_queue {
public:
    explicit baseline_queue(bool by_priority) : by_priority_(by_priority) {}

    void push(const policy::work_item& item, time_point /*now*/) override
    {
        auto& queue = this->queues_[this->by_priority_ ? item.priority : 0];
        queue.push_back(item);
        if (++this->size_ > max_items) {
            this->queues_.rbegin()->second.pop_back();
            --this->size_;
            std::erase_if(this->queues_, [](const auto& it) { return it.second.empty(); });
        }
    }

    std::optional<policy::work_item> pop(unsigned /*free_slots*/, time_point now) override
    {
        for (auto& [order, queue] : this->queues_) {
            while (!queue.empty()) {
                const auto item = queue.front();
                queue.pop_front();
                --this->size_;
                if (item.deadline > now) {
                    return item;
                }
            }
        }
        return std::nullopt;
    }

private:
    static constexpr std::size_t max_items = 10'000;

    bool by_priority_;
    std::size_t size_ = 0;
    std::map<unsigned, std::deque<policy::work_item>> queues_;
};

/// The product's work queue with its admission control.
class product_queue final : public request_queue {
public:
    explicit product_queue(const std::vector<policy::priority_rule>& rules)
        : queue_({.priorities = rules}), admission_({.priorities = rules})
    {
    }

    void push(const policy::work_item& item, time_point now) override
    {
        const policy::work_ahead ahead{
            this->queue_.cost_ahead(item.priority, item.organisation, item.share),
            this->queue_.more_urgent_cost(item.priority)};
        if (this->admission_.decide(item, ahead, now).admitted) {
            this->queue_.push(item, now);
        }
    }

    std::optional<policy::work_item> pop(unsigned free_slots, time_point now) override
    {
        this->queue_.expire(now);
        auto item = this->queue_.pop(now, free_slots <= reserved_slots
                                              ? policy::slot_availability::reserve_only
                                              : policy::slot_availability::ample);
        if (item) {
            this->admission_.on_served(item->priority, item->cost, this->queue_.size() > 0, now);
        }
        return item;
    }

private:
    policy::work_queue queue_;
    policy::admission_control admission_;
};

class flood_run {
public:
    flood_run(const deployment_profile& profile, run_options options)
        : profile_(profile), options_(std::move(options)), random_(options_.seed)
    {
        std::vector<policy::priority_rule> rules;
        rules.reserve(profile.priorities.size());
        for (const auto& it : profile.priorities) {
            rules.push_back(it.rule);
        }
        if (this->options_.policy == "product") {
            this->queue_ = std::make_unique<product_queue>(rules);
        }
        else {
            this->queue_ = std::make_unique<baseline_queue>(this->options_.policy == "strict");
        }
    }

    run_result run()
    {
        for (const auto& it : this->profile_.priorities) {
            const auto callers = small_callers + large_callers;
            for (std::size_t i = 0; i < callers; ++i) {
                const bool large = i < large_callers;
                if (large && this->options_.only_small_callers) {
                    continue;
                }
                // Without a flood, the load of a large caller is four times that of a small one.
                auto fraction = it.offered_fraction * (large ? 4.0 : 1.0) /
                                (4.0 * large_callers + small_callers);
                if (large && (this->options_.flooded >> it.rule.order & 1) != 0) {
                    fraction += this->options_.flood_load / large_callers;
                }
                const auto name = fmt::format("{}{}", large ? "large" : "small", i);
                this->schedule_arrival(it, name, large, fraction * capacity / it.mean_cost);
            }
        }
        const auto start = this->loop_.now();
        this->measured_from_ = start + seconds(this->options_.duration / 4);
        this->measured_to_ = start + seconds(this->options_.duration * 0.75);
        this->loop_.run_until(start + seconds(this->options_.duration));
        this->result_.goodput /= this->options_.duration / 2;
        return this->result_;
    }

private:
    void schedule_arrival(const priority_profile& priority, const std::string& caller, bool large,
                          double rate)
    {
        std::exponential_distribution<double> gap(rate);
        this->loop_.after(seconds(gap(this->random_)), [this, &priority, caller, large, rate] {
            std::exponential_distribution<double> cost(1 / (0.75 * priority.mean_cost));
            const auto now = this->loop_.now();
            const policy::work_item item{.id = ++this->next_id_,
                                         .priority = priority.rule.order,
                                         .organisation = caller,
                                         .share = large ? this->profile_.large_share : 1,
                                         .cost = 0.25 * priority.mean_cost + cost(this->random_),
                                         .deadline = now + seconds(priority.timeout)};
            this->arrivals_[item.id] = now;
            this->count(item, [&](auto& it) {
                ++it.arrived;
                it.offered_cost += item.cost;
            });
            this->queue_->push(item, now);
            this->dispatch();
            this->schedule_arrival(priority, caller, large, rate);
        });
    }

    void dispatch()
    {
        while (this->busy_ < slots) {
            const auto item = this->queue_->pop(slots - this->busy_, this->loop_.now());
            if (!item) {
                return;
            }
            ++this->busy_;
            const auto& priority = this->profile_.priorities[item->priority];
            const auto now = this->loop_.now();
            const auto first_token = now - this->arrivals_[item->id] + seconds(first_token_seconds);
            const auto end = now + seconds(item->cost / tokens_per_second);
            const bool in_target =
                first_token <= priority.rule.first_token_target && end <= item->deadline;
            this->count(*item, [&](auto& it) { it.in_target += in_target ? 1 : 0; });
            if (in_target && this->is_measured(this->arrivals_[item->id])) {
                this->result_.goodput += priority.rule.worth;
            }
            if (this->is_measured(now)) {
                this->result_.by_priority[item->priority].served_cost += item->cost;
            }
            this->loop_.after(std::min(end, item->deadline) - now, [this] {
                --this->busy_;
                this->dispatch();
            });
        }
    }

    [[nodiscard]] bool is_measured(time_point at) const
    {
        return at >= this->measured_from_ && at < this->measured_to_;
    }

    template <typename Function>
    void count(const policy::work_item& item, Function fn)
    {
        if (this->is_measured(this->arrivals_[item.id])) {
            fn(this->result_.by_priority[item.priority]);
            fn(this->result_.by_caller[{item.priority, item.organisation}]);
        }
    }

    const deployment_profile& profile_;
    run_options options_;
    std::mt19937_64 random_;
    simulated_event_loop loop_;
    time_point measured_from_{};
    time_point measured_to_{};
    std::unique_ptr<request_queue> queue_;
    std::map<std::uint64_t, time_point> arrivals_;
    std::uint64_t next_id_ = 0;
    unsigned busy_ = 0;
    run_result result_;
};

/// @return the lowest fraction of requests answered in target among the small callers of a
/// priority, relative to the fraction of the same caller in the run without large callers
double worst_small_caller_ratio(const run_result& flooded, const run_result& baseline,
                                unsigned priority)
{
    double worst = 1e9;
    for (const auto& [key, counts] : baseline.by_caller) {
        if (key.first == priority) {
            const auto it = flooded.by_caller.find(key);
            worst = std::min(worst, it == flooded.by_caller.end()
                                        ? 0
                                        : (it->second.in_target / it->second.arrived) /
                                              (counts.in_target / counts.arrived));
        }
    }
    return worst;
}

void print_run(const deployment_profile& profile, const run_options& options,
               const run_result& result, const run_result& baseline)
{
    std::string row =
        fmt::format("| {} | {} | {} | {:.0f} |", profile.name,
                    std::array{"none", "urgent", "normal", "?", "batch", "urgent+batch"}.at(
                        static_cast<std::size_t>(options.flooded)),
                    options.policy, result.goodput);
    for (const auto& it : profile.priorities) {
        const auto& counts = result.by_priority.at(it.rule.order);
        row += fmt::format(" {:.1f} |", 100 * counts.in_target / counts.arrived);
    }
    for (const auto& it : profile.priorities) {
        const auto& counts = result.by_priority.at(it.rule.order);
        const auto guaranteed =
            std::min(it.rule.floor * capacity * options.duration / 2, counts.offered_cost);
        row += fmt::format(" {:.0f} |", std::min(100.0, 100 * counts.served_cost / guaranteed));
    }
    for (const auto& it : profile.priorities) {
        row += fmt::format(" {:.1f} |",
                           100 * worst_small_caller_ratio(result, baseline, it.rule.order));
    }
    fmt::print("{}\n", row);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Goodput, attainment, floors and small callers in floods");
    run_options options;
    bool smoke = false;
    app.add_option("--seed", options.seed, "seed of arrivals and costs");
    app.add_option("--duration", options.duration,
                   "simulated seconds; only the middle half is counted");
    app.add_option("--flood", options.flood_load, "load of the flood, as a multiple of capacity");
    app.add_flag("--smoke", smoke, "short run");
    CLI11_PARSE(app, argc, argv);
    if (smoke) {
        options.duration = 8;
    }
    fmt::print("| setting | flood | policy | worth/s | in target % u | n | b | floor kept % u | n "
               "| b | worst small caller % u | n | b |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto& profile : {perlefjord(), taa_pamoja()}) {
        options.policy = "product";
        options.flooded = 0;
        options.only_small_callers = true;
        const auto baseline = flood_run(profile, options).run();
        options.only_small_callers = false;
        for (const int flooded : {0, 4, 1, 5}) {
            for (const auto* name : {"fifo", "strict", "product"}) {
                options.flooded = flooded;
                options.policy = name;
                print_run(profile, options, flood_run(profile, options).run(), baseline);
            }
        }
    }
    return 0;
}
