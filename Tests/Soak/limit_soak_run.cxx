#include "Soak/limit_soak_run.h"

#include <algorithm>
#include <array>
#include <system_error>
#include <thread>

#include <fmt/format.h>

#include "fakes/raw_socket.h"

namespace medlaryoke::soak {

namespace {

using namespace std::chrono_literals;

// The users' rule.
constexpr auto rule_window = 4s;
constexpr auto told_before = 500ms;
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;

constexpr std::array<double, 6> named_limits{0, 0.3, 1, 2.5, 4, 8};
constexpr unsigned caller_count = 12;
constexpr auto pause_between_calls = 5ms;
constexpr auto poll_interval = 10ms;

// No fault and no limit begins or lasts in the last part of a run.
constexpr auto calm_time = 5s;

// Time after the end of all limits in which gateways may still learn it. An upstream with a limit
// of zero is asked every 4 s.
constexpr auto learning_time = 4500ms;

/// Sends a request on a new connection.
/// @return whether a complete success came back
bool call(const std::string& address, const std::string& id, const std::string& path)
{
    const fakes::raw_connection connection(address);
    connection.send(fmt::format("GET {} HTTP/1.1\r\nHost: desk.example\r\n"
                                "Medlaryoke-Request-Id: {}\r\nConnection: close\r\n\r\n",
                                path, id));
    const auto answer = connection.read_all();
    const auto last = path.starts_with("/stream/")
                          ? stream_event(path, soak_upstream::stream_events)
                          : "answer to " + path;
    return answer.starts_with("HTTP/1.1 200") && answer.find(last) != std::string::npos;
}

/// @return index of the gateway to which a request was sent
unsigned gateway_of(const std::string& request_id)
{
    return static_cast<unsigned>(std::stoul(request_id));
}

} // namespace

limit_soak_run::limit_soak_run(const limit_soak_options& options, const std::string& directory)
    : options_(options), random_(options.seed + 1), store_(runtime_), current_(options.upstreams)
{
    this->runtime_.start();
    for (unsigned n = 0; n < options.upstreams; ++n) {
        this->upstreams_.push_back(std::make_unique<soak_upstream>(
            this->runtime_, this->executions_, fmt::format("upstream-{}", n)));
        this->store_.put_upstream(*this->upstreams_.back(), "ready");
    }
    this->store_.put_configuration(1, {{"safe", "safe", 2, false},
                                       {"unsafe", "unsafe", 1, false},
                                       {"stream", "streaming", 2, true}});
    this->gateways_ = std::make_unique<gateway_faults>(options.seed, options.gateways, this->store_,
                                                       directory, options.restores_store);
    this->started_ = timer::now();
    this->limits_ended_ = this->started_ + options.length - calm_time;
}

limit_soak_run::~limit_soak_run()
{
    this->gateways_.reset();
    this->runtime_.stop();
    this->runtime_.wait();
}

void limit_soak_run::run()
{
    std::vector<std::thread> callers;
    for (unsigned n = 0; n < caller_count; ++n) {
        callers.emplace_back([this, n] { this->call_until_end(this->options_.seed * 100 + n); });
    }
    const auto end = this->started_ + this->options_.length;
    auto next_limit = this->started_ + 500ms;
    auto next_fault = this->started_ + 5s;
    auto next_reset = this->started_ + 1s;
    for (auto now = timer::now(); now < end; now = timer::now()) {
        const bool is_calm = now >= this->limits_ended_;
        if (!is_calm && now >= next_limit) {
            this->start_limit();
            next_limit = now + std::chrono::milliseconds(200 + this->random_() % 1000);
        }
        if (!is_calm && now >= next_reset) {
            this->upstreams_[this->random_() % this->upstreams_.size()]
                ->proxy()
                .reset_open_connections();
            next_reset = now + std::chrono::milliseconds(100 + this->random_() % 500);
        }
        // Ends early enough for the gateways to be back when the limits end.
        if (now >= next_fault && now + 3s < this->limits_ended_) {
            next_fault = now + this->gateways_->inject() + 1s;
        }
        this->end_limits(now);
        this->gateways_->repair();
        std::this_thread::sleep_for(poll_interval);
    }
    this->stopping_ = true;
    std::ranges::for_each(callers, [](std::thread& it) { it.join(); });
}

void limit_soak_run::start_limit()
{
    const auto index = this->random_() % this->upstreams_.size();
    const auto limit = named_limits[this->random_() % named_limits.size()];
    const auto length = std::chrono::milliseconds(1000 + this->random_() % 12'000);
    if (this->current_[index]) {
        return;
    }
    const auto now = timer::now();
    this->upstreams_[index]->set_rate_limit(limit);
    this->current_[index] = {index, limit, now, std::min(now + length, this->limits_ended_)};
}

void limit_soak_run::end_limits(timer::time_point now)
{
    for (auto& period : this->current_) {
        if (period && now >= period->end) {
            this->upstreams_[period->upstream]->set_rate_limit(std::nullopt);
            this->periods_.push_back(*period);
            period.reset();
        }
    }
}

void limit_soak_run::call_until_end(unsigned seed)
{
    constexpr std::array<const char*, 3> paths{"/safe/a", "/unsafe/b", "/stream/c"};
    std::mt19937 random(seed);
    for (unsigned number = 0; !this->stopping_; ++number) {
        const auto gateway = static_cast<unsigned>(random() % this->gateways_->count());
        const auto sent_at = timer::now();
        bool is_served = false;
        try {
            is_served = call(this->gateways_->caller_address(gateway),
                             fmt::format("{}-{}-{}", gateway, seed, number),
                             paths[random() % paths.size()]);
        }
        catch (const std::system_error&) {
            is_served = false; // the gateway is down
        }
        {
            const std::scoped_lock lock(this->mutex_);
            this->calls_.push_back({sent_at, is_served});
        }
        std::this_thread::sleep_for(pause_between_calls);
    }
}

std::string limit_soak_run::check(const limited_period& period) const
{
    const auto arrivals = this->upstreams_[period.upstream]->arrivals();
    std::vector<timer::time_point> told(this->gateways_->count(), timer::time_point::max());
    std::vector<timer::time_point> counted;
    for (const auto& it : arrivals) {
        if (it.at < period.begin || it.at >= period.end) {
            continue;
        }
        const auto gateway = gateway_of(it.request_id);
        const bool counts = it.at >= period.begin + gateway_faults::stable_window &&
                            told[gateway] < it.at - told_before &&
                            this->gateways_->is_in_touch(gateway, it.at);
        if (counts) {
            counted.push_back(it.at);
        }
        if (it.is_limited) {
            told[gateway] = std::min(told[gateway], it.at);
        }
    }
    const auto window = std::chrono::duration<double>(rule_window).count();
    const auto allowed = allowed_factor * period.per_second * window + allowed_extra;
    std::ptrdiff_t most = 0;
    for (auto first = counted.begin(); first != counted.end(); ++first) {
        most = std::max(most, std::ranges::upper_bound(counted, *first + rule_window) - first);
    }
    if (static_cast<double>(most) <= allowed) {
        return {};
    }
    return fmt::format("LIMIT: {} requests in 4 s at {}, which takes {} a second; allowed {}", most,
                       this->upstreams_[period.upstream]->name(), period.per_second, allowed);
}

std::size_t limit_soak_run::served_calls(timer::time_point since, std::size_t& count) const
{
    std::size_t served = 0;
    count = 0;
    for (const auto& it : this->calls_) {
        count += it.at >= since ? 1 : 0;
        served += it.at >= since && it.is_served ? 1 : 0;
    }
    return served;
}

std::vector<std::string> limit_soak_run::violations() const
{
    std::vector<std::string> found;
    for (const auto& period : this->periods_) {
        if (auto violation = this->check(period); !violation.empty()) {
            found.push_back(std::move(violation));
        }
    }
    std::size_t count = 0;
    const auto served = this->served_calls(this->limits_ended_ + learning_time, count);
    if (served < count) {
        found.push_back(fmt::format("ENDED: {} of {} calls were served after the last limit had "
                                    "ended",
                                    served, count));
    }
    return found;
}

std::string limit_soak_run::totals() const
{
    std::size_t count = 0;
    const auto served = this->served_calls(this->started_, count);
    return fmt::format("{} calls, {} served, {} limits, {} faults", count, served,
                       this->periods_.size(), this->faults().size());
}

} // namespace medlaryoke::soak
