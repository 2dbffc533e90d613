// Measures what a flood far beyond capacity leaves to other priorities and to small callers.
// One queue in front of a pool of slots; each slot generates tokens at a fixed rate.

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

#include "Measurements/virtual_time.h"
#include "policy/admission_control.h"
#include "policy/work_queue.h"

using namespace medlaryoke;
using namespace medlaryoke::measurements;

namespace {

constexpr unsigned slots = 256;
constexpr unsigned reserved_slots = 5;   ///< kept free for the most urgent priority
constexpr double tokens_per_second = 40; ///< of one slot
constexpr double capacity = slots * tokens_per_second;
constexpr double first_token_seconds = 0.05;
constexpr std::size_t small_callers = 8;
constexpr std::size_t large_callers = 2;

struct priority_setting {
    std::string name;
    policy::priority_rule rule;
    double mean_cost;    ///< tokens
    double timeout;      ///< seconds until an answer is worthless
    double offered_part; ///< of capacity, without a flood
};

struct deployment {
    std::string name;
    std::vector<priority_setting> priorities;
    double large_share; ///< weight of a large caller; a small one has 1
};

struct run_options {
    std::string policy;
    int flooded = -1; ///< bits of the flooded priorities; 0: none
    bool only_small = false;
    double flood = 5;      ///< offered by the flood, times capacity
    double duration = 240; ///< seconds
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
    double worth = 0; ///< of answers in time, per second
};

deployment perlefjord()
{
    return {"perlefjord",
            {{"urgent", {0, 0.3, 100, seconds(0.4)}, 150, 20, 0.20},
             {"normal", {1, 0.1, 10, seconds(2)}, 300, 60, 0.25},
             {"batch", {2, 0.05, 1, seconds(30)}, 600, 300, 0.15}},
            4};
}

deployment taa_pamoja()
{
    return {"taa_pamoja",
            {{"urgent", {0, 0.2, 20, seconds(0.4)}, 150, 20, 0.20},
             {"normal", {1, 0.3, 8, seconds(2)}, 300, 60, 0.25},
             {"batch", {2, 0.15, 1, seconds(30)}, 600, 300, 0.15}},
            1};
}

/// What the measured policies have in common.
class waiting_line {
public:
    waiting_line() = default;
    waiting_line(const waiting_line&) = delete;
    waiting_line& operator=(const waiting_line&) = delete;
    waiting_line(waiting_line&&) = delete;
    waiting_line& operator=(waiting_line&&) = delete;
    virtual ~waiting_line() = default;
    virtual void push(const policy::work_item& item, time_point now) = 0;
    virtual std::optional<policy::work_item> pop(unsigned free_slots, time_point now) = 0;
};

/// Baselines: one queue, or one for each priority, of the same length as the product's.
class plain_line final : public waiting_line {
public:
    explicit plain_line(bool by_priority) : by_priority_(by_priority) {}

    void push(const policy::work_item& item, time_point /*now*/) override
    {
        auto& line = this->lines_[this->by_priority_ ? item.priority : 0];
        line.push_back(item);
        if (++this->size_ > max_items) {
            this->lines_.rbegin()->second.pop_back();
            --this->size_;
            std::erase_if(this->lines_, [](const auto& it) { return it.second.empty(); });
        }
    }

