// Measures overload control. Entries queue and route, agents admit, engines run up to a number of
// requests at once that agents do not know and make the rest wait inside.

#include <algorithm>
#include <array>
#include <cmath>
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
#include "policy/concurrency_limit.h"
#include "policy/outlier_detector.h"
#include "policy/retry_budget.h"
#include "policy/upstream_selector.h"
#include "policy/work_queue.h"

using namespace medlaryoke;
using namespace medlaryoke::measurements;

namespace {

constexpr std::size_t engine_count = 12;
constexpr std::size_t entry_count = 4;
constexpr std::array<unsigned, 3> engine_slots = {8, 16, 24}; ///< of every third engine each
constexpr double capacity_slots = 16 * engine_count;
constexpr unsigned static_limit = 16;
constexpr double tokens_per_second = 40; ///< of one slot
constexpr double prefill_seconds = 0.05;
constexpr double one_way_seconds = 0.001;
constexpr double report_interval = 0.5;
constexpr std::size_t long_queue = 10'000;

struct priority_setting {
    policy::priority_rule rule;
    double mean_cost = 0; ///< tokens
    double timeout = 0;   ///< seconds
    double part = 0;      ///< of the offered cost
};

const std::array<priority_setting, 3> priorities = {{
    {{0, 0.3, 100, seconds(0.4)}, 100, 20, 0.3},
    {{1, 0.2, 10, seconds(2)}, 200, 60, 0.4},
    {{2, 0.1, 1, seconds(30)}, 400, 300, 0.3},
}};

enum class placement {
    entry_only,
    agent_only,
    short_at_agent,
    collisions, ///< short at the agent, but entries dispatch only into free slots they know of
};
enum class fault { none, errors, machine_lost };

struct run_options {
    placement queue = placement::collisions;
    bool adaptive = true;
    fault kind = fault::none;
    double load = 1;       ///< offered cost, times capacity
    double duration = 240; ///< seconds
    std::size_t short_queue = 2;
    double reserve = 0.125; ///< part of the slots of each upstream kept for urgent work
    std::uint64_t seed = 1;
};

struct call {
    policy::work_item item;
    time_point arrived{};
    std::size_t entry = 0;
    bool finished = false;
};
using call_ptr = std::shared_ptr<call>;

struct agent_state {
    policy::concurrency_limit limit;
    policy::work_queue queue;
    std::deque<std::pair<call_ptr, time_point>> inside; ///< waiting in the engine, since when
    unsigned slots = 0;
    unsigned running = 0;
    std::map<std::uint64_t, call_ptr> queued{};
    bool failing = false;
    bool lost = false;
};

struct entry_state {
    policy::work_queue queue;
    policy::admission_control admission;
    policy::upstream_selector selector;
    policy::outlier_detector outliers;
    policy::retry_budget retries;
    std::map<std::uint64_t, call_ptr> waiting{};
    std::vector<policy::upstream_candidate> views{};
    std::vector<std::vector<time_point>> dispatches{};
};

struct run_result {
    std::vector<double> good; ///< cost of answers in target relative to capacity, by second
    double requests = 0;
    double refusals = 0;
    double retries = 0;
    std::array<double, 3> arrived{};
    std::array<double, 3> in_target{};
};

std::vector<policy::priority_rule> rules()
{
    std::vector<policy::priority_rule> all;
    all.reserve(priorities.size());
    for (const auto& it : priorities) {
        all.push_back(it.rule);
    }
    return all;
}

class overload_run {
public:
    explicit overload_run(run_options options)
        : options_(options), workload_(options.seed), start_(time_.now())
    {
        std::vector<std::uint64_t> ids;
        for (std::size_t i = 0; i < engine_count; ++i) {
            ids.push_back(i);
            const auto limit = options.adaptive
                                   ? policy::concurrency_limit_options{.initial = static_limit}
                                   : policy::concurrency_limit_options{.initial = static_limit,
                                                                       .minimum = static_limit,
                                                                       .maximum = static_limit};
            this->agents_.push_back({.limit = policy::concurrency_limit(limit),
                                     .queue = policy::work_queue({.priorities = rules()}),
                                     .inside = {},
                                     .slots = engine_slots[i % engine_slots.size()]});
        }
        for (std::size_t i = 0; i < entry_count; ++i) {
            this->entries_.push_back(
                {.queue = policy::work_queue({.priorities = rules(), .max_items = long_queue}),
                 .admission = policy::admission_control({.priorities = rules()}),
                 .selector = policy::upstream_selector(options.seed * 10 + i,
                                                       {.reserved_fraction = options.reserve}),
                 .outliers = policy::outlier_detector(),
                 .retries = policy::retry_budget()});
            auto& entry = this->entries_.back();
            entry.outliers.set_members(ids);
            entry.dispatches.resize(engine_count);
            for (std::size_t n = 0; n < engine_count; ++n) {
                entry.views.push_back({.id = n, .limit = static_limit});
            }
        }
        this->result_.good.resize(static_cast<std::size_t>(options.duration) + 1);
    }

