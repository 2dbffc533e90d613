// Measures the first-token time and the prefix hit rate of routing policies. Several entries route
// to engines that prefill one prompt at a time, generate many answers at once and keep a bounded
// prefix cache. Entries receive load reports with a delay; cache events are delayed or lost.

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "base/digest.h"
#include "Measurements/simulated_event_loop.h"
#include "policy/upstream_selector.h"

using namespace medlaryoke;
using namespace medlaryoke::measurements;

namespace {

constexpr std::size_t engine_count = 16;
constexpr std::size_t entry_count = 4;
constexpr unsigned engine_slots = 48;
constexpr double prefill_rate = 8'000;    ///< tokens per second
constexpr double token_interval = 0.025;  ///< seconds
constexpr double template_tokens = 1'000; ///< prefix shared by the prompts of an organisation
constexpr double document_tokens = 2'000; ///< prefix shared by the turns of a conversation
constexpr double turn_tokens = 300;
constexpr double mean_answer_tokens = 120;
constexpr double mean_turns = 4;
constexpr double mean_think_seconds = 8;
constexpr std::uint64_t organisations = 10;

struct run_options {
    std::string policy;
    double rate = 10;                 ///< requests per second
    double duration = 180;            ///< simulated seconds
    double straggler_slowdown = 1;    ///< factor on the times of one engine
    double mean_event_delay = 2;      ///< mean delay of cache events, in seconds
    double event_loss_fraction = 0.1; ///< fraction of the cache events that are lost
    double report_interval = 0.5;     ///< seconds
    double report_delay = 0.2;        ///< seconds
    double cache_tokens = 150'000;    ///< cache capacity of one engine
    std::uint64_t seed = 1;
};

struct prompt {
    std::vector<std::uint64_t> prefixes; ///< shortest first
    std::vector<double> tokens;          ///< added by each prefix
    double answer_tokens = 0;
    time_point arrived{};
    std::size_t entry = 0;
};

/// Prefix cache of an engine. It evicts the least recently used prefixes.
class prefix_cache {
public:
    explicit prefix_cache(double capacity) : capacity_(capacity) {}

    /// Looks up the prefixes of a prompt, then caches all of them.
    /// @param request the prompt
    /// @param on_evicted called for each evicted prefix
    /// @return number of prompt tokens that were cached
    double look_up_and_insert(const prompt& request,
                              const std::function<void(std::uint64_t)>& on_evicted)
    {
        double found = 0;
        bool is_cached = true;
        for (std::size_t i = 0; i < request.prefixes.size(); ++i) {
            is_cached = is_cached && this->entries_.contains(request.prefixes[i]);
            found += is_cached ? request.tokens[i] : 0;
        }
        for (auto i = request.prefixes.size(); i > 0; --i) {
            this->touch(request.prefixes[i - 1], request.tokens[i - 1]);
        }
        while (this->used_ > this->capacity_) {
            const auto [prefix, tokens] = this->order_.back();
            this->order_.pop_back();
            this->entries_.erase(prefix);
            this->used_ -= tokens;
            on_evicted(prefix);
        }
        return found;
    }

private:
    void touch(std::uint64_t prefix, double tokens)
    {
        const auto it = this->entries_.find(prefix);
        if (it != this->entries_.end()) {
            this->order_.splice(this->order_.begin(), this->order_, it->second);
            return;
        }
        this->order_.emplace_front(prefix, tokens);
        this->entries_[prefix] = this->order_.begin();
        this->used_ += tokens;
    }

    double capacity_;
    double used_ = 0;
    std::list<std::pair<std::uint64_t, double>> order_;
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator>
        entries_;
};

struct engine {
    std::uint64_t id = 0;
    double slowdown = 1;
    prefix_cache cache;
    std::deque<prompt> waiting;
    bool prefilling = false;
    unsigned running = 0;
    double busy_seconds = 0;
    double latency = 0; ///< smoothed, seconds
};

/// The state of an engine as last reported to an entry.
struct engine_view {
    unsigned load = 0;
    unsigned queued = 0;
    duration latency{};
    std::vector<time_point> dispatches; ///< dispatches of this entry since the report was made
};

struct entry_state {
    std::unique_ptr<policy::upstream_selector> selector;
    std::vector<engine_view> views;
    std::deque<prompt> pending;
    std::size_t next_engine = 0; ///< next engine in round robin
};

struct run_result {
    std::vector<double> first_token;
    double prompt_tokens = 0;
    double hit_tokens = 0;
    double busy_fraction = 0; ///< mean fraction of the time in which engines prefill
};

class routing_run {
public:
    explicit routing_run(run_options options)
        : options_(std::move(options)), workload_(options_.seed), random_(options_.seed + 1'000)
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            this->engines_.push_back({.id = hash64(fmt::format("engine{}", i)),
                                      .slowdown = i == 0 ? this->options_.straggler_slowdown : 1,
                                      .cache = prefix_cache(this->options_.cache_tokens),
                                      .waiting = {}});
        }
        for (std::size_t i = 0; i < entry_count; ++i) {
            this->entries_.push_back({.selector = std::make_unique<policy::upstream_selector>(
                                          this->options_.seed * 100 + i),
                                      .views = std::vector<engine_view>(engine_count),
                                      .pending = {}});
        }
    }

