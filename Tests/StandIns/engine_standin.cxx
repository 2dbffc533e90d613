#include "StandIns/engine_standin.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "StandIns/answer_text.h"
#include "StandIns/load_history.h"
#include "StandIns/prefix_cache.h"
#include "StandIns/standin_http.h"
#include "transport/error_response.h"
#include "transport/http_server.h"

namespace medlaryoke::standins {

namespace {

using json = nlohmann::json;
using transport::http_request;
using stream_ptr = std::shared_ptr<transport::response_stream>;

constexpr unsigned status_ok = 200;
constexpr std::size_t max_stored_cache_events = 100'000;

/// A chat request in the queue or in the batch.
struct chat_request {
    std::string id;
    std::string model;
    std::string prompt;
    std::size_t answer_tokens = 0; ///< length that the answer will have
    bool stream = false;
    stream_ptr reply;
    std::size_t prompt_tokens = 0;
    std::size_t prefill_tokens_left = 0; ///< prompt tokens to be handled before the first token
    std::size_t produced_tokens = 0;     ///< tokens of the answer so far
    std::string answer;                  ///< text so far; kept only if the answer is not streamed
};

using chat_request_ptr = std::shared_ptr<chat_request>;

/// The load that `GET /load` reports.
struct load_sample {
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t cached_blocks = 0;
    duration step_duration{};
};

/// Faults set by `PUT /control/faults`; the members are named after its keys.
struct faults {
    bool stall = false;                 ///< steps run but generate no tokens
    double slow_factor = 1;             ///< multiplies the duration of each step
    unsigned fail_status = 0;           ///< HTTP status of every new request; 0: no failure
    std::size_t break_after_tokens = 0; ///< tokens after which an answer is aborted; 0: never
};

/// Counters since the start, reported by `GET /control/stats`.
struct counters {
    std::uint64_t received = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t generated_tokens = 0;
};

/// A change of the prefix cache, reported by `GET /cache-events`.
struct cache_event {
    time_point time;
    std::uint64_t sequence; ///< lost events leave gaps
    cache_change change;
};

std::size_t count_tokens(std::size_t characters)
{
    return (characters + characters_per_token - 1) / characters_per_token;
}

json make_chunk(const chat_request& chat, const json& delta, const json& finish_reason)
{
    return {{"id", chat.id},
            {"object", "chat.completion.chunk"},
            {"created", 0},
            {"model", chat.model},
            {"choices",
             json::array({{{"index", 0}, {"delta", delta}, {"finish_reason", finish_reason}}})}};
}

json make_completion(const chat_request& chat)
{
    return {
        {"id", chat.id},
        {"object", "chat.completion"},
        {"created", 0},
        {"model", chat.model},
        {"choices", json::array({{{"index", 0},
                                  {"message", {{"role", "assistant"}, {"content", chat.answer}}},
                                  {"finish_reason", "length"}}})},
        {"usage",
         {{"prompt_tokens", chat.prompt_tokens},
          {"completion_tokens", chat.produced_tokens},
          {"total_tokens", chat.prompt_tokens + chat.produced_tokens}}}};
}

std::string make_sse_event(const json& body)
{
    return "data: " + body.dump() + "\n\n";
}

} // namespace

class engine_standin::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, engine_options options)
        : context_(context), options_(std::move(options)), cache_(options_.cache_blocks),
          load_history_(options_.load_lag), random_(options_.seed)
    {
    }

    void start_server()
    {
        this->server_ = std::make_unique<transport::http_server>(
            this->context_, transport::http_server_options{this->options_.address},
            [weak = this->weak_from_this()](const http_request& request, const stream_ptr& reply) {
                if (const auto self = weak.lock()) {
                    self->handle_request(request, reply);
                }
            });
    }

    void stop()
    {
        this->server_.reset();
        const std::scoped_lock lock(this->mutex_);
        this->closed_ = true;
    }

    [[nodiscard]] std::string address() const { return this->server_->address(); }