    run_result run()
    {
        for (std::size_t p = 0; p < priorities.size(); ++p) {
            this->arrive_later(p);
        }
        for (std::size_t i = 0; i < engine_count; ++i) {
            this->report_later(i, report_interval * static_cast<double>(i + 1) / engine_count);
        }
        if (this->options_.kind != fault::none) {
            this->time_.after(seconds(this->options_.duration / 2), [this] { this->break_down(); });
        }
        this->time_.run_until(this->start_ + seconds(this->options_.duration));
        return this->result_;
    }

private:
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(this->workload_);
    }

    void arrive_later(std::size_t p)
    {
        const auto& priority = priorities[p];
        const auto rate = this->options_.load * priority.part * capacity_slots * tokens_per_second /
                          priority.mean_cost;
        this->time_.after(seconds(this->exponential(1 / rate)), [this, p, &priority] {
            const auto now = this->time_.now();
            auto it = std::make_shared<call>();
            it->item = {.id = ++this->next_id_,
                        .priority = priority.rule.order,
                        .organisation = fmt::format("o{}", this->workload_() % 10),
                        .cost = 0.25 * priority.mean_cost +
                                this->exponential(0.75 * priority.mean_cost),
                        .deadline = now + seconds(priority.timeout)};
            it->arrived = now;
            it->entry = this->workload_() % entry_count;
            ++this->result_.requests;
            ++this->result_.arrived[p];
            this->entries_[it->entry].retries.on_request();
            this->enqueue(it);
            this->arrive_later(p);
        });
    }

    void enqueue(const call_ptr& it)
    {
        auto& entry = this->entries_[it->entry];
        const policy::work_ahead ahead{
            entry.queue.cost_ahead(it->item.priority, it->item.organisation, 1),
            entry.queue.more_urgent_cost(it->item.priority)};
        if (entry.admission.decide(it->item, ahead, this->time_.now()).admitted) {
            entry.waiting[it->item.id] = it;
            for (const auto& refused : entry.queue.push(it->item, this->time_.now())) {
                entry.waiting.erase(refused.id);
            }
            this->dispatch(entry);
        }
    }

    /// Room of an agent as an entry counts it, beyond the limit of its upstream.
    [[nodiscard]] unsigned extra_room() const
    {
        return this->options_.queue == placement::collisions ? 0 : this->agent_queue();
    }

    /// Length of the queue of an agent.
    [[nodiscard]] unsigned agent_queue() const
    {
        switch (this->options_.queue) {
        case placement::entry_only:
            return 0;
        case placement::agent_only:
            return long_queue;
        default:
            return static_cast<unsigned>(this->options_.short_queue);
        }
    }

