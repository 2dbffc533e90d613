// Measures routing by first-token time and prefix hit rate. Several entries route to engines that
// prefill one prompt at a time, generate many answers at once and keep a bounded prefix cache.
// Entries see load reports with a lag, and cache events that are late or lost.

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
#include "Measurements/virtual_time.h"
#include "policy/upstream_selector.h"

using namespace medlaryoke;
using namespace medlaryoke::measurements;

namespace {

constexpr std::size_t engine_count = 16;
constexpr std::size_t entry_count = 4;
constexpr unsigned engine_slots = 48;
constexpr double prefill_rate = 8'000;    ///< tokens per second
constexpr double token_interval = 0.025;  ///< seconds
constexpr double template_tokens = 1'000; ///< one for each organisation
constexpr double document_tokens = 2'000; ///< one for each conversation
constexpr double turn_tokens = 300;
constexpr double mean_answer_tokens = 120;
constexpr double mean_turns = 4;
constexpr double think_seconds = 8;
constexpr std::uint64_t organisations = 10;

struct run_options {
    std::string policy;
    double rate = 10;        ///< requests per second
    double duration = 180;   ///< seconds
    double straggler = 1;    ///< slowdown of one engine
    double event_lag = 2;    ///< mean delay of cache events in seconds
    double event_loss = 0.1; ///< part of the cache events that is lost
    double report_interval = 0.5;
    double report_lag = 0.2;
    double cache_tokens = 150'000; ///< of one engine
    std::uint64_t seed = 1;
};

struct prompt {
    std::vector<std::uint64_t> prefixes; ///< shortest first
    std::vector<double> tokens;          ///< added by each prefix
    double answer_tokens = 0;
    time_point arrived{};
    std::size_t entry = 0;
};

/// Prefix cache of an engine: least recently used prefixes are dropped.
class prefix_cache {
public:
    explicit prefix_cache(double capacity) : capacity_(capacity) {}

