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
constexpr std::size_t max_kept_events = 100'000;

/// One chat request, waiting or in the batch.
struct generation {
    std::string id;
    std::string model;
    std::string prompt;
    std::size_t tokens = 0; ///< length of the answer
    bool stream = false;
    stream_ptr reply;
    std::size_t prompt_tokens = 0;
    std::size_t prefill_left = 0;
    std::size_t produced = 0;
    std::string text;
};

using generation_ptr = std::shared_ptr<generation>;

struct load_sample {
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t cached_blocks = 0;
    duration step{};
};

struct faults {
    bool stall = false;
    double slow_factor = 1;
    unsigned fail_status = 0;
    std::size_t break_after_tokens = 0;
};

struct counters {
    std::uint64_t received = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t generated_tokens = 0;
};

struct cache_event {
    time_point at;
    std::uint64_t sequence;
    cache_change change;
};

std::size_t to_tokens(std::size_t characters)
{
    return (characters + characters_per_token - 1) / characters_per_token;
}

json make_chunk(const generation& target, const json& delta, const json& finish_reason)
{
    return {{"id", target.id},
            {"object", "chat.completion.chunk"},
            {"created", 0},
            {"model", target.model},
            {"choices",
             json::array({{{"index", 0}, {"delta", delta}, {"finish_reason", finish_reason}}})}};
}

json make_completion(const generation& target)
{
    return {
        {"id", target.id},
        {"object", "chat.completion"},
        {"created", 0},
        {"model", target.model},
        {"choices", json::array({{{"index", 0},
                                  {"message", {{"role", "assistant"}, {"content", target.text}}},
                                  {"finish_reason", "length"}}})},
        {"usage",
         {{"prompt_tokens", target.prompt_tokens},
          {"completion_tokens", target.produced},
          {"total_tokens", target.prompt_tokens + target.produced}}}};
}

std::string to_event(const json& body)
{
    return "data: " + body.dump() + "\n\n";
}

} // namespace

class engine_standin::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, engine_options options)
        : context_(context), options_(std::move(options)), cache_(options_.cache_blocks),
          loads_(options_.load_lag), random_(options_.seed)
    {
    }

    void open()
    {
        this->server_ = std::make_unique<transport::http_server>(
            this->context_, transport::http_server_options{this->options_.address},
            [weak = this->weak_from_this()](const http_request& request, const stream_ptr& reply) {
                if (const auto self = weak.lock()) {
                    self->receive(request, reply);
                }
            });
    }

    void close()
    {
        this->server_.reset();
        const std::scoped_lock lock(this->mutex_);
        this->closed_ = true;
    }

    [[nodiscard]] std::string address() const { return this->server_->address(); }

