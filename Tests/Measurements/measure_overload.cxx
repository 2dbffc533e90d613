// Measures overload control. Entries queue and route requests, agents admit them, and engines run
// up to a number of requests at once that the agents do not know. Further requests wait in the
// engine.

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

#include "Measurements/simulated_event_loop.h"
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
constexpr std::array<unsigned, 3> engine_slots = {8, 16, 24}; ///< element i % 3 is for engine i
constexpr double total_slots = 16 * engine_count;
constexpr unsigned static_limit = 16;
constexpr double tokens_per_second = 40; ///< of one slot
constexpr double prefill_seconds = 0.05;
constexpr double one_way_seconds = 0.001;
constexpr double report_interval = 0.5;        ///< seconds
constexpr double loss_detection_seconds = 1.5; ///< from the loss of an instance
constexpr std::size_t long_queue = 10'000;

struct priority_profile {
    policy::priority_rule rule;
    double mean_cost = 0;     ///< tokens
    double timeout = 0;       ///< seconds
    double cost_fraction = 0; ///< fraction of the offered cost
};

const std::array<priority_profile, 3> priorities = {{
    {{0, 0.3, 100, seconds(0.4)}, 100, 20, 0.3},
    {{1, 0.2, 10, seconds(2)}, 200, 60, 0.4},
    {{2, 0.1, 1, seconds(30)}, 400, 300, 0.3},
}};

enum class queue_placement {
    entry_only,
    agent_only,
    short_at_agent,
    /// As short_at_agent, but entries dispatch only into slots that they know to be free. Requests
    /// queue at the agent only if several entries choose the same slot.
    collisions_only,
};
enum class fault { none, errors, instance_lost };

struct run_options {
    queue_placement placement = queue_placement::collisions_only;
    bool adaptive = true;
    fault fault_kind = fault::none;
    double load = 1;       ///< offered cost, as a multiple of capacity
    double duration = 240; ///< simulated seconds
    std::size_t short_queue_size = 2;
    double reserved_fraction = 0.125; ///< slots of each upstream reserved for urgent requests
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
    /// Requests that wait in the engine, and when they were sent to it.
    std::deque<std::pair<call_ptr, time_point>> engine_queue;
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
    policy::retry_budget retry_budget;
    std::map<std::uint64_t, call_ptr> waiting{};
    std::vector<policy::upstream_candidate> views{};   ///< last report of each upstream
    std::vector<std::vector<time_point>> dispatches{}; ///< to each upstream since its report
};

struct run_result {
    std::vector<double>
        goodput; ///< by second: cost of answers in target, as a fraction of capacity
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
        : options_(options), workload_(options.seed), start_(loop_.now())
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
                                     .engine_queue = {},
                                     .slots = engine_slots[i % engine_slots.size()]});
        }
        for (std::size_t i = 0; i < entry_count; ++i) {
            this->entries_.push_back(
                {.queue = policy::work_queue({.priorities = rules(), .max_items = long_queue}),
                 .admission = policy::admission_control({.priorities = rules()}),
                 .selector = policy::upstream_selector(
                     options.seed * 10 + i, {.reserved_fraction = options.reserved_fraction}),
                 .outliers = policy::outlier_detector(),
                 .retry_budget = policy::retry_budget()});
            auto& entry = this->entries_.back();
            entry.outliers.set_members(ids);
            entry.dispatches.resize(engine_count);
            for (std::size_t n = 0; n < engine_count; ++n) {
                entry.views.push_back({.id = n, .limit = static_limit});
            }
        }
        this->result_.goodput.resize(static_cast<std::size_t>(options.duration) + 1);
    }

    run_result run()
    {
        for (std::size_t p = 0; p < priorities.size(); ++p) {
            this->schedule_arrival(p);
        }
        for (std::size_t i = 0; i < engine_count; ++i) {
            this->schedule_report(i, report_interval * static_cast<double>(i + 1) / engine_count);
        }
        if (this->options_.fault_kind != fault::none) {
            this->loop_.after(seconds(this->options_.duration / 2),
                              [this] { this->inject_fault(); });
        }
        this->loop_.run_until(this->start_ + seconds(this->options_.duration));
        return this->result_;
    }