    /// @return tokens found; afterwards all prefixes of the prompt are cached
    double use(const prompt& request, const std::function<void(std::uint64_t)>& on_dropped)
    {
        double found = 0;
        bool all = true;
        for (std::size_t i = 0; i < request.prefixes.size(); ++i) {
            all = all && this->entries_.contains(request.prefixes[i]);
            found += all ? request.tokens[i] : 0;
        }
        for (auto i = request.prefixes.size(); i > 0; --i) {
            this->touch(request.prefixes[i - 1], request.tokens[i - 1]);
        }
        while (this->used_ > this->capacity_) {
            const auto [prefix, tokens] = this->order_.back();
            this->order_.pop_back();
            this->entries_.erase(prefix);
            this->used_ -= tokens;
            on_dropped(prefix);
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

/// What one entry knows of one engine.
struct engine_view {
    unsigned load = 0;
    unsigned queued = 0;
    duration latency{};
    std::vector<time_point> dispatches; ///< own, since the report was made
};

struct entry_state {
    std::unique_ptr<policy::upstream_selector> selector;
    std::vector<engine_view> views;
    std::deque<prompt> pending;
    std::size_t next = 0; ///< of round robin
};

struct run_result {
    std::vector<double> first_token;
    double prompt_tokens = 0;
    double hit_tokens = 0;
    double busy = 0; ///< mean part of the time that engines prefill
};

class routing_run {
public:
    explicit routing_run(run_options options)
        : options_(std::move(options)), workload_(options_.seed), random_(options_.seed + 1'000)
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            this->engines_.push_back({.id = hash64(fmt::format("engine{}", i)),
                                      .slowdown = i == 0 ? this->options_.straggler : 1,
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
        this->measured_from_ = this->time_.now() + seconds(this->options_.duration / 3);
        this->start_conversations();
        for (std::size_t i = 0; i < engine_count; ++i) {
            this->report_later(i, uniform(this->random_) * this->options_.report_interval);
        }
        this->time_.run_until(this->time_.now() + seconds(this->options_.duration));
        for (const auto& it : this->engines_) {
            this->result_.busy += it.busy_seconds / this->options_.duration / engine_count;
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

    void start_conversations()
    {
        const auto gap = exponential(mean_turns / this->options_.rate, this->workload_);
        this->time_.after(seconds(gap), [this] {
            const auto organisation =
                static_cast<std::uint64_t>(organisations * uniform(this->workload_) *
                                           uniform(this->workload_)); // some are much larger
            prompt first;
            first.prefixes = {organisation + 1, this->workload_()};
            first.tokens = {template_tokens, document_tokens};
            this->next_turn(std::move(first));
            this->start_conversations();
        });
    }

    void next_turn(prompt request)
    {
        request.prefixes.push_back(this->workload_());
        request.tokens.push_back(turn_tokens);
        request.answer_tokens = 10 + exponential(mean_answer_tokens, this->workload_);
        request.arrived = this->time_.now();
        request.entry = static_cast<std::size_t>(uniform(this->workload_) * entry_count);
        if (uniform(this->workload_) > 1 / mean_turns) {
            this->time_.after(seconds(request.answer_tokens * token_interval +
                                      exponential(think_seconds, this->workload_)),
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
            entry.views[*chosen].dispatches.push_back(this->time_.now());
            this->time_.after(std::chrono::milliseconds(1),
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
            return entry.next++ % engine_count;
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
        return entry.selector->choose(candidates, {request.prefixes, cost}, this->time_.now());
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
        const auto hit = it.cache.use(request, [&](std::uint64_t prefix) {
            this->tell_entries([this, i, prefix](entry_state& entry) {
                entry.selector->discard_prefix(this->engines_[i].id, prefix);
            });
        });
        for (const auto prefix : request.prefixes) {
            this->tell_entries([this, i, prefix](entry_state& entry) {
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
        this->time_.after(seconds(time), [this, i, request] { this->first_token(i, request); });
    }

    void first_token(std::size_t i, const prompt& request)
    {
        auto& it = this->engines_[i];
        it.prefilling = false;
        const auto latency = to_seconds(this->time_.now() - request.arrived);
        it.latency += 0.1 * (latency - it.latency);
        if (request.arrived >= this->measured_from_) {
            this->result_.first_token.push_back(latency);
        }
        const auto rest = it.slowdown * request.answer_tokens * token_interval;
        this->time_.after(seconds(rest), [this, i, entry = request.entry] {
            --this->engines_[i].running;
            this->prefill(i);
            this->route(this->entries_[entry]);
        });
        this->prefill(i);
    }

    void tell_entries(const std::function<void(entry_state&)>& fn)
    {
        for (auto& entry : this->entries_) {
            if (uniform(this->random_) >= this->options_.event_loss) {
                this->time_.after(seconds(exponential(this->options_.event_lag, this->random_)),
                                  [&entry, fn] { fn(entry); });
            }
        }
    }

    void report_later(std::size_t i, double delay)
    {
        this->time_.after(seconds(delay), [this, i] {
            const auto& it = this->engines_[i];
            const auto queued = static_cast<unsigned>(it.waiting.size());
            const auto load = it.running + queued;
            this->time_.after(
                seconds(this->options_.report_lag),
                [this, i, load, queued, latency = seconds(it.latency), at = this->time_.now()] {
                    for (auto& entry : this->entries_) {
                        auto& view = entry.views[i];
                        view.load = load;
                        view.queued = queued;
                        view.latency = latency;
                        std::erase_if(view.dispatches, [&](const auto& sent) { return sent < at; });
                        this->route(entry);
                    }
                });
            this->report_later(i, this->options_.report_interval);
        });
    }

    run_options options_;
    std::mt19937_64 workload_; ///< the same requests for every policy
    std::mt19937_64 random_;
    virtual_time time_;
    time_point measured_from_{};
    std::deque<engine> engines_;
    std::deque<entry_state> entries_;
    run_result result_;
};

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    const auto at =
        values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, at);
    return *at;
}

/// Finds the request rate at which round robin keeps equal engines busy for a part of the time.
double rate_at_load(run_options options, double load)
{
    options.policy = "round robin";
    options.straggler = 1;
    double low = 1;
    double high = 200;
    for (int i = 0; i < 10; ++i) {
        options.rate = (low + high) / 2;
        (routing_run(options).run().busy < load ? low : high) = options.rate;
    }
    return low;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("First-token time and prefix hit rate of routing policies");
    run_options options;
    double load = 0.8;
    double straggler = 3;
    bool smoke = false;
    app.add_option("--seed", options.seed, "seed of arrivals, sizes and events");
    app.add_option("--duration", options.duration,
                   "virtual seconds; the first third is not counted");
    app.add_option("--load", load, "part of the time that engines are busy under round robin");
    app.add_option("--straggler", straggler, "slowdown of one engine in that scenario");
    app.add_option("--report-lag", options.report_lag, "seconds");
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
        double lag;
        double loss;
    };
    for (const auto& it :
         {scenario{"equal engines", 1, 2, 0.1}, scenario{"straggler", straggler, 2, 0.1},
          scenario{"poor events", 1, 20, 0.5}}) {
        for (const auto* name : {"round robin", "least reported", "product"}) {
            options.policy = name;
            options.straggler = it.slowdown;
            options.event_lag = it.lag;
            options.event_loss = it.loss;
            options.rate = rate * (engine_count - 1 + 1 / it.slowdown) / engine_count;
            const auto result = routing_run(options).run();
            fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.1f} | {:.0f} |\n", it.name, name,
                       percentile(result.first_token, 0.5), percentile(result.first_token, 0.95),
                       100 * result.hit_tokens / result.prompt_tokens, 100 * result.busy);
        }
    }
    return 0;
}
