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

/// Faults set by `PUT /control/faults`; the members are named after its keys.
struct faults {
    bool outage = false;                   ///< every request gets status 503
    bool silent = false;                   ///< no request is answered
    bool reject_appends = false;           ///< every append gets status 429
    std::uint64_t lose_append_answers = 0; ///< number of appends to store without an answer
    duration delay{};                      ///< time before a request takes effect
};

/// Token bucket whose burst is the number of items that 0.1 s brings, at least one.
class rate_limiter {
public:
    /// @param items_per_second 0 or less: no limit
    explicit rate_limiter(double items_per_second) : items_per_second_(items_per_second) {}

    /// @param now the current time
    /// @return whether the rate allows one more item
    bool admit(time_point now)
    {
        if (this->items_per_second_ <= 0) {
            return true;
        }
        const auto elapsed = std::chrono::duration<double>(now - this->last_refill_).count();
        this->last_refill_ = now;
        constexpr double burst_seconds = 0.1;
        this->tokens_ = std::min(this->tokens_ + elapsed * this->items_per_second_,
                                 std::max(1.0, this->items_per_second_ * burst_seconds));
        if (this->tokens_ < 1) {
            return false;
        }
        this->tokens_ -= 1;
        return true;
    }

private:
    double items_per_second_;
    double tokens_ = 1;
    time_point last_refill_ = std::chrono::steady_clock::now();
};

/// A record and the time when it was appended.
struct stored_record {
    time_point append_time;
    std::string data;
};

/// Records of one stream of the log service.
struct log_stream {
    std::uint64_t earliest_offset = 1; ///< offset of the first stored record
    std::deque<stored_record> records;

    /// @return offset of the next record to be appended
    [[nodiscard]] std::uint64_t next_offset() const
    {
        return this->earliest_offset + this->records.size();
    }

    void drop_oldest()
    {
        this->records.pop_front();
        ++this->earliest_offset;
    }
};

/// A read that waits until a record is appended or its timer expires.
struct pending_read {
    std::string stream;
    std::uint64_t from_offset;
    std::size_t limit;
    stream_ptr reply;
    transport::timer_handle timer;
};

json make_records(const log_stream& source, std::uint64_t from_offset, std::size_t limit)
{
    auto records = json::array();
    for (auto offset = from_offset; offset < source.next_offset() && records.size() < limit;
         ++offset) {
        const auto& record = source.records[offset - source.earliest_offset];
        records.push_back({{"offset", offset}, {"data", transport::encode_base64(record.data)}});
    }
    return {
        {"earliest", source.earliest_offset}, {"next", source.next_offset()}, {"records", records}};
}

[[noreturn]] void throw_unknown_path(const http_request& request)
{
    throw error(error_kind::not_found,
                fmt::format("{} {} does not exist", request.method, request.target),
                "Use a path of the platform API.");
}

void respond_outage(transport::response_stream& reply)
{
    reply.respond(transport::make_error_response(
        error(error_kind::unavailable, "the fault outage is set", "Repeat the request later.")));
}

} // namespace

class platform_standin::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, platform_options options)
        : context_(context), options_(std::move(options)),
          append_rate_limiter_(options_.appends_per_second),
          instance_list_lag_(options_.instance_list_lag),
          instance_lists_{{time_point{}, json::array()}}
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

    void stop_server() { this->server_.reset(); }

    [[nodiscard]] std::string address() const { return this->server_->address(); }