private:
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(this->workload_);
    }

    void schedule_arrival(std::size_t p)
    {
        const auto& priority = priorities[p];
        const auto rate = this->options_.load * priority.cost_fraction * total_slots *
                          tokens_per_second / priority.mean_cost;
        this->loop_.after(seconds(this->exponential(1 / rate)), [this, p, &priority] {
            const auto now = this->loop_.now();
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
            this->entries_[it->entry].retry_budget.on_request();
            this->enqueue(it);
            this->schedule_arrival(p);
        });
    }

    void enqueue(const call_ptr& it)
    {
        auto& entry = this->entries_[it->entry];
        const policy::work_ahead ahead{
            entry.queue.cost_ahead(it->item.priority, it->item.organisation, 1),
            entry.queue.more_urgent_cost(it->item.priority)};
        if (entry.admission.decide(it->item, ahead, this->loop_.now()).admitted) {
            entry.waiting[it->item.id] = it;
            for (const auto& refused : entry.queue.push(it->item, this->loop_.now())) {
                entry.waiting.erase(refused.id);
            }
            this->dispatch(entry);
        }
    }

    /// @return requests that an entry sends to an agent beyond the reported concurrency limit
    [[nodiscard]] unsigned extra_capacity() const
    {
        return this->options_.placement == queue_placement::collisions_only
                   ? 0
                   : this->max_agent_queue();
    }

    /// @return maximum length of an agent's queue
    [[nodiscard]] unsigned max_agent_queue() const
    {
        switch (this->options_.placement) {
        case queue_placement::entry_only:
            return 0;
        case queue_placement::agent_only:
            return long_queue;
        default:
            return static_cast<unsigned>(this->options_.short_queue_size);
        }
    }

    /// Chooses an upstream. The last slots of each upstream are reserved for urgent requests.
    /// @param availability set to whether only reserved slots are free
    /// @return index of the upstream; nothing if none is available
    std::optional<std::size_t> choose(entry_state& entry, policy::slot_availability& availability)
    {
        const auto now = this->loop_.now();
        auto candidates = entry.views;
        for (auto& it : candidates) {
            if (entry.outliers.try_probe(it.id, now)) {
                return it.id;
            }
            it.unreported_dispatches = static_cast<unsigned>(entry.dispatches[it.id].size());
            it.available = it.available && !entry.outliers.is_ejected(it.id);
            it.limit += this->extra_capacity();
        }
        availability = entry.selector.assess_slots(candidates)
                           .value_or(policy::slot_availability::reserve_only);
        const policy::request_features features{
            .may_use_reserve = availability == policy::slot_availability::reserve_only};
        return entry.selector.choose(candidates, features, now);
    }

    void dispatch(entry_state& entry)
    {
        const auto now = this->loop_.now();
        while (true) {
            for (const auto& it : entry.queue.expire(now)) {
                entry.waiting.erase(it.id);
            }
            if (entry.queue.size() == 0) {
                return;
            }
            auto availability = policy::slot_availability::ample;
            const auto chosen = this->choose(entry, availability);
            if (!chosen) {
                return;
            }
            const auto item = entry.queue.pop(now, availability);
            if (!item) {
                return;
            }
            entry.admission.on_served(item->priority, item->cost, entry.queue.size() > 0, now);
            const auto found = entry.waiting.find(item->id);
            entry.dispatches[*chosen].push_back(now);
            this->loop_.after(seconds(one_way_seconds), [this, i = *chosen, it = found->second] {
                this->on_dispatch(i, it);
            });
            entry.waiting.erase(found);
        }
    }

    void on_dispatch(std::size_t i, const call_ptr& it)
    {
        auto& agent = this->agents_[i];
        if (agent.lost) {
            this->schedule_failure(i, it, loss_detection_seconds);
            return;
        }
        const auto now = this->loop_.now();
        if (agent.queue.size() == 0 && agent.limit.try_acquire()) {
            this->send_to_engine(i, it);
            return;
        }
        if (agent.queue.size() < this->max_agent_queue()) {
            agent.queued[it->item.id] = it;
            for (const auto& refused : agent.queue.push(it->item, now)) {
                agent.queued.erase(refused.id);
            }
            return;
        }
        ++this->result_.refusals;
        this->answer(i, it, policy::call_outcome::refused);
    }

    void send_to_engine(std::size_t i, const call_ptr& it)
    {
        auto& agent = this->agents_[i];
        if (agent.failing) {
            this->loop_.after(seconds(0.01), [this, i, it] {
                this->end_call(i, it, 0, policy::call_outcome::failed);
            });
            return;
        }
        agent.engine_queue.emplace_back(it, this->loop_.now());
        this->start_requests(i);
    }

    void start_requests(std::size_t i)
    {
        auto& agent = this->agents_[i];
        while (agent.running < agent.slots && !agent.engine_queue.empty()) {
            const auto [it, since] = agent.engine_queue.front();
            agent.engine_queue.pop_front();
            const auto now = this->loop_.now();
            if (it->item.deadline <= now) {
                this->end_call(i, it, 0, policy::call_outcome::abandoned);
                continue;
            }
            ++agent.running;
            const auto latency = to_seconds(now - since) + prefill_seconds;
            const auto first_token = now + seconds(prefill_seconds) - it->arrived;
            const auto end =
                std::min(now + seconds(it->item.cost / tokens_per_second), it->item.deadline);
            this->loop_.after(seconds(prefill_seconds), [this, i, it] {
                this->entries_[it->entry].outliers.on_result(i, policy::call_outcome::succeeded,
                                                             this->loop_.now());
            });
            const bool in_target =
                first_token <= priorities[it->item.priority].rule.first_token_target;
            this->loop_.after(end - now, [this, i, it, latency, in_target] {
                auto& at = this->agents_[i];
                if (at.lost) {
                    return;
                }
                --at.running;
                if (in_target) {
                    ++this->result_.in_target[it->item.priority];
                    const auto second =
                        static_cast<std::size_t>(to_seconds(this->loop_.now() - this->start_));
                    this->result_.goodput[second] +=
                        it->item.cost / (total_slots * tokens_per_second);
                }
                this->end_call(i, it, latency, policy::call_outcome::succeeded);
                this->start_requests(i);
            });
        }
    }

    void end_call(std::size_t i, const call_ptr& it, double latency, policy::call_outcome outcome)
    {
        auto& agent = this->agents_[i];
        agent.limit.release(seconds(latency), outcome);
        this->answer(i, it, outcome);
        const auto now = this->loop_.now();
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
            this->send_to_engine(i, taken);
        }
    }

    void answer(std::size_t i, const call_ptr& it, policy::call_outcome outcome)
    {
        this->loop_.after(
            seconds(one_way_seconds),
            [this, i, it, outcome, report = this->report_of(i), at = this->loop_.now()] {
                auto& entry = this->entries_[it->entry];
                this->apply_report(entry, i, report, at);
                if (outcome != policy::call_outcome::succeeded) {
                    entry.outliers.on_result(i, outcome, this->loop_.now());
                }
                if ((outcome == policy::call_outcome::failed ||
                     outcome == policy::call_outcome::refused) &&
                    entry.retry_budget.try_retry()) {
                    ++this->result_.retries;
                    this->enqueue(it);
                }
                this->dispatch(entry);
            });
    }

    [[nodiscard]] policy::upstream_candidate report_of(std::size_t i) const
    {
        const auto& agent = this->agents_[i];
        const auto queued = static_cast<unsigned>(agent.queue.size());
        return {.id = i,
                .available = true,
                .reported_load = agent.limit.in_flight() + queued,
                .reported_queued = queued,
                .limit = agent.limit.limit()};
    }

    static void apply_report(entry_state& entry, std::size_t i,
                             const policy::upstream_candidate& report, time_point at)
    {
        entry.views[i] = report;
        std::erase_if(entry.dispatches[i], [&](const auto& sent) { return sent < at; });
    }

    void schedule_failure(std::size_t i, const call_ptr& it, double delay)
    {
        this->loop_.after(seconds(delay), [this, i, it] {
            auto& entry = this->entries_[it->entry];
            entry.outliers.on_result(i, policy::call_outcome::failed, this->loop_.now());
            if (entry.retry_budget.try_retry()) {
                ++this->result_.retries;
                this->enqueue(it);
            }
        });
    }

    void schedule_report(std::size_t i, double delay)
    {
        this->loop_.after(seconds(delay), [this, i] {
            if (this->agents_[i].lost) {
                return;
            }
            this->loop_.after(seconds(one_way_seconds),
                              [this, i, report = this->report_of(i), at = this->loop_.now()] {
                                  for (auto& entry : this->entries_) {
                                      apply_report(entry, i, report, at);
                                      this->dispatch(entry);
                                  }
                              });
            this->schedule_report(i, report_interval);
        });
    }

    void inject_fault()
    {
        if (this->options_.fault_kind == fault::instance_lost) {
            this->agents_[1].lost = true;
            this->loop_.after(seconds(loss_detection_seconds), [this] {
                for (auto& entry : this->entries_) {
                    entry.views[1].available = false;
                }
            });
            return;
        }
        for (std::size_t i = 0; i < engine_count / 3; ++i) {
            this->agents_[i].failing = true;
        }
        this->loop_.after(seconds(20), [this] {
            for (auto& it : this->agents_) {
                it.failing = false;
            }
        });
    }

    run_options options_;
    std::mt19937_64 workload_;
    simulated_event_loop loop_;
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
    for (const auto placement :
         {queue_placement::entry_only, queue_placement::agent_only, queue_placement::short_at_agent,
          queue_placement::collisions_only}) {
        for (const bool adaptive : {false, true}) {
            for (const double load : {1.0, 1.5, 2.0, 3.0}) {
                options.placement = placement;
                options.adaptive = adaptive;
                options.load = load;
                const auto it = overload_run(options).run();
                std::string attained;
                for (std::size_t p = 0; p < priorities.size(); ++p) {
                    attained += fmt::format(" {:.1f} |", 100 * it.in_target[p] / it.arrived[p]);
                }
                fmt::print("| {} | {} | {:.1f} | {:.1f} |{} {:.1f} | {:.1f} |\n",
                           names.at(static_cast<std::size_t>(placement)),
                           adaptive ? "adaptive" : "static", load,
                           100 * mean(it.goodput, options.duration / 4, options.duration), attained,
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
    for (const auto kind : {fault::errors, fault::instance_lost}) {
        for (const double load : {0.8, 1.5}) {
            options.fault_kind = kind;
            options.load = load;
            const auto it = overload_run(options).run();
            const auto begin = options.duration / 2;
            const auto end = kind == fault::errors ? begin + 20 : begin;
            const auto before = mean(it.goodput, begin / 2, begin);
            double recovery_seconds = -1;
            for (double at = end; at + 5 <= options.duration && recovery_seconds < 0; at += 1) {
                if (mean(it.goodput, at, at + 5) >= 0.95 * before) {
                    recovery_seconds = at - end;
                }
            }
            fmt::print("| {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {} | {:.1f} |\n",
                       kind == fault::errors ? "a third of the engines fails for 20 s"
                                             : "one of 12 machines is lost",
                       load, 100 * before, 100 * mean(it.goodput, begin, begin + 20),
                       100 * mean(it.goodput, begin + 40, options.duration),
                       recovery_seconds < 0 ? std::string("never")
                                            : fmt::format("{:.0f}", recovery_seconds),
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
                   "simulated seconds; the first quarter is not counted");
    app.add_option("--short-queue", options.short_queue_size,
                   "maximum length of the short queue at an agent");
    app.add_option("--reserve", options.reserved_fraction,
                   "fraction of the slots of each upstream reserved for urgent requests");
    app.add_flag("--smoke", smoke, "short run");
    CLI11_PARSE(app, argc, argv);
    if (smoke) {
        options.duration = 8;
    }
    print_loads(options);
    print_faults(options);
    return 0;
}