    /// Chooses an upstream; the last slots of each are kept for urgent work.
    std::optional<std::size_t> choose(entry_state& entry, policy::slot_availability& left)
    {
        const auto now = this->time_.now();
        auto candidates = entry.views;
        for (auto& it : candidates) {
            if (entry.outliers.try_probe(it.id, now)) {
                return it.id;
            }
            it.unreported_dispatches = static_cast<unsigned>(entry.dispatches[it.id].size());
            it.available = it.available && !entry.outliers.is_ejected(it.id);
            it.limit += this->extra_room();
        }
        left = entry.selector.assess_slots(candidates)
                   .value_or(policy::slot_availability::reserve_only);
        const policy::request_features features{
            .may_use_reserve = left == policy::slot_availability::reserve_only};
        return entry.selector.choose(candidates, features, now);
    }

    void dispatch(entry_state& entry)
    {
        const auto now = this->time_.now();
        while (true) {
            for (const auto& it : entry.queue.expire(now)) {
                entry.waiting.erase(it.id);
            }
            if (entry.queue.size() == 0) {
                return;
            }
            auto left = policy::slot_availability::ample;
            const auto chosen = this->choose(entry, left);
            if (!chosen) {
                return;
            }
            const auto item = entry.queue.pop(now, left);
            if (!item) {
                return;
            }
            entry.admission.on_served(item->priority, item->cost, entry.queue.size() > 0, now);
            const auto found = entry.waiting.find(item->id);
            entry.dispatches[*chosen].push_back(now);
            this->time_.after(seconds(one_way_seconds), [this, i = *chosen, it = found->second] {
                this->on_dispatch(i, it);
            });
            entry.waiting.erase(found);
        }
    }

    void on_dispatch(std::size_t i, const call_ptr& it)
    {
        auto& agent = this->agents_[i];
        if (agent.lost) {
            this->fail_later(i, it, 1.5); // silence is detected
            return;
        }
        const auto now = this->time_.now();
        if (agent.queue.size() == 0 && agent.limit.try_acquire()) {
            this->hand_over(i, it);
            return;
        }
        if (agent.queue.size() < this->agent_queue()) {
            agent.queued[it->item.id] = it;
            for (const auto& refused : agent.queue.push(it->item, now)) {
                agent.queued.erase(refused.id);
            }
            return;
        }
        ++this->result_.refusals;
        this->answer(i, it, policy::call_outcome::refused);
    }

    void hand_over(std::size_t i, const call_ptr& it)
    {
        auto& agent = this->agents_[i];
        if (agent.failing) {
            this->time_.after(seconds(0.01), [this, i, it] {
                this->end_call(i, it, 0, policy::call_outcome::failed);
            });
            return;
        }
        agent.inside.emplace_back(it, this->time_.now());
        this->start_inside(i);
    }

    void start_inside(std::size_t i)
    {
        auto& agent = this->agents_[i];
        while (agent.running < agent.slots && !agent.inside.empty()) {
            const auto [it, since] = agent.inside.front();
            agent.inside.pop_front();
            const auto now = this->time_.now();
            if (it->item.deadline <= now) {
                this->end_call(i, it, 0, policy::call_outcome::abandoned);
                continue;
            }
            ++agent.running;
            const auto latency = to_seconds(now - since) + prefill_seconds;
            const auto first_token = now + seconds(prefill_seconds) - it->arrived;
            const auto end =
                std::min(now + seconds(it->item.cost / tokens_per_second), it->item.deadline);
            this->time_.after(seconds(prefill_seconds), [this, i, it] {
                this->entries_[it->entry].outliers.on_result(i, policy::call_outcome::succeeded,
                                                             this->time_.now());
            });
            const bool good = first_token <= priorities[it->item.priority].rule.first_token_target;
            this->time_.after(end - now, [this, i, it, latency, good] {
                auto& at = this->agents_[i];
                if (at.lost) {
                    return;
                }
                --at.running;
                if (good) {
                    ++this->result_.in_target[it->item.priority];
                    const auto second =
                        static_cast<std::size_t>(to_seconds(this->time_.now() - this->start_));
                    this->result_.good[second] +=
                        it->item.cost / (capacity_slots * tokens_per_second);
                }
                this->end_call(i, it, latency, policy::call_outcome::succeeded);
                this->start_inside(i);
            });
        }
    }