private:
    void handle_request(const http_request& request, const stream_ptr& reply)
    {
        const auto target = parse_target(request.target);
        if (!target.segments.empty() && target.segments[0] == "control") {
            this->handle_control(request, target, *reply);
            return;
        }
        duration delay{};
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->faults_.silent) {
                this->unanswered_replies_.push_back(reply);
                return;
            }
            delay = this->faults_.delay;
        }
        if (delay <= duration{}) {
            this->handle_platform_request(request, target, reply);
            return;
        }
        this->context_.after(delay, [self = this->shared_from_this(), request, target, reply] {
            try {
                self->handle_platform_request(request, target, reply);
            }
            catch (const error& e) {
                reply->respond(transport::make_error_response(e));
            }
        });
    }

    void handle_platform_request(const http_request& request, const parsed_target& target,
                                 const stream_ptr& reply)
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
            throw_unknown_path(request);
        }
    }

    void append(const std::string& name, const std::string& data, transport::response_stream& reply)
    {
        const time_point now = std::chrono::steady_clock::now();
        if (this->faults_.reject_appends || !this->append_rate_limiter_.admit(now)) {
            ++this->rejected_appends_;
            reply.respond(transport::make_error_response(
                error(error_kind::overloaded,
                      "the append was rejected by the rate limit or the fault reject_appends",
                      "Append less often or put several records into one append.")));
            return;
        }
        auto& stream = this->streams_[name];
        stream.records.push_back({now, data});
        ++this->appended_records_;
        const auto offset = stream.next_offset() - 1;
        while (stream.records.size() > this->options_.max_records) {
            stream.drop_oldest();
        }
        this->answer_pending_reads(name);
        if (this->faults_.lose_append_answers > 0) {
            --this->faults_.lose_append_answers;
            reply.abort();
            return;
        }
        this->respond_log(reply, status_ok, {{"offset", offset}});
    }

    /// Answers a call to the log; the answer states the log's epoch.
    void respond_log(transport::response_stream& reply, unsigned status, const json& body) const
    {
        reply.respond({{status,
                        {{"Content-Type", "application/json"},
                         {"Log-Epoch", std::to_string(this->log_epoch_)}}},
                       body.dump()});
    }

    /// Restores the log from a copy: younger records are lost, and their offsets are given out
    /// again. Waiting reads are cut off.
    void restore_log(duration age)
    {
        const std::scoped_lock lock(this->mutex_);
        const auto copied_at = std::chrono::steady_clock::now() - age;
        for (auto& [name, stream] : this->streams_) {
            std::erase_if(stream.records,
                          [&](const stored_record& it) { return it.append_time > copied_at; });
        }
        for (auto& it : this->pending_reads_) {
            it.timer.cancel();
            it.reply->abort();
        }
        this->pending_reads_by_id_.clear();
        this->pending_reads_.clear();
        ++this->log_epoch_;
    }

    void read(const std::string& name, const parsed_target& target, const stream_ptr& reply)
    {
        auto& source = this->streams_[name];
        const time_point oldest = std::chrono::steady_clock::now() - this->options_.max_age;
        while (!source.records.empty() && source.records.front().append_time < oldest) {
            source.drop_oldest();
        }
        const auto from_offset = std::max<std::uint64_t>(query_number(target, "from", 1), 1);
        const auto limit = query_number(target, "limit", default_read_limit);
        const auto max_wait = std::chrono::milliseconds(query_number(target, "wait_ms", 0));
        if (from_offset < source.earliest_offset || from_offset > source.next_offset()) {
            this->respond_log(*reply, status_gone, {{"earliest", source.earliest_offset}});
        }
        else if (from_offset < source.next_offset() || max_wait.count() == 0) {
            this->respond_log(*reply, status_ok, make_records(source, from_offset, limit));
        }
        else {
            this->wait_for_record(name, from_offset, limit, max_wait, reply);
        }
    }

    void wait_for_record(const std::string& name, std::uint64_t from_offset, std::size_t limit,
                         duration max_wait, const stream_ptr& reply)
    {
        const auto it = this->pending_reads_.insert(this->pending_reads_.end(),
                                                    {name, from_offset, limit, reply, {}});
        const auto id = ++this->last_pending_read_id_;
        this->pending_reads_by_id_[id] = it;
        it->timer = this->context_.after(max_wait, [self = this->shared_from_this(), id] {
            const std::scoped_lock lock(self->mutex_);
            const auto entry = self->pending_reads_by_id_.find(id);
            if (entry != self->pending_reads_by_id_.end()) {
                self->answer_pending_read(entry);
            }
        });
    }

    /// Waiting reads by a number of their own, which their timers keep.
    using pending_read_map = std::map<std::uint64_t, std::list<pending_read>::iterator>;

    /// Answers a waiting read with the records that there are now.
    /// @return the next waiting read
    pending_read_map::iterator answer_pending_read(pending_read_map::iterator entry)
    {
        auto& read = *entry->second;
        read.timer.cancel();
        if (this->faults_.outage) {
            respond_outage(*read.reply);
        }
        else {
            this->respond_log(
                *read.reply, status_ok,
                make_records(this->streams_[read.stream], read.from_offset, read.limit));
        }
        this->pending_reads_.erase(entry->second);
        return this->pending_reads_by_id_.erase(entry);
    }

    void answer_pending_reads(const std::string& name)
    {
        const auto next_offset = this->streams_[name].next_offset();
        for (auto it = this->pending_reads_by_id_.begin();
             it != this->pending_reads_by_id_.end();) {
            const auto& read = *it->second;
            it = read.stream == name && read.from_offset < next_offset
                     ? this->answer_pending_read(it)
                     : std::next(it);
        }
    }

    void list_instances(transport::response_stream& reply)
    {
        const time_point newest_visible =
            std::chrono::steady_clock::now() - this->instance_list_lag_;
        while (this->instance_lists_.size() > 1 &&
               this->instance_lists_[1].first <= newest_visible) {
            this->instance_lists_.pop_front();
        }
        respond_json(reply, status_ok, {{"instances", this->instance_lists_.front().second}});
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
        this->weight_transfer_end_ = std::max(this->weight_transfer_end_, now) +
                                     std::chrono::duration_cast<duration>(transfer);
        this->context_.after(this->weight_transfer_end_ - now,
                             [reply, response = std::move(response)] { reply->respond(response); });
    }

    void handle_control(const http_request& request, const parsed_target& target,
                        transport::response_stream& reply)
    {
        if (target.path == "/control/faults" && request.method == "PUT") {
            this->set_faults(parse_body(request));
        }
        else if (target.path == "/control/instances" && request.method == "PUT") {
            const auto body = parse_body(request);
            const std::scoped_lock lock(this->mutex_);
            this->instance_lists_.emplace_back(std::chrono::steady_clock::now(),
                                               body.at("instances"));
        }
        else if (target.path == "/control/restore" && request.method == "PUT") {
            this->restore_log(
                std::chrono::milliseconds(parse_body(request).at("age_ms").get<std::uint64_t>()));
        }
        else if (target.path == "/control/stats" && request.method == "GET") {
            const std::scoped_lock lock(this->mutex_);
            respond_json(
                reply, status_ok,
                {{"appended", this->appended_records_}, {"rejected", this->rejected_appends_}});
            return;
        }
        else {
            throw_unknown_path(request);
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
            this->instance_list_lag_ =
                std::chrono::milliseconds(body["list_lag_ms"].get<std::uint64_t>());
        }
        if (current.outage) {
            for (auto it = this->pending_reads_by_id_.begin();
                 it != this->pending_reads_by_id_.end();) {
                it = this->answer_pending_read(it);
            }
        }
        if (!current.silent) {
            for (const auto& reply : std::exchange(this->unanswered_replies_, {})) {
                reply->abort();
            }
        }
    }

    transport::runtime& context_;
    platform_options options_;
    std::mutex mutex_;
    faults faults_;
    rate_limiter append_rate_limiter_;
    std::map<std::string, log_stream> streams_;
    std::uint64_t log_epoch_ = 0; ///< rises with each restore
    std::list<pending_read> pending_reads_;
    pending_read_map pending_reads_by_id_;
    std::uint64_t last_pending_read_id_ = 0;
    std::uint64_t appended_records_ = 0;
    std::uint64_t rejected_appends_ = 0;
    std::vector<stream_ptr> unanswered_replies_;
    duration instance_list_lag_;
    std::deque<std::pair<time_point, json>>
        instance_lists_;               ///< by time of change; the first is reported
    time_point weight_transfer_end_{}; ///< transfers follow each other, so that they share the rate
    std::unique_ptr<transport::http_server> server_;
};

platform_standin::platform_standin(transport::runtime& context, platform_options options)
    : impl_(std::make_shared<implementation>(context, std::move(options)))
{
    this->impl_->start_server();
}

platform_standin::~platform_standin()
{
    this->impl_->stop_server();
}

std::string platform_standin::address() const
{
    return this->impl_->address();
}

} // namespace medlaryoke::standins
