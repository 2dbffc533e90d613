#include "StandIns/caller_load.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "StandIns/answer_check.h"
#include "StandIns/entry_directory.h"

namespace medlaryoke::standins {

namespace {

using json = nlohmann::json;

constexpr unsigned max_addresses_tried = 3;

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

/// @return 50th, 95th and 99th percentile
json percentiles(std::vector<double> samples)
{
    if (samples.empty()) {
        return nullptr;
    }
    std::ranges::sort(samples);
    const auto at = [&samples](double fraction) {
        const auto n = static_cast<double>(samples.size() - 1);
        return samples[static_cast<std::size_t>(std::lround(n * fraction))];
    };
    return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}};
}

/// One request from its first try to its end.
struct attempt {
    attempt(prepared_request made, bool is_chat, bool from_entry)
        : request(std::move(made.request)), expected(std::move(made.expected)), chat(is_chat),
          entry(from_entry)
    {
        this->restart();
    }

    void restart()
    {
        this->check = std::make_unique<answer_check>(this->expected, this->chat, this->entry);
    }

    transport::http_request request;
    std::string expected;
    bool chat;
    bool entry;
    std::unique_ptr<answer_check> check;
    std::shared_ptr<transport::http_client> client;
    time_point started = now();
    time_point first_token{};
    time_point last_token{};
    std::size_t tokens = 0;
    std::vector<double> intervals;
    unsigned tries = 0;
};

/// Counters and samples of one class.
struct class_result {
    std::uint64_t sent = 0;
    std::uint64_t attained = 0;
    std::uint64_t address_changes = 0;
    std::uint64_t tokens = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> statuses;
    std::vector<double> first_token;
    std::vector<double> interval;
    std::vector<double> total;

    [[nodiscard]] json summary() const
    {
        return {{"sent", this->sent},
                {"attained", this->attained},
                {"address_changes", this->address_changes},
                {"tokens", this->tokens},
                {"outcomes", this->outcomes},
                {"statuses", this->statuses},
                {"first_token_ms", percentiles(this->first_token)},
                {"token_interval_ms", percentiles(this->interval)},
                {"total_ms", percentiles(this->total)}};
    }
};

/// The generator and the results of one class.
struct class_state {
    class_state(const workload_class& source, bool direct, std::uint64_t seed)
        : spec(source), maker(source, direct, seed)
    {
    }

    workload_class spec;
    std::mutex mutex;
    request_maker maker;
    class_result result;
    std::size_t open = 0;
};

} // namespace

class caller_load::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, caller_load_options options)
        : context_(context), options_(std::move(options)),
          directory_(std::make_shared<entry_directory>(context, options_.addresses, options_.direct,
                                                       options_.seed))
    {
        for (const auto& source : this->options_.classes) {
            this->classes_.push_back(
                std::make_shared<class_state>(source, this->options_.direct, this->options_.seed));
        }
    }

    void start(std::function<void(json)> done)
    {
        this->done_ = std::move(done);
        this->directory_->refresh([self = this->shared_from_this()] {
            self->begin_ = now();
            for (const auto& target : self->classes_) {
                self->context_.after(target->spec.begin,
                                     [self, target] { self->start_class(target); });
            }
            self->context_.after(self->options_.run_time, [self] { self->stop(); });
        });
    }

