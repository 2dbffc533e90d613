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

struct call {
    http_request request;
    stream_ptr reply;
};

struct load_sample {
    std::size_t running = 0;
    std::size_t queued = 0;
};

} // namespace

class service_standin::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, service_options options)
        : context_(context), options_(std::move(options)), loads_(options_.load_lag)
    {
    }

    void open()
    {
        this->server_ = std::make_unique<transport::http_server>(
            this->context_, transport::http_server_options{this->options_.address},
            [weak = this->weak_from_this()](http_request request, const stream_ptr& reply) {
                if (const auto self = weak.lock()) {
                    self->receive(std::move(request), reply);
                }
            });
    }

    void close() { this->server_.reset(); }

    [[nodiscard]] std::string address() const { return this->server_->address(); }

private:
    void receive(http_request request, const stream_ptr& reply)
    {
        const std::scoped_lock lock(this->mutex_);
        if (request.target == "/control/runs") {
            respond_json(*reply, status_ok, {{"runs", this->runs_}, {"total", this->total_}});
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
            const auto sample = this->loads_.get(std::chrono::steady_clock::now());
            respond_json(*reply, status_ok,
                         {{"running", sample.running},
                          {"queued", sample.queued},
                          {"slots", this->options_.slots}});
        }
        else {
            this->queue_.push_back({std::move(request), reply});
            this->run_queued();
        }
    }

    void run_queued()
    {
        while (this->running_ < this->options_.slots && !this->queue_.empty()) {
            auto next = std::move(this->queue_.front());
            this->queue_.pop_front();
            ++this->running_;
            const auto run = this->count_run(next.request);
            if (this->options_.delay <= duration{}) {
                this->answer(next, run);
                continue;
            }
            this->context_.after(this->options_.delay,
                                 [self = this->shared_from_this(), next = std::move(next), run] {
                                     const std::scoped_lock lock(self->mutex_);
                                     self->answer(next, run);
                                     self->run_queued();
                                 });
        }
        this->loads_.add(std::chrono::steady_clock::now(), {this->running_, this->queue_.size()});
    }

    std::uint64_t count_run(const http_request& request)
    {
        std::string key(transport::find_header(request.headers, "Idempotency-Key"));
        if (key.empty()) {
            key = request.method + " " + request.target;
        }
        ++this->total_;
        return ++this->runs_[key];
    }

    void answer(const call& done, std::uint64_t run)
    {
        --this->running_;
        if (this->close_before_answer_ > 0) {
            --this->close_before_answer_;
            done.reply->abort();
            return;
        }
        if (this->fail_status_ != 0) {
            respond_json(*done.reply, this->fail_status_, {{"error", "told to fail"}});
            return;
        }
        respond_json(*done.reply, status_ok,
                     {{"method", done.request.method},
                      {"target", done.request.target},
                      {"body_digest", to_string(hash128(done.request.body))},
                      {"run", run}});
    }

    transport::runtime& context_;
    service_options options_;
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t total_ = 0;
    std::deque<call> queue_;
    std::size_t running_ = 0;
    std::uint64_t close_before_answer_ = 0;
    unsigned fail_status_ = 0;
    load_history<load_sample> loads_;
    std::unique_ptr<transport::http_server> server_;
};

service_standin::service_standin(transport::runtime& context, service_options options)
    : impl_(std::make_shared<implementation>(context, std::move(options)))
{
    this->impl_->open();
}

service_standin::~service_standin()
{
    this->impl_->close();
}

std::string service_standin::address() const
{
    return this->impl_->address();
}

} // namespace medlaryoke::standins
