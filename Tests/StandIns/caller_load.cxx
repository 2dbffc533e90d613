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

constexpr unsigned max_connect_attempts = 3;

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

/// @return the 50th, 95th and 99th percentile; null if there are no samples
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

/// One request from its first attempt to its end, with the measurements of its answer.
struct pending_request {
    pending_request(prepared_request prepared, bool is_chat, bool from_entry)
        : message(std::move(prepared.request)), expected(std::move(prepared.expected)),
          expects_chat(is_chat), through_entry(from_entry)
    {
        this->restart();
    }

    /// Discards what was received of the answer, before the request is sent again.
    void restart()
    {
        this->check =
            std::make_unique<answer_check>(this->expected, this->expects_chat, this->through_entry);
    }

    transport::http_request message;
    std::string expected; ///< text of a chat answer, or body digest of a service call
    bool expects_chat;
    bool through_entry;
    std::unique_ptr<answer_check> check;
    std::shared_ptr<transport::http_client> client;
    time_point started = now();
    time_point first_token{};
    time_point last_token{};
    std::size_t tokens = 0;
    std::vector<double> token_intervals_ms;
    unsigned failed_attempts = 0;
};

/// Counters and samples of one class of the workload.
struct class_result {
    std::uint64_t sent = 0;
    std::uint64_t attained = 0;        ///< answered within the targets
    std::uint64_t address_changes = 0; ///< attempts repeated at another address
    std::uint64_t tokens = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> statuses;
    std::vector<double> first_token_ms;
    std::vector<double> token_interval_ms;
    std::vector<double> total_ms;

    [[nodiscard]] json summary() const
    {
        return {{"sent", this->sent},
                {"attained", this->attained},
                {"address_changes", this->address_changes},
                {"tokens", this->tokens},
                {"outcomes", this->outcomes},
                {"statuses", this->statuses},
                {"first_token_ms", percentiles(this->first_token_ms)},
                {"token_interval_ms", percentiles(this->token_interval_ms)},
                {"total_ms", percentiles(this->total_ms)}};
    }
};

/// The request generator and the results of one class of the workload.
struct class_load {
    class_load(const workload_class& source, bool direct, std::uint64_t seed)
        : spec(source), generator(source, direct, seed)
    {
    }

    workload_class spec;
    std::mutex mutex;
    request_generator generator;
    class_result result;
    std::size_t open_requests = 0; ///< requests sent and not ended
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
            this->class_loads_.push_back(
                std::make_shared<class_load>(source, this->options_.direct, this->options_.seed));
        }
    }

    void start(std::function<void(json)> done)
    {
        this->on_finished_ = std::move(done);
        this->directory_->refresh([self = this->shared_from_this()] {
            self->start_time_ = now();
            for (const auto& load : self->class_loads_) {
                self->context_.after(load->spec.begin, [self, load] { self->start_class(load); });
            }
            self->context_.after(self->options_.run_time, [self] { self->finish_run(); });
        });
    }