    run_result run()
    {
        this->measured_from_ = this->loop_.now() + seconds(this->options_.duration / 3);
        this->schedule_conversation();
        for (std::size_t i = 0; i < engine_count; ++i) {
            this->schedule_report(i, uniform(this->random_) * this->options_.report_interval);
        }
        this->loop_.run_until(this->loop_.now() + seconds(this->options_.duration));
        for (const auto& it : this->engines_) {
            this->result_.busy_fraction += it.busy_seconds / this->options_.duration / engine_count;
        }
        return this->result_;
    }

private:
    static double uniform(std::mt19937_64& random)
    {
        return std::uniform_real_distribution<double>()(random);
    }

    static double exponential(double mean, std::mt19937_64& random)
    {
        return -mean * std::log1p(-uniform(random));
    }

    void schedule_conversation()
    {
        const auto gap = exponential(mean_turns / this->options_.rate, this->workload_);
        this->loop_.after(seconds(gap), [this] {
            const auto organisation = static_cast<std::uint64_t>(
                organisations * uniform(this->workload_) *
                uniform(this->workload_)); // some send far more requests than others
            prompt first;
            first.prefixes = {organisation + 1, this->workload_()};
            first.tokens = {template_tokens, document_tokens};
            this->next_turn(std::move(first));
            this->schedule_conversation();
        });
    }

    void next_turn(prompt request)
    {
        request.prefixes.push_back(this->workload_());
        request.tokens.push_back(turn_tokens);
        request.answer_tokens = 10 + exponential(mean_answer_tokens, this->workload_);
        request.arrived = this->loop_.now();
        request.entry = static_cast<std::size_t>(uniform(this->workload_) * entry_count);
        if (uniform(this->workload_) > 1 / mean_turns) {
            this->loop_.after(seconds(request.answer_tokens * token_interval +
                                      exponential(mean_think_seconds, this->workload_)),
                              [this, request] { this->next_turn(request); });
        }
        auto& entry = this->entries_[request.entry];
        entry.pending.push_back(std::move(request));
        this->route(entry);
    }

    void route(entry_state& entry)
    {
        while (!entry.pending.empty()) {
            const auto chosen = this->choose(entry, entry.pending.front());
            if (!chosen) {
                return;
            }
            entry.views[*chosen].dispatches.push_back(this->loop_.now());
            this->loop_.after(std::chrono::milliseconds(1),
                              [this, i = *chosen, request = entry.pending.front()] {
                                  this->engines_[i].waiting.push_back(request);
                                  this->prefill(i);
                              });
            entry.pending.pop_front();
        }
    }

    std::optional<std::size_t> choose(entry_state& entry, const prompt& request)
    {
        if (this->options_.policy == "round robin") {
            return entry.next_engine++ % engine_count;
        }
        if (this->options_.policy == "least reported") {
            // Ties are common between reports and are broken at random.
            std::vector<std::size_t> order(engine_count);
            for (std::size_t i = 0; i < engine_count; ++i) {
                order[i] = i;
            }
            std::ranges::shuffle(order, this->random_);
            return *std::ranges::min_element(order, {},
                                             [&](std::size_t i) { return entry.views[i].load; });
        }
        std::vector<policy::upstream_candidate> candidates;
        for (std::size_t i = 0; i < engine_count; ++i) {
            const auto& view = entry.views[i];
            candidates.push_back(
                {.id = this->engines_[i].id,
                 .reported_load = view.load,
                 .reported_queued = view.queued,
                 .unreported_dispatches = static_cast<unsigned>(view.dispatches.size()),
                 .limit = 2 * engine_slots,
                 .first_token_latency = view.latency});
        }
        double cost = 0;
        for (const auto it : request.tokens) {
            cost += it;
        }
        return entry.selector->choose(candidates, {request.prefixes, cost}, this->loop_.now());
    }

    void prefill(std::size_t i)
    {
        auto& it = this->engines_[i];
        if (it.prefilling || it.waiting.empty() || it.running >= engine_slots) {
            return;
        }
        const auto request = it.waiting.front();
        it.waiting.pop_front();
        double total = 0;
        for (const auto tokens : request.tokens) {
            total += tokens;
        }
        const auto hit = it.cache.look_up_and_insert(request, [&](std::uint64_t prefix) {
            this->send_cache_event([this, i, prefix](entry_state& entry) {
                entry.selector->discard_prefix(this->engines_[i].id, prefix);
            });
        });
        for (const auto prefix : request.prefixes) {
            this->send_cache_event([this, i, prefix](entry_state& entry) {
                entry.selector->record_prefix(this->engines_[i].id, prefix);
            });
        }
        const auto time = it.slowdown * (0.01 + (total - hit) / prefill_rate);
        it.prefilling = true;
        ++it.running;
        it.busy_seconds += time;
        if (request.arrived >= this->measured_from_) {
            this->result_.prompt_tokens += total;
            this->result_.hit_tokens += hit;
        }
        this->loop_.after(seconds(time), [this, i, request] { this->first_token(i, request); });
    }