private:
    void handle_request(const http_request& request, const stream_ptr& reply)
    {
        const auto target = parse_target(request.target);
        const auto& path = target.segments;
        const bool post = request.method == "POST";
        if (target.path == "/v1/chat/completions" && post) {
            this->enqueue_request(request, reply);
        }
        else if (path.size() == 2 && path[0] == "cancel" && post) {
            const bool found = this->cancel(path[1]);
            respond_json(*reply, status_ok, {{"cancelled", found}});
        }
        else if (target.path == "/load" && request.method == "GET") {
            this->send_load(*reply);
        }
        else if (target.path == "/cache-events" && request.method == "GET") {
            this->send_cache_events(query_number(target, "from", 1), *reply);
        }
        else if (target.path == "/orders" && post) {
            this->execute_order(parse_body(request), *reply);
        }
        else if (!path.empty() && path[0] == "control") {
            this->handle_control(request, target, *reply);
        }
        else {
            throw error(error_kind::not_found,
                        fmt::format("{} {} does not exist", request.method, request.target),
                        "Use a path of the engine API.");
        }
    }

    void enqueue_request(const http_request& request, const stream_ptr& reply)
    {
        const auto body = parse_body(request);
        auto chat = std::make_shared<chat_request>();
        chat->id = transport::find_header(request.headers, "X-Request-Id");
        chat->model = body.value("model", "");
        chat->prompt = render_prompt(body);
        chat->prompt_tokens = count_tokens(chat->prompt.size());
        chat->answer_tokens =
            std::clamp<std::size_t>(body.value("max_tokens", this->options_.default_answer_tokens),
                                    1, this->options_.max_answer_tokens);
        chat->stream = body.value("stream", false);
        chat->reply = reply;
        const auto priority = body.value("priority", 0);

        const std::scoped_lock lock(this->mutex_);
        ++this->counters_.received;
        if (this->faults_.fail_status != 0) {
            ++this->counters_.refused;
            respond_json(*reply, this->faults_.fail_status,
                         {{"error", {{"message", "injected fault"}, {"type", "server_error"}}}});
            return;
        }
        if (this->queue_.size() >= this->options_.max_queued_requests) {
            ++this->counters_.refused;
            throw error(
                error_kind::overloaded,
                fmt::format("the queue is full: {} requests are waiting", this->queue_.size()),
                "Send the request to another engine or later.");
        }
        if (chat->id.empty()) {
            chat->id = fmt::format("chatcmpl-{}", ++this->last_generated_id_);
        }
        this->queue_[{priority, ++this->last_arrival_number_}] = chat;
        // A client that disconnects cancels its request.
        reply->on_closed([weak = this->weak_from_this(), id = chat->id] {
            if (const auto self = weak.lock()) {
                self->cancel(id);
            }
        });
        this->record_load();
        if (!this->steps_running_) {
            this->steps_running_ = true;
            this->start_step();
        }
    }

    bool cancel(const std::string& id)
    {
        const std::scoped_lock lock(this->mutex_);
        const auto matches = [&id](const chat_request_ptr& chat) { return chat->id == id; };
        chat_request_ptr found;
        const auto queue_it = std::ranges::find_if(
            this->queue_, [&matches](const auto& it) { return matches(it.second); });
        if (queue_it != this->queue_.end()) {
            found = queue_it->second;
            this->queue_.erase(queue_it);
        }
        const auto batch_it = std::ranges::find_if(this->batch_, matches);
        if (!found && batch_it != this->batch_.end()) {
            found = *batch_it;
            this->batch_.erase(batch_it);
        }
        if (found) {
            ++this->counters_.cancelled;
            found->reply->abort();
            this->record_load();
        }
        return found != nullptr;
    }

    /// Fills the batch from the queue and starts a step, or stops stepping if the batch is empty.
    /// The caller holds the mutex.
    void start_step()
    {
        if (this->closed_) {
            return;
        }
        while (this->batch_.size() < this->options_.slots && !this->queue_.empty()) {
            this->add_to_batch(this->queue_.begin()->second);
            this->queue_.erase(this->queue_.begin());
        }
        if (this->batch_.empty()) {
            this->steps_running_ = false;
            return;
        }
        auto prefill_budget = this->options_.prefill_tokens_per_step;
        std::size_t prefilled_tokens = 0;
        for (const auto& chat : this->batch_) {
            const auto n = std::min(chat->prefill_tokens_left, prefill_budget);
            chat->prefill_tokens_left -= n;
            prefill_budget -= n;
            prefilled_tokens += n;
        }
        const auto batch_size = static_cast<std::int64_t>(this->batch_.size());
        const auto nominal_duration =
            this->options_.step_time + this->options_.step_time_per_request * batch_size +
            this->options_.prefill_time_per_token * static_cast<std::int64_t>(prefilled_tokens);
        this->step_duration_ = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::nano>(nominal_duration) * this->faults_.slow_factor);
        this->record_load();
        // A step begins when the previous one was due to end, so that timer delays do not add up.
        const time_point now = std::chrono::steady_clock::now();
        const auto begin = now - this->step_end_ < this->step_duration_ ? this->step_end_ : now;
        this->step_end_ = begin + this->step_duration_;
        this->context_.after(this->step_end_ - now, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->end_step();
            }
        });
    }

    void end_step()
    {
        const std::scoped_lock lock(this->mutex_);
        if (!this->faults_.stall) {
            for (const auto& chat : this->batch_) {
                if (chat->prefill_tokens_left == 0) {
                    this->produce_token(*chat);
                }
            }
            std::erase_if(this->batch_, [this](const chat_request_ptr& chat) {
                return chat->produced_tokens >= chat->answer_tokens || this->must_break_off(*chat);
            });
        }
        this->start_step();
    }

    void add_to_batch(const chat_request_ptr& chat)
    {
        std::vector<cache_change> changes;
        const auto hits = this->cache_.look_up_and_store(prefix_blocks(chat->prompt), changes);
        const auto cached = count_tokens(hits * characters_per_block);
        chat->prefill_tokens_left = std::max<std::size_t>(chat->prompt_tokens - cached, 1);
        this->counters_.prompt_tokens += chat->prompt_tokens;
        this->counters_.cached_tokens += cached;
        this->batch_.push_back(chat);
        for (const auto& change : changes) {
            this->record_cache_change(change);
        }
    }

    void record_cache_change(const cache_change& change)
    {
        const auto sequence = ++this->last_cache_event_sequence_;
        if (std::uniform_real_distribution<>(0, 1)(this->random_) <
            this->options_.cache_event_loss_fraction) {
            return;
        }
        this->cache_events_.push_back({std::chrono::steady_clock::now(), sequence, change});
        if (this->cache_events_.size() > max_stored_cache_events) {
            this->cache_events_.pop_front();
        }
    }

    [[nodiscard]] bool must_break_off(const chat_request& chat) const
    {
        const auto limit = this->faults_.break_after_tokens;
        return limit != 0 && chat.produced_tokens >= limit;
    }

    void produce_token(chat_request& chat)
    {
        auto token = answer_token(chat.prompt, chat.produced_tokens);
        ++chat.produced_tokens;
        ++this->counters_.generated_tokens;
        const bool last = chat.produced_tokens >= chat.answer_tokens;
        if (chat.stream) {
            if (chat.produced_tokens == 1) {
                chat.reply->start(
                    {status_ok,
                     {{"Content-Type", "text/event-stream"}, {"X-Request-Id", chat.id}}});
            }
            json delta{{"content", std::move(token)}};
            if (chat.produced_tokens == 1) {
                delta["role"] = "assistant";
            }
            auto text = make_sse_event(make_chunk(chat, delta, nullptr));
            if (last) {
                text +=
                    make_sse_event(make_chunk(chat, json::object(), "length")) + "data: [DONE]\n\n";
            }
            chat.reply->write(std::move(text));
        }
        else {
            chat.answer += token;
        }
        if (last) {
            ++this->counters_.completed;
            this->finish_response(chat);
        }
        else if (this->must_break_off(chat)) {
            chat.reply->abort();
        }
    }

    static void finish_response(const chat_request& chat)
    {
        if (chat.stream) {
            chat.reply->finish();
            return;
        }
        auto response = transport::make_json_response(status_ok, make_completion(chat).dump());
        response.head.headers.push_back({"X-Request-Id", chat.id});
        chat.reply->respond(std::move(response));
    }

    void record_load()
    {
        this->load_history_.add(
            std::chrono::steady_clock::now(),
            {this->batch_.size(), this->queue_.size(), this->cache_.size(), this->step_duration_});
    }

    void send_load(transport::response_stream& reply)
    {
        const std::scoped_lock lock(this->mutex_);
        const auto sample = this->load_history_.get(std::chrono::steady_clock::now());
        respond_json(
            reply, status_ok,
            {{"running", sample.running},
             {"queued", sample.queued},
             {"slots", this->options_.slots},
             {"cached_blocks", sample.cached_blocks},
             {"step_us", std::chrono::duration_cast<std::chrono::microseconds>(sample.step_duration)
                             .count()}});
    }

    void send_cache_events(std::uint64_t from, transport::response_stream& reply)
    {
        const std::scoped_lock lock(this->mutex_);
        const time_point newest_visible =
            std::chrono::steady_clock::now() - this->options_.cache_event_lag;
        auto events = json::array();
        auto next = from;
        for (const auto& event : this->cache_events_) {
            if (event.sequence < from || event.time > newest_visible) {
                continue;
            }
            events.push_back({{"sequence", event.sequence},
                              {"type", event.change.stored ? "stored" : "evicted"},
                              {"block", fmt::format("{:016x}", event.change.block)}});
            next = event.sequence + 1;
        }
        respond_json(reply, status_ok, {{"next", next}, {"events", events}});
    }

    void execute_order(const json& body, transport::response_stream& reply)
    {
        const auto fence = body.value("fence", std::uint64_t{0});
        const auto action = body.value("action", "");
        const std::scoped_lock lock(this->mutex_);
        if (this->options_.checks_fences && fence < this->highest_fence_) {
            throw error(
                error_kind::conflict,
                fmt::format("fence {} of the order is lower than fence {} of an earlier order",
                            fence, this->highest_fence_),
                "Renew the lease before sending orders.");
        }
        constexpr std::array<std::string_view, 4> actions{"load_model", "load_adapter",
                                                          "load_version", "change_role"};
        if (std::ranges::find(actions, action) == actions.end()) {
            throw error(error_kind::invalid_argument, fmt::format("unknown order \"{}\"", action),
                        "Use load_model, load_adapter, load_version or change_role.");
        }
        this->highest_fence_ = std::max(this->highest_fence_, fence);
        this->executed_orders_.push_back(
            {{"action", action}, {"argument", body.value("argument", "")}, {"fence", fence}});
        respond_json(reply, status_ok, {{"done", true}});
    }

    void handle_control(const http_request& request, const parsed_target& target,
                        transport::response_stream& reply)
    {
        const std::scoped_lock lock(this->mutex_);
        if (target.path == "/control/stats") {
            const auto& counts = this->counters_;
            respond_json(reply, status_ok,
                         {{"received", counts.received},
                          {"completed", counts.completed},
                          {"cancelled", counts.cancelled},
                          {"refused", counts.refused},
                          {"prompt_tokens", counts.prompt_tokens},
                          {"cached_tokens", counts.cached_tokens},
                          {"generated_tokens", counts.generated_tokens},
                          {"running", this->batch_.size()},
                          {"queued", this->queue_.size()}});
        }
        else if (target.path == "/control/orders") {
            respond_json(reply, status_ok, {{"orders", this->executed_orders_}});
        }
        else if (target.path == "/control/faults" && request.method == "PUT") {
            const auto body = parse_body(request);
            auto& current = this->faults_;
            current.stall = body.value("stall", current.stall);
            current.slow_factor = body.value("slow_factor", current.slow_factor);
            current.fail_status = body.value("fail_status", current.fail_status);
            current.break_after_tokens =
                body.value("break_after_tokens", current.break_after_tokens);
            respond_json(reply, status_ok, json::object());
        }
        else {
            throw error(error_kind::not_found,
                        fmt::format("{} {} does not exist", request.method, request.target),
                        "Use GET /control/stats, GET /control/orders or PUT /control/faults.");
        }
    }

    transport::runtime& context_;
    engine_options options_;
    std::mutex mutex_;
    prefix_cache cache_;
    load_history<load_sample> load_history_;
    std::mt19937_64 random_;
    faults faults_;
    counters counters_;
    /// Waiting requests by priority and arrival number.
    std::map<std::pair<int, std::uint64_t>, chat_request_ptr> queue_;
    std::vector<chat_request_ptr> batch_;
    std::deque<cache_event> cache_events_;
    std::uint64_t last_cache_event_sequence_ = 0;
    std::uint64_t last_generated_id_ = 0;
    std::uint64_t last_arrival_number_ = 0;
    std::uint64_t highest_fence_ = 0;
    json executed_orders_ = json::array();
    duration step_duration_{}; ///< of the current step
    time_point step_end_{};    ///< when the current step is due to end
    bool steps_running_ = false;
    bool closed_ = false;
    std::unique_ptr<transport::http_server> server_;
};

engine_standin::engine_standin(transport::runtime& context, engine_options options)
    : impl_(std::make_shared<implementation>(context, std::move(options)))
{
    this->impl_->start_server();
}

engine_standin::~engine_standin()
{
    this->impl_->stop();
}

std::string engine_standin::address() const
{
    return this->impl_->address();
}

} // namespace medlaryoke::standins
