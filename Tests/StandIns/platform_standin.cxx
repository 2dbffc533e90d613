#include "StandIns/platform_standin.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/error.h"
#include "StandIns/standin_http.h"
#include "transport/base64.h"
#include "transport/error_response.h"
#include "transport/http_server.h"

namespace medlaryoke::standins {

namespace {

using json = nlohmann::json;
using transport::http_request;
using stream_ptr = std::shared_ptr<transport::response_stream>;

constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;
constexpr std::uint64_t default_read_limit = 1000;

struct faults {
    bool outage = false;
    bool silent = false;
    bool reject_appends = false;
    std::uint64_t lose_append_answers = 0;
    duration delay{};
};

/// Admits `rate` items per second with a burst of a tenth of a second.
class rate_limit {
public:
    explicit rate_limit(double rate) : rate_(rate) {}

    bool admit(time_point now)
    {
        if (this->rate_ <= 0) {
            return true;
        }
        const auto elapsed = std::chrono::duration<double>(now - this->last_).count();
        this->last_ = now;
        constexpr double burst_seconds = 0.1;
        this->tokens_ = std::min(this->tokens_ + elapsed * this->rate_,
                                 std::max(1.0, this->rate_ * burst_seconds));
        if (this->tokens_ < 1) {
            return false;
        }
        this->tokens_ -= 1;
        return true;
    }

private:
    double rate_;
    double tokens_ = 1;
    time_point last_ = std::chrono::steady_clock::now();
};

struct kept_record {
    time_point appended;
    std::string data;
};

struct log_stream {
    std::uint64_t earliest = 1;
    std::deque<kept_record> records;

    [[nodiscard]] std::uint64_t next() const { return this->earliest + this->records.size(); }

    void drop_front()
    {
        this->records.pop_front();
        ++this->earliest;
    }
};

/// A read that waits for a record.
struct waiting_read {
    std::string stream;
    std::uint64_t from;
    std::size_t limit;
    stream_ptr reply;
    transport::timer_handle timer;
};

json make_records(const log_stream& source, std::uint64_t from, std::size_t limit)
{
    auto records = json::array();
    for (auto offset = from; offset < source.next() && records.size() < limit; ++offset) {
        const auto& record = source.records[offset - source.earliest];
        records.push_back({{"offset", offset}, {"data", transport::encode_base64(record.data)}});
    }
    return {{"earliest", source.earliest}, {"next", source.next()}, {"records", records}};
}

[[noreturn]] void throw_unknown(const http_request& request)
{
    throw error(error_kind::not_found,
                fmt::format("{} {} does not exist", request.method, request.target),
                "Use a path of the platform's services.");
}

void respond_outage(transport::response_stream& reply)
{
    reply.respond(transport::make_error_response(
        error(error_kind::unavailable, "the platform has an outage", "Repeat the request later.")));
}

} // namespace

class platform_standin::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, platform_options options)
        : context_(context), options_(std::move(options)),
          append_limit_(options_.appends_per_second), list_lag_(options_.list_lag),
          lists_{{time_point{}, json::array()}}
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

    void close() { this->server_.reset(); }

    [[nodiscard]] std::string address() const { return this->server_->address(); }