    void first_token(std::size_t i, const prompt& request)
    {
        auto& it = this->engines_[i];
        it.prefilling = false;
        const auto latency = to_seconds(this->loop_.now() - request.arrived);
        it.latency += 0.1 * (latency - it.latency);
        if (request.arrived >= this->measured_from_) {
            this->result_.first_token.push_back(latency);
        }
        const auto rest = it.slowdown * request.answer_tokens * token_interval;
        this->loop_.after(seconds(rest), [this, i, entry = request.entry] {
            --this->engines_[i].running;
            this->prefill(i);
            this->route(this->entries_[entry]);
        });
        this->prefill(i);
    }

    void send_cache_event(const std::function<void(entry_state&)>& fn)
    {
        for (auto& entry : this->entries_) {
            if (uniform(this->random_) >= this->options_.event_loss_fraction) {
                this->loop_.after(
                    seconds(exponential(this->options_.mean_event_delay, this->random_)),
                    [&entry, fn] { fn(entry); });
            }
        }
    }

    void schedule_report(std::size_t i, double delay)
    {
        this->loop_.after(seconds(delay), [this, i] {
            const auto& it = this->engines_[i];
            const auto queued = static_cast<unsigned>(it.waiting.size());
            const auto load = it.running + queued;
            this->loop_.after(
                seconds(this->options_.report_delay),
                [this, i, load, queued, latency = seconds(it.latency), at = this->loop_.now()] {
                    for (auto& entry : this->entries_) {
                        auto& view = entry.views[i];
                        view.load = load;
                        view.queued = queued;
                        view.latency = latency;
                        std::erase_if(view.dispatches, [&](const auto& sent) { return sent < at; });
                        this->route(entry);
                    }
                });
            this->schedule_report(i, this->options_.report_interval);
        });
    }

    run_options options_;
    std::mt19937_64 workload_; ///< used for requests only, so that all policies get the same ones
    std::mt19937_64 random_;
    simulated_event_loop loop_;
    time_point measured_from_{};
    std::deque<engine> engines_;
    std::deque<entry_state> entries_;
    run_result result_;
};

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = values.begin() +
                    static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, at);
    return *at;
}

/// @return the request rate per second at which equal engines under round robin prefill for the
/// fraction `load` of the time
double rate_at_load(run_options options, double load)
{
    options.policy = "round robin";
    options.straggler_slowdown = 1;
    double low = 1;
    double high = 200;
    for (int i = 0; i < 10; ++i) {
        options.rate = (low + high) / 2;
        (routing_run(options).run().busy_fraction < load ? low : high) = options.rate;
    }
    return low;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("First-token time and prefix hit rate of routing policies");
    run_options options;
    double load = 0.8;
    double straggler_slowdown = 3;
    bool smoke = false;
    app.add_option("--seed", options.seed, "seed of arrivals, sizes and events");
    app.add_option("--duration", options.duration,
                   "simulated seconds; the first third is not counted");
    app.add_option("--load", load, "fraction of the time that engines are busy under round robin");
    app.add_option("--straggler", straggler_slowdown,
                   "factor on the times of one engine in the straggler scenario");
    app.add_option("--report-lag", options.report_delay, "delay of load reports in seconds");
    app.add_flag("--smoke", smoke, "short run");
    CLI11_PARSE(app, argc, argv);
    if (smoke) {
        options.duration = 3;
    }
    const auto rate = rate_at_load(options, load);
    fmt::print(
        "{:.1f} requests/s\n\n| scenario | policy | p50 s | p95 s | prefix hits % | busy % |\n"
        "|---|---|---|---|---|---|\n",
        rate);
    struct scenario {
        const char* name;
        double slowdown;
        double event_delay;
        double event_loss_fraction;
    };
    for (const auto& it :
         {scenario{"equal engines", 1, 2, 0.1}, scenario{"straggler", straggler_slowdown, 2, 0.1},
          scenario{"poor events", 1, 20, 0.5}}) {
        for (const auto* name : {"round robin", "least reported", "product"}) {
            options.policy = name;
            options.straggler_slowdown = it.slowdown;
            options.mean_event_delay = it.event_delay;
            options.event_loss_fraction = it.event_loss_fraction;
            options.rate = rate * (engine_count - 1 + 1 / it.slowdown) / engine_count;
            const auto result = routing_run(options).run();
            fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.1f} | {:.0f} |\n", it.name, name,
                       percentile(result.first_token, 0.5), percentile(result.first_token, 0.95),
                       100 * result.hit_tokens / result.prompt_tokens, 100 * result.busy_fraction);
        }
    }
    return 0;
}