private:
    void receive(const http_request& request, const stream_ptr& reply)
    {
        const auto target = parse_target(request.target);
        const auto& path = target.segments;
        const bool post = request.method == "POST";
        if (target.path == "/v1/chat/completions" && post) {
            this->add_generation(request, reply);
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
            this->obey(parse_body(request), *reply);
        }
        else if (!path.empty() && path[0] == "control") {
            this->control(request, target, *reply);
        }
        else {
            throw error(error_kind::not_found,
                        fmt::format("{} {} does not exist", request.method, request.target),
                        "Use a path of the engine.");
        }
    }

    void add_generation(const http_request& request, const stream_ptr& reply)
    {
        const auto body = parse_body(request);
        auto added = std::make_shared<generation>();
        added->id = transport::find_header(request.headers, "X-Request-Id");
        added->model = body.value("model", "");
        added->prompt = render_prompt(body);
        added->prompt_tokens = to_tokens(added->prompt.size());
        added->tokens = std::clamp<std::size_t>(
            body.value("max_tokens", this->options_.default_tokens), 1, this->options_.max_tokens);
        added->stream = body.value("stream", false);
        added->reply = reply;
        const auto priority = body.value("priority", 0);

        const std::scoped_lock lock(this->mutex_);
        ++this->counters_.received;
        if (this->faults_.fail_status != 0) {
            ++this->counters_.refused;
            respond_json(*reply, this->faults_.fail_status,
                         {{"error", {{"message", "told to fail"}, {"type", "server_error"}}}});
            return;
        }
        if (this->queue_.size() >= this->options_.max_queue) {
            ++this->counters_.refused;
            throw error(error_kind::overloaded,
                        fmt::format("{} requests are waiting", this->queue_.size()),
                        "Send the request to another engine or later.");
        }
        if (added->id.empty()) {
            added->id = fmt::format("chatcmpl-{}", ++this->last_id_);
        }
        this->queue_[{priority, ++this->last_arrival_}] = added;
        // The engine forgets the request if its client goes away.
        reply->on_closed([weak = this->weak_from_this(), id = added->id] {
            if (const auto self = weak.lock()) {
                self->cancel(id);
            }
        });
        this->note_load();
        if (!this->stepping_) {
            this->stepping_ = true;
            this->start_step();
        }
    }

    bool cancel(const std::string& id)
    {
        const std::scoped_lock lock(this->mutex_);
        const auto matches = [&id](const generation_ptr& entry) { return entry->id == id; };
        generation_ptr found;
        const auto queued = std::ranges::find_if(
            this->queue_, [&matches](const auto& entry) { return matches(entry.second); });
        if (queued != this->queue_.end()) {
            found = queued->second;
            this->queue_.erase(queued);
        }
        const auto running = std::ranges::find_if(this->batch_, matches);
        if (!found && running != this->batch_.end()) {
            found = *running;
            this->batch_.erase(running);
        }
        if (found) {
            ++this->counters_.cancelled;
            found->reply->abort();
            this->note_load();
        }
        return found != nullptr;
    }

    /// Admits waiting requests and waits for the length of one step.
    void start_step()
    {
        if (this->closed_) {
            return;
        }
        while (this->batch_.size() < this->options_.slots && !this->queue_.empty()) {
            this->admit(this->queue_.begin()->second);
            this->queue_.erase(this->queue_.begin());
        }
        if (this->batch_.empty()) {
            this->stepping_ = false;
            return;
        }
        auto budget = this->options_.prefill_tokens_per_step;
        std::size_t prefilled = 0;
        for (const auto& entry : this->batch_) {
            const auto n = std::min(entry->prefill_left, budget);
            entry->prefill_left -= n;
            budget -= n;
            prefilled += n;
        }
        const auto batch = static_cast<std::int64_t>(this->batch_.size());
        const auto ideal =
            this->options_.step_time + this->options_.step_time_per_request * batch +
            this->options_.prefill_time_per_token * static_cast<std::int64_t>(prefilled);
        this->last_step_ = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::nano>(ideal) * this->faults_.slow_factor);
        this->note_load();
        // Steps follow each other without the delay of the timer adding up.
        const time_point now = std::chrono::steady_clock::now();
        const auto begin = now - this->step_due_ < this->last_step_ ? this->step_due_ : now;
        this->step_due_ = begin + this->last_step_;
        this->context_.after(this->step_due_ - now, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->end_step();
            }
        });
    }

    void end_step()
    {
        const std::scoped_lock lock(this->mutex_);
        if (!this->faults_.stall) {
            for (const auto& entry : this->batch_) {
                if (entry->prefill_left == 0) {
                    this->produce(*entry);
                }
            }
            std::erase_if(this->batch_, [this](const generation_ptr& entry) {
                return entry->produced >= entry->tokens || this->breaks_off(*entry);
            });
        }
        this->start_step();
    }

    void admit(const generation_ptr& entry)
    {
        std::vector<cache_change> changes;
        const auto hits = this->cache_.use(prefix_blocks(entry->prompt), changes);
        const auto cached = to_tokens(hits * characters_per_block);
        entry->prefill_left = std::max<std::size_t>(entry->prompt_tokens - cached, 1);
        this->counters_.prompt_tokens += entry->prompt_tokens;
        this->counters_.cached_tokens += cached;
        this->batch_.push_back(entry);
        for (const auto& change : changes) {
            this->note_cache_change(change);
        }
    }

    void note_cache_change(const cache_change& change)
    {
        const auto sequence = ++this->last_event_;
        if (std::uniform_real_distribution<>(0, 1)(this->random_) <
            this->options_.cache_event_loss) {
            return;
        }
        this->events_.push_back({std::chrono::steady_clock::now(), sequence, change});
        if (this->events_.size() > max_kept_events) {
            this->events_.pop_front();
        }
    }

    [[nodiscard]] bool breaks_off(const generation& entry) const
    {
        const auto limit = this->faults_.break_after_tokens;
        return limit != 0 && entry.produced >= limit;
    }

    void produce(generation& entry)
    {
        auto token = answer_token(entry.prompt, entry.produced);
        ++entry.produced;
        ++this->counters_.generated_tokens;
        const bool last = entry.produced >= entry.tokens;
        if (entry.stream) {
            if (entry.produced == 1) {
                entry.reply->start(
                    {status_ok,
                     {{"Content-Type", "text/event-stream"}, {"X-Request-Id", entry.id}}});
            }
            json delta{{"content", std::move(token)}};
            if (entry.produced == 1) {
                delta["role"] = "assistant";
            }
            auto text = to_event(make_chunk(entry, delta, nullptr));
            if (last) {
                text += to_event(make_chunk(entry, json::object(), "length")) + "data: [DONE]\n\n";
            }
            entry.reply->write(std::move(text));
        }
        else {
            entry.text += token;
        }
        if (last) {
            ++this->counters_.completed;
            this->finish(entry);
        }
        else if (this->breaks_off(entry)) {
            entry.reply->abort();
        }
    }

    static void finish(const generation& entry)
    {
        if (entry.stream) {
            entry.reply->finish();
            return;
        }
        auto response = transport::make_json_response(status_ok, make_completion(entry).dump());
        response.head.headers.push_back({"X-Request-Id", entry.id});
        entry.reply->respond(std::move(response));
    }

    void note_load()
    {
        this->loads_.add(
            std::chrono::steady_clock::now(),
            {this->batch_.size(), this->queue_.size(), this->cache_.size(), this->last_step_});
    }

    void send_load(transport::response_stream& reply)
    {
        const std::scoped_lock lock(this->mutex_);
        const auto sample = this->loads_.get(std::chrono::steady_clock::now());
        respond_json(
            reply, status_ok,
            {{"running", sample.running},
             {"queued", sample.queued},
             {"slots", this->options_.slots},
             {"cached_blocks", sample.cached_blocks},
             {"step_us",
              std::chrono::duration_cast<std::chrono::microseconds>(sample.step).count()}});
    }

    void send_cache_events(std::uint64_t from, transport::response_stream& reply)
    {
        const std::scoped_lock lock(this->mutex_);
        const time_point visible =
            std::chrono::steady_clock::now() - this->options_.cache_event_lag;
        auto events = json::array();
        auto next = from;
        for (const auto& event : this->events_) {
            if (event.sequence < from || event.at > visible) {
                continue;
            }
            events.push_back({{"sequence", event.sequence},
                              {"type", event.change.stored ? "stored" : "evicted"},
                              {"block", fmt::format("{:016x}", event.change.block)}});
            next = event.sequence + 1;
        }
        respond_json(reply, status_ok, {{"next", next}, {"events", events}});
    }

    void obey(const json& body, transport::response_stream& reply)
    {
        const auto fence = body.value("fence", std::uint64_t{0});
        const auto action = body.value("action", "");
        const std::scoped_lock lock(this->mutex_);
        if (this->options_.checks_fences && fence < this->highest_fence_) {
            throw error(error_kind::conflict,
                        fmt::format("order with fence {} after one with fence {}", fence,
                                    this->highest_fence_),
                        "Renew the lease before giving orders.");
        }
        constexpr std::array<std::string_view, 4> actions{"load_model", "load_adapter",
                                                          "load_version", "change_role"};
        if (std::ranges::find(actions, action) == actions.end()) {
            throw error(error_kind::invalid_argument,
                        fmt::format("order \"{}\" is not known", action),
                        "Use load_model, load_adapter, load_version or change_role.");
        }
        this->highest_fence_ = std::max(this->highest_fence_, fence);
        this->orders_.push_back(
            {{"action", action}, {"argument", body.value("argument", "")}, {"fence", fence}});
        respond_json(reply, status_ok, {{"done", true}});
    }

    void control(const http_request& request, const parsed_target& target,
                 transport::response_stream& reply)
    {
        const std::scoped_lock lock(this->mutex_);
        if (target.path == "/control/stats") {
            const auto& n = this->counters_;
            respond_json(reply, status_ok,
                         {{"received", n.received},
                          {"completed", n.completed},
                          {"cancelled", n.cancelled},
                          {"refused", n.refused},
                          {"prompt_tokens", n.prompt_tokens},
                          {"cached_tokens", n.cached_tokens},
                          {"generated_tokens", n.generated_tokens},
                          {"running", this->batch_.size()},
                          {"queued", this->queue_.size()}});
        }
        else if (target.path == "/control/orders") {
            respond_json(reply, status_ok, {{"orders", this->orders_}});
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
                        "Use stats, orders or faults.");
        }
    }

    transport::runtime& context_;
    engine_options options_;
    std::mutex mutex_;
    prefix_cache cache_;
    load_history<load_sample> loads_;
    std::mt19937_64 random_;
    faults faults_;
    counters counters_;
    std::map<std::pair<int, std::uint64_t>, generation_ptr> queue_; ///< by priority and arrival
    std::vector<generation_ptr> batch_;
    std::deque<cache_event> events_;
    std::uint64_t last_event_ = 0;
    std::uint64_t last_id_ = 0;
    std::uint64_t last_arrival_ = 0;
    std::uint64_t highest_fence_ = 0;
    json orders_ = json::array();
    duration last_step_{};
    time_point step_due_{};
    bool stepping_ = false;
    bool closed_ = false;
    std::unique_ptr<transport::http_server> server_;
};

engine_standin::engine_standin(transport::runtime& context, engine_options options)
    : impl_(std::make_shared<implementation>(context, std::move(options)))
{
    this->impl_->open();
}

engine_standin::~engine_standin()
{
    this->impl_->close();
}

std::string engine_standin::address() const
{
    return this->impl_->address();
}

} // namespace medlaryoke::standins