private:
    using class_ptr = std::shared_ptr<class_state>;
    using attempt_ptr = std::shared_ptr<attempt>;

    void start_class(const class_ptr& target)
    {
        if (target->spec.rate > 0) {
            this->next_arrival(target, now());
            return;
        }
        for (std::size_t n = 0; n < target->spec.concurrency; ++n) {
            this->issue(target);
        }
    }

    [[nodiscard]] bool over(const workload_class& spec) const
    {
        const auto elapsed = now() - this->begin_;
        return elapsed >= spec.end || elapsed >= this->options_.run_time;
    }

    /// Open loop: the arrival times do not depend on the answers.
    void next_arrival(const class_ptr& target, time_point due)
    {
        if (this->over(target->spec)) {
            return;
        }
        {
            const std::scoped_lock lock(target->mutex);
            due += target->maker.next_gap();
        }
        this->context_.after(std::max(due - now(), duration{}),
                             [self = this->shared_from_this(), target, due] {
                                 if (!self->over(target->spec)) {
                                     self->issue(target);
                                     self->next_arrival(target, due);
                                 }
                             });
    }

    void issue(const class_ptr& target)
    {
        std::vector<attempt_ptr> attempts;
        {
            const std::scoped_lock lock(target->mutex);
            const auto made = target->maker.make();
            for (std::size_t n = 0; n <= target->spec.duplicates; ++n) {
                attempts.push_back(
                    std::make_shared<attempt>(made, target->spec.is_chat, !this->options_.direct));
                ++target->open;
            }
        }
        for (const auto& entry : attempts) {
            this->send(target, entry);
        }
    }

    void send(const class_ptr& target, const attempt_ptr& entry)
    {
        entry->client = this->directory_->pick();
        transport::http_timeouts timeouts;
        timeouts.first_byte = target->spec.timeout;
        timeouts.between_bytes = target->spec.timeout;
        transport::http_events events;
        events.on_head = [entry](const transport::http_head& head) {
            entry->check->add_head(head);
        };
        events.on_data = [entry](const std::string& data) { take_data(*entry, data); };
        events.on_end = [self = this->shared_from_this(), target, entry] {
            self->end(target, *entry, entry->check->end());
        };
        events.on_failure = [self = this->shared_from_this(), target,
                             entry](const transport::http_failure& failure) {
            self->failed(target, entry, failure);
        };
        entry->client->send(entry->request, timeouts, std::move(events));
    }

    static void take_data(attempt& entry, const std::string& data)
    {
        const auto tokens = entry.check->add_data(data);
        if (tokens == 0) {
            return;
        }
        const auto at = now();
        if (entry.tokens == 0) {
            entry.first_token = at;
        }
        else {
            entry.intervals.push_back(to_ms(at - entry.last_token));
        }
        // Tokens that come together have no time between them.
        entry.intervals.insert(entry.intervals.end(), tokens - 1, 0.0);
        entry.last_token = at;
        entry.tokens += tokens;
    }

    void failed(const class_ptr& target, const attempt_ptr& entry,
                const transport::http_failure& failure)
    {
        // Nothing was sent, so the caller turns to another address.
        if (!failure.maybe_sent && ++entry->tries < max_addresses_tried) {
            {
                const std::scoped_lock lock(target->mutex);
                ++target->result.address_changes;
            }
            this->directory_->refresh([self = this->shared_from_this(), target, entry] {
                entry->restart();
                self->send(target, entry);
            });
            return;
        }
        this->end(target, *entry, answer_check::fail(failure));
    }

    void end(const class_ptr& target, const attempt& entry, const std::string& outcome)
    {
        bool again = false;
        {
            const std::scoped_lock lock(target->mutex);
            --target->open;
            if (entry.started >= this->begin_ + this->options_.warm_up) {
                record(target->spec, target->result, entry, outcome);
            }
            again = target->spec.rate <= 0 && !this->over(target->spec);
        }
        if (again) {
            // A refused request is not repeated at once, so that a closed loop does not spin.
            constexpr auto pause = std::chrono::milliseconds(20);
            this->context_.after(outcome == "answered" ? duration{} : pause,
                                 [self = this->shared_from_this(), target] {
                                     if (!self->over(target->spec)) {
                                         self->issue_one(target);
                                     }
                                 });
        }
    }

    /// Replaces one ended request of a closed loop, once for all copies of a request.
    void issue_one(const class_ptr& target)
    {
        {
            const std::scoped_lock lock(target->mutex);
            if (target->open + target->spec.duplicates >=
                target->spec.concurrency * (target->spec.duplicates + 1)) {
                return;
            }
        }
        this->issue(target);
    }

    static void record(const workload_class& spec, class_result& result, const attempt& entry,
                       const std::string& outcome)
    {
        ++result.sent;
        ++result.outcomes[outcome];
        ++result.statuses[std::to_string(entry.check->status())];
        if (outcome != "answered") {
            return;
        }
        const auto at = now();
        const auto first = (entry.tokens > 0 ? entry.first_token : at) - entry.started;
        const auto interval = entry.tokens > 1 ? (entry.last_token - entry.first_token) /
                                                     static_cast<std::int64_t>(entry.tokens - 1)
                                               : duration{};
        const auto within = [](duration value, duration target) {
            return target == duration{} || value <= target;
        };
        result.attained +=
            within(first, spec.first_token_target) && within(interval, spec.token_interval_target)
                ? 1
                : 0;
        result.tokens += entry.tokens;
        result.first_token.push_back(to_ms(first));
        result.total.push_back(to_ms(at - entry.started));
        result.interval.insert(result.interval.end(), entry.intervals.begin(),
                               entry.intervals.end());
    }

    /// Waits for the open requests, then reports.
    void stop()
    {
        std::size_t open = 0;
        for (const auto& target : this->classes_) {
            const std::scoped_lock lock(target->mutex);
            open += target->open;
        }
        if (open > 0 &&
            now() < this->begin_ + this->options_.run_time + this->options_.drain_time) {
            constexpr auto poll_interval = std::chrono::milliseconds(20);
            this->context_.after(poll_interval,
                                 [self = this->shared_from_this()] { self->stop(); });
            return;
        }
        json classes = json::object();
        for (const auto& target : this->classes_) {
            const std::scoped_lock lock(target->mutex);
            classes[target->spec.name] = target->result.summary();
            classes[target->spec.name]["unfinished"] = target->open;
        }
        this->done_({{"classes", classes},
                     {"run_time_s", to_ms(this->options_.run_time) / 1000},
                     {"warm_up_s", to_ms(this->options_.warm_up) / 1000},
                     {"address_refreshes", this->directory_->refreshes()},
                     {"seed", this->options_.seed}});
    }

    transport::runtime& context_;
    caller_load_options options_;
    std::shared_ptr<entry_directory> directory_;
    std::vector<class_ptr> classes_;
    time_point begin_{};
    std::function<void(json)> done_;
};

caller_load::caller_load(transport::runtime& context, caller_load_options options)
    : impl_(std::make_shared<implementation>(context, std::move(options)))
{
}

void caller_load::start(std::function<void(json)> done)
{
    this->impl_->start(std::move(done));
}

} // namespace medlaryoke::standins
