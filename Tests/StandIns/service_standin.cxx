#include "StandIns/service_standin.h"

#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/error.h"
#include "StandIns/load_history.h"
#include "StandIns/standin_http.h"
#include "transport/error_response.h"
#include "transport/http_server.h"

namespace medlaryoke::standins {

namespace {

using json = nlohmann::json;
using transport::http_request;
using stream_ptr = std::shared_ptr<transport::response_stream>;

constexpr unsigned status_ok = 200;

/// A call that waits or runs, with the reply to be sent.
struct pending_call {
    http_request request;
    stream_ptr reply;
};

/// The load that `GET /load` reports.
struct load_sample {
    std::size_t running = 0;
    std::size_t queued = 0;
};

} // namespace

class service_standin::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, service_options options)
        : context_(context), options_(std::move(options)), load_history_(options_.load_lag)
    {
    }

    void start_server()
    {
        this->server_ = std::make_unique<transport::http_server>(
            this->context_, transport::http_server_options{this->options_.address},
            [weak = this->weak_from_this()](http_request request, const stream_ptr& reply) {
                if (const auto self = weak.lock()) {
                    self->handle_request(std::move(request), reply);
                }
            });
    }

    void stop_server() { this->server_.reset(); }

    [[nodiscard]] std::string address() const { return this->server_->address(); }

private:
    void handle_request(http_request request, const stream_ptr& reply)
    {
        const std::scoped_lock lock(this->mutex_);
        if (request.target == "/control/runs") {
            respond_json(*reply, status_ok,
                         {{"runs", this->runs_by_key_}, {"total", this->total_runs_}});
        }
        else if (request.target == "/control/faults" && request.method == "PUT") {
            const auto body = parse_body(request);
            this->close_before_answer_ =
                body.value("close_before_answer", this->close_before_answer_);
            this->fail_status_ = body.value("fail_status", this->fail_status_);
            if (body.contains("delay_ms")) {
                this->options_.delay =
                    std::chrono::milliseconds(body["delay_ms"].get<std::uint64_t>());
            }
            respond_json(*reply, status_ok, json::object());
        }
        else if (request.target == "/load" && request.method == "GET") {
            const auto sample = this->load_history_.get(std::chrono::steady_clock::now());
            respond_json(*reply, status_ok,
                         {{"running", sample.running},
                          {"queued", sample.queued},
                          {"slots", this->options_.slots}});
        }
        else {
            this->queued_calls_.push_back({std::move(request), reply});
            this->start_queued_calls();
        }
    }

    /// Starts queued calls while slots are free. The caller holds the mutex.
    void start_queued_calls()
    {
        while (this->running_calls_ < this->options_.slots && !this->queued_calls_.empty()) {
            auto next = std::move(this->queued_calls_.front());
            this->queued_calls_.pop_front();
            ++this->running_calls_;
            const auto run = this->count_run(next.request);
            if (this->options_.delay <= duration{}) {
                this->answer_call(next, run);
                continue;
            }
            this->context_.after(this->options_.delay,
                                 [self = this->shared_from_this(), next = std::move(next), run] {
                                     const std::scoped_lock lock(self->mutex_);
                                     self->answer_call(next, run);
                                     self->start_queued_calls();
                                 });
        }
        this->load_history_.add(std::chrono::steady_clock::now(),
                                {this->running_calls_, this->queued_calls_.size()});
    }

    /// @return the number of runs of the request's key, including this one
    std::uint64_t count_run(const http_request& request)
    {
        std::string key(transport::find_header(request.headers, "Idempotency-Key"));
        if (key.empty()) {
            key = request.method + " " + request.target;
        }
        ++this->total_runs_;
        return ++this->runs_by_key_[key];
    }

    void answer_call(const pending_call& call, std::uint64_t run)
    {
        --this->running_calls_;
        if (this->close_before_answer_ > 0) {
            --this->close_before_answer_;
            call.reply->abort();
            return;
        }
        if (this->fail_status_ != 0) {
            respond_json(*call.reply, this->fail_status_, {{"error", "injected fault"}});
            return;
        }
        respond_json(*call.reply, status_ok,
                     {{"method", call.request.method},
                      {"target", call.request.target},
                      {"body_digest", to_string(hash128(call.request.body))},
                      {"run", run}});
    }

    transport::runtime& context_;
    service_options options_;
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> runs_by_key_;
    std::uint64_t total_runs_ = 0;
    std::deque<pending_call> queued_calls_;
    std::size_t running_calls_ = 0;
    std::uint64_t close_before_answer_ = 0; ///< number of calls to run without an answer
    unsigned fail_status_ = 0;              ///< HTTP status of every answer; 0: no failure
    load_history<load_sample> load_history_;
    std::unique_ptr<transport::http_server> server_;
};

service_standin::service_standin(transport::runtime& context, service_options options)
    : impl_(std::make_shared<implementation>(context, std::move(options)))
{
    this->impl_->start_server();
}

service_standin::~service_standin()
{
    this->impl_->stop_server();
}

std::string service_standin::address() const
{
    return this->impl_->address();
}

} // namespace medlaryoke::standins