    void end_call(std::size_t i, const call_ptr& it, double latency, policy::call_outcome outcome)
    {
        auto& agent = this->agents_[i];
        agent.limit.release(seconds(latency), outcome);
        this->answer(i, it, outcome);
        const auto now = this->time_.now();
        for (const auto& late : agent.queue.expire(now)) {
            agent.queued.erase(late.id);
        }
        while (agent.queue.size() > 0 && agent.limit.try_acquire()) {
            const auto next = agent.queue.pop(now);
            if (!next) {
                agent.limit.release({}, policy::call_outcome::abandoned);
                return;
            }
            const auto found = agent.queued.find(next->id);
            const auto taken = found->second;
            agent.queued.erase(found);
            this->hand_over(i, taken);
        }
    }

    void answer(std::size_t i, const call_ptr& it, policy::call_outcome outcome)
    {
        this->time_.after(
            seconds(one_way_seconds),
            [this, i, it, outcome, report = this->view_of(i), at = this->time_.now()] {
                auto& entry = this->entries_[it->entry];
                this->learn(entry, i, report, at);
                if (outcome != policy::call_outcome::succeeded) {
                    entry.outliers.on_result(i, outcome, this->time_.now());
                }
                if ((outcome == policy::call_outcome::failed ||
                     outcome == policy::call_outcome::refused) &&
                    entry.retries.try_retry()) {
                    ++this->result_.retries;
                    this->enqueue(it);
                }
                this->dispatch(entry);
            });
    }

    [[nodiscard]] policy::upstream_candidate view_of(std::size_t i) const
    {
        const auto& agent = this->agents_[i];
        const auto queued = static_cast<unsigned>(agent.queue.size());
        return {.id = i,
                .available = true,
                .reported_load = agent.limit.in_flight() + queued,
                .reported_queued = queued,
                .limit = agent.limit.limit()};
    }

    static void learn(entry_state& entry, std::size_t i, const policy::upstream_candidate& report,
                      time_point at)
    {
        entry.views[i] = report;
        std::erase_if(entry.dispatches[i], [&](const auto& sent) { return sent < at; });
    }

    void fail_later(std::size_t i, const call_ptr& it, double delay)
    {
        this->time_.after(seconds(delay), [this, i, it] {
            auto& entry = this->entries_[it->entry];
            entry.outliers.on_result(i, policy::call_outcome::failed, this->time_.now());
            if (entry.retries.try_retry()) {
                ++this->result_.retries;
                this->enqueue(it);
            }
        });
    }

    void report_later(std::size_t i, double delay)
    {
        this->time_.after(seconds(delay), [this, i] {
            if (this->agents_[i].lost) {
                return;
            }
            this->time_.after(seconds(one_way_seconds),
                              [this, i, report = this->view_of(i), at = this->time_.now()] {
                                  for (auto& entry : this->entries_) {
                                      learn(entry, i, report, at);
                                      this->dispatch(entry);
                                  }
                              });
            this->report_later(i, report_interval);
        });
    }

    void break_down()
    {
        if (this->options_.kind == fault::machine_lost) {
            this->agents_[1].lost = true;
            this->time_.after(seconds(1.5), [this] {
                for (auto& entry : this->entries_) {
                    entry.views[1].available = false;
                }
            });
            return;
        }
        for (std::size_t i = 0; i < engine_count / 3; ++i) {
            this->agents_[i].failing = true;
        }
        this->time_.after(seconds(20), [this] {
            for (auto& it : this->agents_) {
                it.failing = false;
            }
        });
    }