private:
    using class_load_ptr = std::shared_ptr<class_load>;
    using pending_request_ptr = std::shared_ptr<pending_request>;

    void start_class(const class_load_ptr& load)
    {
        if (load->spec.rate > 0) {
            this->schedule_next_arrival(load, now());
            return;
        }
        for (std::size_t n = 0; n < load->spec.concurrency; ++n) {
            this->send_next_request(load);
        }
    }

    [[nodiscard]] bool is_over(const workload_class& spec) const
    {
        const auto elapsed = now() - this->start_time_;
        return elapsed >= spec.end || elapsed >= this->options_.run_time;
    }

    /// Schedules the next request of an open loop, whose arrival times do not depend on the
    /// answers.
    void schedule_next_arrival(const class_load_ptr& load, time_point due)
    {
        if (this->is_over(load->spec)) {
            return;
        }
        {
            const std::scoped_lock lock(load->mutex);
            due += load->generator.next_interarrival_time();
        }
        this->context_.after(std::max(due - now(), duration{}),
                             [self = this->shared_from_this(), load, due] {
                                 if (!self->is_over(load->spec)) {
                                     self->send_next_request(load);
                                     self->schedule_next_arrival(load, due);
                                 }
                             });
    }

    /// Sends the next request of the class and its duplicates.
    void send_next_request(const class_load_ptr& load)
    {
        std::vector<pending_request_ptr> requests;
        {
            const std::scoped_lock lock(load->mutex);
            const auto prepared = load->generator.generate();
            for (std::size_t n = 0; n <= load->spec.duplicates; ++n) {
                requests.push_back(std::make_shared<pending_request>(prepared, load->spec.is_chat,
                                                                     !this->options_.direct));
                ++load->open_requests;
            }
        }
        for (const auto& pending : requests) {
            this->send(load, pending);
        }
    }

    void send(const class_load_ptr& load, const pending_request_ptr& pending)
    {
        pending->client = this->directory_->pick_client();
        transport::http_timeouts timeouts;
        timeouts.first_byte = load->spec.timeout;
        timeouts.between_bytes = load->spec.timeout;
        transport::http_events events;
        events.on_head = [pending](const transport::http_head& head) {
            pending->check->add_head(head);
        };
        events.on_data = [pending](const std::string& data) { record_data(*pending, data); };
        events.on_end = [self = this->shared_from_this(), load, pending] {
            self->finish_request(load, *pending, pending->check->outcome());
        };
        events.on_failure = [self = this->shared_from_this(), load,
                             pending](const transport::http_failure& failure) {
            self->handle_failure(load, pending, failure);
        };
        pending->client->send(pending->message, timeouts, std::move(events));
    }

    static void record_data(pending_request& pending, const std::string& data)
    {
        const auto tokens = pending.check->add_data(data);
        if (tokens == 0) {
            return;
        }
        const auto time = now();
        if (pending.tokens == 0) {
            pending.first_token = time;
        }
        else {
            pending.token_intervals_ms.push_back(to_ms(time - pending.last_token));
        }
        // Tokens of the same piece of data arrive at the same time.
        pending.token_intervals_ms.insert(pending.token_intervals_ms.end(), tokens - 1, 0.0);
        pending.last_token = time;
        pending.tokens += tokens;
    }

    void handle_failure(const class_load_ptr& load, const pending_request_ptr& pending,
                        const transport::http_failure& failure)
    {
        // No byte was sent, so the request is safe to repeat at another address.
        if (!failure.maybe_sent && ++pending->failed_attempts < max_connect_attempts) {
            {
                const std::scoped_lock lock(load->mutex);
                ++load->result.address_changes;
            }
            this->directory_->refresh([self = this->shared_from_this(), load, pending] {
                pending->restart();
                self->send(load, pending);
            });
            return;
        }
        this->finish_request(load, *pending, answer_check::failure_outcome(failure));
    }

    void finish_request(const class_load_ptr& load, const pending_request& pending,
                        const std::string& outcome)
    {
        bool sends_another = false;
        {
            const std::scoped_lock lock(load->mutex);
            --load->open_requests;
            if (pending.started >= this->start_time_ + this->options_.warm_up) {
                record(load->spec, load->result, pending, outcome);
            }
            sends_another = load->spec.rate <= 0 && !this->is_over(load->spec);
        }
        if (sends_another) {
            // After a failure the next request waits, so that a closed loop does not spin.
            constexpr auto pause = std::chrono::milliseconds(20);
            this->context_.after(outcome == "answered" ? duration{} : pause,
                                 [self = this->shared_from_this(), load] {
                                     if (!self->is_over(load->spec)) {
                                         self->replace_ended_request(load);
                                     }
                                 });
        }
    }

    /// Sends the next request of a closed loop once the concurrency leaves capacity for it and all
    /// of its duplicates.
    void replace_ended_request(const class_load_ptr& load)
    {
        {
            const std::scoped_lock lock(load->mutex);
            if (load->open_requests + load->spec.duplicates >=
                load->spec.concurrency * (load->spec.duplicates + 1)) {
                return;
            }
        }
        this->send_next_request(load);
    }

    static void record(const workload_class& spec, class_result& result,
                       const pending_request& pending, const std::string& outcome)
    {
        ++result.sent;
        ++result.outcomes[outcome];
        ++result.statuses[std::to_string(pending.check->status())];
        if (outcome != "answered") {
            return;
        }
        const auto time = now();
        const auto first = (pending.tokens > 0 ? pending.first_token : time) - pending.started;
        const auto interval = pending.tokens > 1 ? (pending.last_token - pending.first_token) /
                                                       static_cast<std::int64_t>(pending.tokens - 1)
                                                 : duration{};
        const auto within = [](duration value, duration limit) {
            return limit == duration{} || value <= limit;
        };
        result.attained +=
            within(first, spec.first_token_target) && within(interval, spec.token_interval_target)
                ? 1
                : 0;
        result.tokens += pending.tokens;
        result.first_token_ms.push_back(to_ms(first));
        result.total_ms.push_back(to_ms(time - pending.started));
        result.token_interval_ms.insert(result.token_interval_ms.end(),
                                        pending.token_intervals_ms.begin(),
                                        pending.token_intervals_ms.end());
    }

    /// Waits for the open requests, at most for the drain time, then reports the summary.
    void finish_run()
    {
        std::size_t open_requests = 0;
        for (const auto& load : this->class_loads_) {
            const std::scoped_lock lock(load->mutex);
            open_requests += load->open_requests;
        }
        if (open_requests > 0 &&
            now() < this->start_time_ + this->options_.run_time + this->options_.drain_time) {
            constexpr auto poll_interval = std::chrono::milliseconds(20);
            this->context_.after(poll_interval,
                                 [self = this->shared_from_this()] { self->finish_run(); });
            return;
        }
        json classes = json::object();
        for (const auto& load : this->class_loads_) {
            const std::scoped_lock lock(load->mutex);
            classes[load->spec.name] = load->result.summary();
            classes[load->spec.name]["unfinished"] = load->open_requests;
        }
        this->on_finished_({{"classes", classes},
                            {"run_time_s", to_ms(this->options_.run_time) / 1000},
                            {"warm_up_s", to_ms(this->options_.warm_up) / 1000},
                            {"address_refreshes", this->directory_->refresh_count()},
                            {"seed", this->options_.seed}});
    }

    transport::runtime& context_;
    caller_load_options options_;
    std::shared_ptr<entry_directory> directory_;
    std::vector<class_load_ptr> class_loads_;
    time_point start_time_{};
    std::function<void(json)> on_finished_;
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