    std::optional<policy::work_item> pop(unsigned /*free_slots*/, time_point now) override
    {
        for (auto& [order, line] : this->lines_) {
            while (!line.empty()) {
                const auto item = line.front();
                line.pop_front();
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
    std::map<unsigned, std::deque<policy::work_item>> lines_;
};

class product_line final : public waiting_line {
public:
    explicit product_line(const std::vector<policy::priority_rule>& rules)
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
    flood_run(const deployment& setting, run_options options)
        : setting_(setting), options_(std::move(options)), random_(options_.seed)
    {
        std::vector<policy::priority_rule> rules;
        rules.reserve(setting.priorities.size());
        for (const auto& it : setting.priorities) {
            rules.push_back(it.rule);
        }
        if (this->options_.policy == "product") {
            this->line_ = std::make_unique<product_line>(rules);
        }
        else {
            this->line_ = std::make_unique<plain_line>(this->options_.policy == "strict");
        }
    }

    run_result run()
    {
        for (const auto& it : this->setting_.priorities) {
            const auto callers = small_callers + large_callers;
            for (std::size_t i = 0; i < callers; ++i) {
                const bool large = i < large_callers;
                if (large && this->options_.only_small) {
                    continue;
                }
                // A large caller normally asks for four times as much as a small one.
                auto part =
                    it.offered_part * (large ? 4.0 : 1.0) / (4.0 * large_callers + small_callers);
                if (large && (this->options_.flooded >> it.rule.order & 1) != 0) {
                    part += this->options_.flood / large_callers;
                }
                const auto name = fmt::format("{}{}", large ? "large" : "small", i);
                this->arrive_later(it, name, large, part * capacity / it.mean_cost);
            }
        }
        const auto start = this->time_.now();
        this->measured_from_ = start + seconds(this->options_.duration / 4);
        this->measured_to_ = start + seconds(this->options_.duration * 0.75);
        this->time_.run_until(start + seconds(this->options_.duration));
        this->result_.worth /= this->options_.duration / 2;
        return this->result_;
    }

private:
    void arrive_later(const priority_setting& priority, const std::string& caller, bool large,
                      double rate)
    {
        std::exponential_distribution<double> gap(rate);
        this->time_.after(seconds(gap(this->random_)), [this, &priority, caller, large, rate] {
            std::exponential_distribution<double> cost(1 / (0.75 * priority.mean_cost));
            const auto now = this->time_.now();
            const policy::work_item item{.id = ++this->next_id_,
                                         .priority = priority.rule.order,
                                         .organisation = caller,
                                         .share = large ? this->setting_.large_share : 1,
                                         .cost = 0.25 * priority.mean_cost + cost(this->random_),
                                         .deadline = now + seconds(priority.timeout)};
            this->arrivals_[item.id] = now;
            this->count(item, [&](auto& it) {
                ++it.arrived;
                it.offered_cost += item.cost;
            });
            this->line_->push(item, now);
            this->dispatch();
            this->arrive_later(priority, caller, large, rate);
        });
    }

    void dispatch()
    {
        while (this->busy_ < slots) {
            const auto item = this->line_->pop(slots - this->busy_, this->time_.now());
            if (!item) {
                return;
            }
            ++this->busy_;
            const auto& priority = this->setting_.priorities[item->priority];
            const auto now = this->time_.now();
            const auto first_token = now - this->arrivals_[item->id] + seconds(first_token_seconds);
            const auto end = now + seconds(item->cost / tokens_per_second);
            const bool good =
                first_token <= priority.rule.first_token_target && end <= item->deadline;
            this->count(*item, [&](auto& it) { it.in_target += good ? 1 : 0; });
            if (good && this->is_measured(this->arrivals_[item->id])) {
                this->result_.worth += priority.rule.worth;
            }
            if (this->is_measured(now)) {
                this->result_.by_priority[item->priority].served_cost += item->cost;
            }
            this->time_.after(std::min(end, item->deadline) - now, [this] {
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

    const deployment& setting_;
    run_options options_;
    std::mt19937_64 random_;
    virtual_time time_;
    time_point measured_from_{};
    time_point measured_to_{};
    std::unique_ptr<waiting_line> line_;
    std::map<std::uint64_t, time_point> arrivals_;
    std::uint64_t next_id_ = 0;
    unsigned busy_ = 0;
    run_result result_;
};

/// Answers in time of the worst small caller of a priority, relative to those without large ones.
double worst_small_caller(const run_result& flooded, const run_result& alone, unsigned priority)
{
    double worst = 1e9;
    for (const auto& [key, counts] : alone.by_caller) {
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

void print_run(const deployment& setting, const run_options& options, const run_result& result,
               const run_result& alone)
{
    std::string row =
        fmt::format("| {} | {} | {} | {:.0f} |", setting.name,
                    std::array{"none", "urgent", "normal", "?", "batch", "urgent+batch"}.at(
                        static_cast<std::size_t>(options.flooded)),
                    options.policy, result.worth);
    for (const auto& it : setting.priorities) {
        const auto& counts = result.by_priority.at(it.rule.order);
        row += fmt::format(" {:.1f} |", 100 * counts.in_target / counts.arrived);
    }
    for (const auto& it : setting.priorities) {
        const auto& counts = result.by_priority.at(it.rule.order);
        const auto guaranteed =
            std::min(it.rule.floor * capacity * options.duration / 2, counts.offered_cost);
        row += fmt::format(" {:.0f} |", std::min(100.0, 100 * counts.served_cost / guaranteed));
    }
    for (const auto& it : setting.priorities) {
        row += fmt::format(" {:.1f} |", 100 * worst_small_caller(result, alone, it.rule.order));
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
    app.add_option("--duration", options.duration, "virtual seconds; the middle half is counted");
    app.add_option("--flood", options.flood, "load of the flood, times capacity");
    app.add_flag("--smoke", smoke, "short run");
    CLI11_PARSE(app, argc, argv);
    if (smoke) {
        options.duration = 8;
    }
    fmt::print("| setting | flood | policy | worth/s | in target % u | n | b | floor kept % u | n "
               "| b | worst small caller % u | n | b |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto& setting : {perlefjord(), taa_pamoja()}) {
        options.policy = "product";
        options.flooded = 0;
        options.only_small = true;
        const auto alone = flood_run(setting, options).run();
        options.only_small = false;
        for (const int flooded : {0, 4, 1, 5}) {
            for (const auto* name : {"fifo", "strict", "product"}) {
                options.flooded = flooded;
                options.policy = name;
                print_run(setting, options, flood_run(setting, options).run(), alone);
            }
        }
    }
    return 0;
}
