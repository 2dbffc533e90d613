#include "Soak/soak_upstream.h"

#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace medlaryoke::soak {

namespace {

constexpr auto id_header = "Medlaryoke-Request-Id";
constexpr auto event_interval = std::chrono::milliseconds(15);

} // namespace

void execution_counter::add(const std::string& id)
{
    const std::scoped_lock lock(this->mutex_);
    ++this->counts_[id];
}

unsigned execution_counter::count_of(const std::string& id) const
{
    const std::scoped_lock lock(this->mutex_);
    const auto found = this->counts_.find(id);
    return found == this->counts_.end() ? 0 : found->second;
}

soak_upstream::soak_upstream(transport::runtime& runtime, execution_counter& executions,
                             std::string name)
    : runtime_(runtime), executions_(executions), name_(std::move(name)),
      server_(runtime, {.address = "127.0.0.1:0"},
              [this](const transport::http_request& request, const response& reply) {
                  this->handle(request, reply);
              }),
      proxy_(server_.address())
{
}

void soak_upstream::set_rate_limit(std::optional<double> per_second)
{
    const std::scoped_lock lock(this->mutex_);
    this->rate_limit_ = per_second;
}

std::vector<soak_upstream::arrival> soak_upstream::arrivals() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->arrivals_;
}

void soak_upstream::handle(const transport::http_request& request, const response& reply)
{
    const std::string id(transport::find_header(request.headers, id_header));
    const auto expected = transport::find_header(request.headers, "Medlaryoke-Expect-Instance");
    const bool is_other = !expected.empty() && expected != this->name_;
    const bool executes = !this->refuses && !is_other;
    transport::http_head head{
        200, {{id_header, id}, {"Medlaryoke-Server-Stamp", "stamp-" + this->name_}}};
    {
        const std::scoped_lock lock(this->mutex_);
        this->arrivals_.push_back(
            {std::chrono::steady_clock::now(), id, this->rate_limit_.has_value()});
        if (this->rate_limit_) {
            head.headers.push_back({"Server-Limit", fmt::format("{}", *this->rate_limit_)});
        }
    }
    if (this->leaves) {
        head.headers.push_back({"Server-Leaving", "1"});
    }
    if (!executes) {
        head.status = is_other ? 421 : 503;
        if (!is_other && this->pause_s > 0) {
            head.headers.push_back({"Retry-After", fmt::format("{}", this->pause_s.load())});
        }
        head.headers.push_back({"Medlaryoke-Not-Executed", "full"});
        reply->respond({head, ""});
        return;
    }
    this->executions_.add(id);
    if (this->fails) {
        head.status = this->fail_status;
        reply->respond({head, "failed"});
        return;
    }
    const auto work = std::chrono::milliseconds(this->work_ms);
    if (!request.target.starts_with("/stream/")) {
        this->runtime_.after(work, [this, head, reply, target = request.target] {
            reply->respond({head, "answer to " + target + std::string(this->extra_bytes, '.')});
        });
        return;
    }
    const std::string last(transport::find_header(request.headers, "Last-Event-Id"));
    head.headers.push_back({"Content-Type", "text/event-stream"});
    const auto next = last.empty() ? 1U : static_cast<unsigned>(std::stoul(last)) + 1;
    this->runtime_.after(work, [this, head, reply, target = request.target, next] {
        reply->start(head);
        this->send_event(target, next, reply);
    });
}

void soak_upstream::send_event(const std::string& target, unsigned number, const response& reply)
{
    if (number > stream_events) {
        reply->finish();
        return;
    }
    reply->write(stream_event(target, number));
    this->runtime_.after(event_interval, [this, target, number, reply] {
        this->send_event(target, number + 1, reply);
    });
}

std::string stream_event(const std::string& target, unsigned number)
{
    return fmt::format("id: {}\ndata: {}\n\n", number, target);
}

} // namespace medlaryoke::soak