private:
    void receive(const http_request& request, const stream_ptr& reply)
    {
        const auto target = parse_target(request.target);
        if (!target.segments.empty() && target.segments[0] == "control") {
            this->control(request, target, *reply);
            return;
        }
        duration delay{};
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->faults_.silent) {
                this->unanswered_.push_back(reply);
                return;
            }
            delay = this->faults_.delay;
        }
        if (delay <= duration{}) {
            this->handle(request, target, reply);
            return;
        }
        this->context_.after(delay, [self = this->shared_from_this(), request, target, reply] {
            try {
                self->handle(request, target, reply);
            }
            catch (const error& e) {
                reply->respond(transport::make_error_response(e));
            }
        });
    }

    void handle(const http_request& request, const parsed_target& target, const stream_ptr& reply)
    {
        const auto& path = target.segments;
        const std::scoped_lock lock(this->mutex_);
        if (this->faults_.outage) {
            respond_outage(*reply);
        }
        else if (path.size() == 3 && path[0] == "streams" && path[2] == "records" &&
                 request.method == "POST") {
            this->append(path[1], request.body, *reply);
        }
        else if (path.size() == 3 && path[0] == "streams" && path[2] == "records" &&
                 request.method == "GET") {
            this->read(path[1], target, reply);
        }
        else if (target.path == "/instances" && request.method == "GET") {
            this->list_instances(*reply);
        }
        else if (path.size() == 4 && path[0] == "weights" && request.method == "GET") {
            this->send_weights(target.path, reply);
        }
        else {
            throw_unknown(request);
        }
    }

    void append(const std::string& name, const std::string& data, transport::response_stream& reply)
    {
        const time_point now = std::chrono::steady_clock::now();
        if (this->faults_.reject_appends || !this->append_limit_.admit(now)) {
            ++this->rejected_;
            reply.respond(transport::make_error_response(
                error(error_kind::overloaded, "too many appends a second",
                      "Append less often or batch records.")));
            return;
        }
        auto& target = this->streams_[name];
        target.records.push_back({now, data});
        ++this->appended_;
        const auto offset = target.next() - 1;
        while (target.records.size() > this->options_.max_records) {
            target.drop_front();
        }
        this->wake_readers(name);
        if (this->faults_.lose_append_answers > 0) {
            --this->faults_.lose_append_answers;
            reply.abort();
            return;
        }
        respond_json(reply, status_ok, {{"offset", offset}});
    }

    void read(const std::string& name, const parsed_target& target, const stream_ptr& reply)
    {
        auto& source = this->streams_[name];
        const time_point oldest = std::chrono::steady_clock::now() - this->options_.max_age;
        while (!source.records.empty() && source.records.front().appended < oldest) {
            source.drop_front();
        }
        const auto from = std::max<std::uint64_t>(query_number(target, "from", 1), 1);
        const auto limit = query_number(target, "limit", default_read_limit);
        const auto wait = std::chrono::milliseconds(query_number(target, "wait_ms", 0));
        if (from < source.earliest) {
            respond_json(*reply, status_gone, {{"earliest", source.earliest}});
        }
        else if (from < source.next() || wait.count() == 0) {
            respond_json(*reply, status_ok, make_records(source, from, limit));
        }
        else {
            this->wait_for_record(name, from, limit, wait, reply);
        }
    }

    void wait_for_record(const std::string& name, std::uint64_t from, std::size_t limit,
                         duration wait, const stream_ptr& reply)
    {
        const auto it = this->waiting_.insert(this->waiting_.end(), {name, from, limit, reply, {}});
        const auto id = ++this->last_wait_;
        this->waits_[id] = it;
        it->timer = this->context_.after(wait, [self = this->shared_from_this(), id] {
            const std::scoped_lock lock(self->mutex_);
            const auto entry = self->waits_.find(id);
            if (entry != self->waits_.end()) {
                self->answer(entry);
            }
        });
    }

    using wait_map = std::map<std::uint64_t, std::list<waiting_read>::iterator>;

    wait_map::iterator answer(wait_map::iterator entry)
    {
        auto& read = *entry->second;
        read.timer.cancel();
        if (this->faults_.outage) {
            respond_outage(*read.reply);
        }
        else {
            respond_json(*read.reply, status_ok,
                         make_records(this->streams_[read.stream], read.from, read.limit));
        }
        this->waiting_.erase(entry->second);
        return this->waits_.erase(entry);
    }

    void wake_readers(const std::string& name)
    {
        const auto next = this->streams_[name].next();
        for (auto it = this->waits_.begin(); it != this->waits_.end();) {
            const auto& read = *it->second;
            it = read.stream == name && read.from < next ? this->answer(it) : std::next(it);
        }
    }

    void list_instances(transport::response_stream& reply)
    {
        const time_point visible = std::chrono::steady_clock::now() - this->list_lag_;
        while (this->lists_.size() > 1 && this->lists_[1].first <= visible) {
            this->lists_.pop_front();
        }
        respond_json(reply, status_ok, {{"instances", this->lists_.front().second}});
    }

    void send_weights(const std::string& path, const stream_ptr& reply)
    {
        std::string data;
        data.reserve(this->options_.weight_bytes);
        for (std::uint64_t n = 0; data.size() < this->options_.weight_bytes; ++n) {
            data += fmt::format("{:016x}", hash64(path, n));
        }
        data.resize(this->options_.weight_bytes);
        transport::http_response response{
            {status_ok, {{"Content-Type", "application/octet-stream"}}}, std::move(data)};
        if (this->options_.weight_bytes_per_second <= 0) {
            reply->respond(std::move(response));
            return;
        }
        const auto now = time_point(std::chrono::steady_clock::now());
        const std::chrono::duration<double> transfer(
            static_cast<double>(this->options_.weight_bytes) /
            this->options_.weight_bytes_per_second);
        this->weights_free_at_ =
            std::max(this->weights_free_at_, now) + std::chrono::duration_cast<duration>(transfer);
        this->context_.after(this->weights_free_at_ - now,
                             [reply, response = std::move(response)] { reply->respond(response); });
    }

    void control(const http_request& request, const parsed_target& target,
                 transport::response_stream& reply)
    {
        if (target.path == "/control/faults" && request.method == "PUT") {
            this->set_faults(parse_body(request));
        }
        else if (target.path == "/control/instances" && request.method == "PUT") {
            const auto body = parse_body(request);
            const std::scoped_lock lock(this->mutex_);
            this->lists_.emplace_back(std::chrono::steady_clock::now(), body.at("instances"));
        }
        else if (target.path == "/control/stats" && request.method == "GET") {
            const std::scoped_lock lock(this->mutex_);
            respond_json(reply, status_ok,
                         {{"appended", this->appended_}, {"rejected", this->rejected_}});
            return;
        }
        else {
            throw_unknown(request);
        }
        respond_json(reply, status_ok, json::object());
    }

    void set_faults(const json& body)
    {
        const std::scoped_lock lock(this->mutex_);
        auto& current = this->faults_;
        current.outage = body.value("outage", current.outage);
        current.silent = body.value("silent", current.silent);
        current.reject_appends = body.value("reject_appends", current.reject_appends);
        current.lose_append_answers =
            body.value("lose_append_answers", current.lose_append_answers);
        if (body.contains("delay_ms")) {
            current.delay = std::chrono::milliseconds(body["delay_ms"].get<std::uint64_t>());
        }
        if (body.contains("list_lag_ms")) {
            this->list_lag_ = std::chrono::milliseconds(body["list_lag_ms"].get<std::uint64_t>());
        }
        if (current.outage) {
            for (auto it = this->waits_.begin(); it != this->waits_.end();) {
                it = this->answer(it);
            }
        }
        if (!current.silent) {
            for (const auto& reply : std::exchange(this->unanswered_, {})) {
                reply->abort();
            }
        }
    }

    transport::runtime& context_;
    platform_options options_;
    std::mutex mutex_;
    faults faults_;
    rate_limit append_limit_;
    std::map<std::string, log_stream> streams_;
    std::list<waiting_read> waiting_;
    wait_map waits_;
    std::uint64_t last_wait_ = 0;
    std::uint64_t appended_ = 0;
    std::uint64_t rejected_ = 0;
    std::vector<stream_ptr> unanswered_;
    duration list_lag_;
    std::deque<std::pair<time_point, json>> lists_; ///< the first one is visible
    time_point weights_free_at_{};
    std::unique_ptr<transport::http_server> server_;
};

platform_standin::platform_standin(transport::runtime& context, platform_options options)
    : impl_(std::make_shared<implementation>(context, std::move(options)))
{
    this->impl_->open();
}

platform_standin::~platform_standin()
{
    this->impl_->close();
}

std::string platform_standin::address() const
{
    return this->impl_->address();
}

} // namespace medlaryoke::standins