    run_options options_;
    std::mt19937_64 workload_;
    virtual_time time_;
    time_point start_;
    std::deque<agent_state> agents_;
    std::deque<entry_state> entries_;
    std::uint64_t next_id_ = 0;
    run_result result_;
};

double mean(const std::vector<double>& values, double from, double to)
{
    double sum = 0;
    const auto first = static_cast<std::size_t>(from);
    const auto last = std::min(static_cast<std::size_t>(to), values.size());
    for (auto i = first; i < last; ++i) {
        sum += values[i];
    }
    return last > first ? sum / static_cast<double>(last - first) : 0;
}

void print_loads(run_options options)
{
    fmt::print(
        "| queue | limit | load | goodput % | u | n | b in target % | retries % | refusals % "
        "|\n|---|---|---|---|---|---|---|---|---|\n");
    const std::array names = {"entry", "agent", "short at agent", "collisions at agent"};
    for (const auto queue : {placement::entry_only, placement::agent_only,
                             placement::short_at_agent, placement::collisions}) {
        for (const bool adaptive : {false, true}) {
            for (const double load : {1.0, 1.5, 2.0, 3.0}) {
                options.queue = queue;
                options.adaptive = adaptive;
                options.load = load;
                const auto it = overload_run(options).run();
                std::string attained;
                for (std::size_t p = 0; p < priorities.size(); ++p) {
                    attained += fmt::format(" {:.1f} |", 100 * it.in_target[p] / it.arrived[p]);
                }
                fmt::print("| {} | {} | {:.1f} | {:.1f} |{} {:.1f} | {:.1f} |\n",
                           names.at(static_cast<std::size_t>(queue)),
                           adaptive ? "adaptive" : "static", load,
                           100 * mean(it.good, options.duration / 4, options.duration), attained,
                           100 * it.retries / it.requests, 100 * it.refusals / it.requests);
            }
        }
    }
}

void print_faults(run_options options)
{
    fmt::print(
        "\n| fault | load | goodput % before | during | after | back to 95% after s | retries "
        "% |\n|---|---|---|---|---|---|---|\n");
    for (const auto kind : {fault::errors, fault::machine_lost}) {
        for (const double load : {0.8, 1.5}) {
            options.kind = kind;
            options.load = load;
            const auto it = overload_run(options).run();
            const auto begin = options.duration / 2;
            const auto end = kind == fault::errors ? begin + 20 : begin;
            const auto before = mean(it.good, begin / 2, begin);
            double back = -1;
            for (double at = end; at + 5 <= options.duration && back < 0; at += 1) {
                if (mean(it.good, at, at + 5) >= 0.95 * before) {
                    back = at - end;
                }
            }
            fmt::print("| {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {} | {:.1f} |\n",
                       kind == fault::errors ? "a third of the engines fails for 20 s"
                                             : "one of 12 machines is lost",
                       load, 100 * before, 100 * mean(it.good, begin, begin + 20),
                       100 * mean(it.good, begin + 40, options.duration),
                       back < 0 ? std::string("never") : fmt::format("{:.0f}", back),
                       100 * it.retries / it.requests);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Goodput, retries and recovery under overload and faults");
    run_options options;
    bool smoke = false;
    app.add_option("--seed", options.seed, "seed of arrivals and costs");
    app.add_option("--duration", options.duration,
                   "virtual seconds; the first quarter is not counted");
    app.add_option("--short-queue", options.short_queue, "length of the short queue at an agent");
    app.add_option("--reserve", options.reserve,
                   "part of the slots of each upstream kept for urgent work");
    app.add_flag("--smoke", smoke, "short run");
    CLI11_PARSE(app, argc, argv);
    if (smoke) {
        options.duration = 8;
    }
    print_loads(options);
    print_faults(options);
    return 0;
}
