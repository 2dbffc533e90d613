#include "Soak/prompt_soak_run.h"

#include <algorithm>
#include <csignal>
#include <system_error>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "fakes/raw_socket.h"
#include "Soak/soak_caller.h"

namespace medlaryoke::soak {

namespace {

using namespace std::chrono_literals;

// `stableWindowMs` of the small sites.
constexpr auto stable_window = 3s;
constexpr unsigned crashes_until_bound = 5;
constexpr unsigned max_later_requests = 3;
constexpr double min_served_share = 0.5;
constexpr unsigned min_counted_calls = 20;

constexpr unsigned caller_count = 6;
constexpr auto pause_between_calls = 40ms;
constexpr auto suspension_time = 1500ms;
constexpr auto store_outage = 2s;
constexpr auto poll_interval = 10ms;

/// Sends a stream request on a new connection.
/// @return whether a complete stream came back
bool call(const std::string& address, const std::string& id, const std::string& prompt)
{
    const fakes::raw_connection connection(address);
    connection.send(fmt::format("GET /stream/x HTTP/1.1\r\nHost: desk.example\r\n"
                                "Medlaryoke-Request-Id: {}\r\nMedlaryoke-Model: m\r\n"
                                "Medlaryoke-Prompt-Prefix: {}\r\nConnection: close\r\n\r\n",
                                id, prompt));
    const auto answer = connection.read_all();
    return answer.starts_with("HTTP/1.1 200") && answer.find("id: 3") != std::string::npos;
}

} // namespace

prompt_soak_run::prompt_soak_run(const prompt_soak_options& options, const std::string& directory)
    : options_(options), random_(options.seed), store_(runtime_), resume_at_(options.gateways)
{
    this->runtime_.start();
    for (unsigned n = 0; n < options.crashing_parts; ++n) {
        this->parts_.push_back(fmt::format("bad{}", n));
    }
    const unsigned engine_count = 8 + 4 * options.crashing_parts;
    this->engines_ = std::make_unique<crashing_engines>(this->store_, engine_count, this->parts_);
    this->store_.put_configuration(1, {{"stream", "streaming", 2, true}});
    for (unsigned n = 0; n < options.gateways; ++n) {
        this->gateways_.push_back(std::make_unique<gateway_child>(directory, n, options.gateways,
                                                                  this->store_.address()));
        this->gateways_.back()->start();
    }
    for (const auto& gateway : this->gateways_) {
        for (int n = 0; n < 1000 && get_status(gateway->readiness_address(), "/ready") != 200;
             ++n) {
            std::this_thread::sleep_for(poll_interval);
        }
    }
    this->started_ = timer::now();
}

prompt_soak_run::~prompt_soak_run()
{
    this->gateways_.clear();
    this->engines_.reset();
    this->runtime_.stop();
}

void prompt_soak_run::run()
{
    std::vector<std::thread> callers;
    for (unsigned n = 0; n < caller_count; ++n) {
        callers.emplace_back([this, n] { this->call_until_end(this->options_.seed * 100 + n); });
    }
    auto next_fault = this->started_ + 2s;
    while (timer::now() < this->started_ + this->options_.length) {
        // Ends early enough for the last part of the run to be in touch.
        if (timer::now() >= next_fault &&
            timer::now() < this->started_ + this->options_.length - 2 * stable_window) {
            this->inject_fault();
            next_fault = timer::now() + std::chrono::milliseconds(200 + this->random_() % 1500);
        }
        this->restart_exited_gateways();
        std::this_thread::sleep_for(poll_interval);
    }
    this->stopping_ = true;
    std::ranges::for_each(callers, [](std::thread& it) { it.join(); });
}

void prompt_soak_run::call_until_end(unsigned seed)
{
    std::mt19937 random(seed);
    for (unsigned number = 0; !this->stopping_; ++number) {
        const auto gateway = static_cast<unsigned>(random() % this->gateways_.size());
        const bool is_crashing = random() % this->options_.crashing_share == 0;
        // The crashing part is the second or the third one.
        std::vector<std::string> parts{"aa00:40", fmt::format("b{}:30", random() % 4)};
        if (is_crashing) {
            const auto at = 1 + static_cast<std::ptrdiff_t>(random() % 2);
            parts.insert(parts.begin() + at,
                         fmt::format("{}:20", this->parts_[random() % this->parts_.size()]));
        }
        parts.push_back(fmt::format("f{}x{}:9", seed, number));
        const auto prompt = fmt::format("{}", fmt::join(parts, ","));
        const auto sent_at = timer::now();
        bool is_served = false;
        try {
            is_served = call(this->gateways_[gateway]->caller_address(),
                             fmt::format("{}-{}-{}", gateway, seed, number), prompt);
        }
        catch (const std::system_error&) {
            is_served = false; // the gateway is down
        }
        if (!is_crashing) {
            const std::scoped_lock lock(this->mutex_);
            this->sound_calls_.push_back({sent_at, gateway, is_served});
        }
        std::this_thread::sleep_for(pause_between_calls);
    }
}

void prompt_soak_run::disrupt(unsigned gateway, bool is_of_all, std::chrono::milliseconds length,
                              const std::string& what)
{
    const auto now = timer::now();
    this->disruptions_.push_back({gateway, is_of_all, now, now + length});
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->started_).count();
    this->faults_.push_back(fmt::format("{} ms: {}", ms, what));
}

void prompt_soak_run::inject_fault()
{
    constexpr unsigned fault_kinds = 5;
    const auto gateway = static_cast<unsigned>(this->random_() % this->gateways_.size());
    auto& target = *this->gateways_[gateway];
    switch (this->random_() % fault_kinds) {
    case 0:
        this->disrupt(gateway, false, 500ms, fmt::format("kill {}", gateway));
        target.send_signal(SIGKILL);
        break;
    case 1:
        this->disrupt(0, true, 500ms, "kill all");
        std::ranges::for_each(this->gateways_, [](const auto& it) { it->send_signal(SIGKILL); });
        break;
    case 2:
        this->disrupt(gateway, false, suspension_time, fmt::format("suspend {}", gateway));
        target.send_signal(SIGSTOP);
        this->resume_at_[gateway] = timer::now() + suspension_time;
        break;
    case 3:
        this->disrupt(0, true, store_outage, "the store refuses");
        this->store_.set_state(store_state::refuses);
        this->store_back_at_ = timer::now() + store_outage;
        break;
    default:
        this->disrupt(gateway, false, 3s, fmt::format("terminate {}", gateway));
        target.send_signal(SIGTERM);
        break;
    }
}

void prompt_soak_run::restart_exited_gateways()
{
    const auto now = timer::now();
    for (unsigned n = 0; n < this->gateways_.size(); ++n) {
        if (this->resume_at_[n] != timer::time_point{} && now >= this->resume_at_[n]) {
            this->gateways_[n]->send_signal(SIGCONT);
            this->resume_at_[n] = {};
        }
        if (this->gateways_[n]->poll_exit_status()) {
            this->gateways_[n]->start();
        }
    }
    if (this->store_back_at_ != timer::time_point{} && now >= this->store_back_at_) {
        this->store_.set_state(store_state::works);
        this->store_back_at_ = {};
    }
}

bool prompt_soak_run::is_in_touch(unsigned gateway, timer::time_point at) const
{
    return std::ranges::none_of(this->disruptions_, [&](const disruption& it) {
        return (it.is_of_all || it.gateway == gateway) && at >= it.begin &&
               at <= it.end + stable_window;
    });
}

prompt_soak_run::timer::time_point prompt_soak_run::fifth_crash(const std::string& part) const
{
    unsigned count = 0;
    timer::time_point last{};
    for (const auto& it : this->engines_->arrivals()) {
        if (it.part == part && count < crashes_until_bound) {
            ++count;
            last = it.at;
        }
    }
    return last;
}

unsigned prompt_soak_run::late_requests(const std::string& part) const
{
    const auto arrivals = this->engines_->arrivals();
    const auto of_part = std::ranges::count(arrivals, part, &crashing_engines::arrival::part);
    if (static_cast<unsigned>(of_part) <= crashes_until_bound) {
        return 0;
    }
    const auto bound = this->fifth_crash(part) + stable_window;
    return static_cast<unsigned>(std::ranges::count_if(arrivals, [&](const auto& it) {
        const auto gateway = static_cast<unsigned>(std::stoul(it.request_id));
        return it.part == part && it.at > bound && this->is_in_touch(gateway, it.at);
    }));
}

double prompt_soak_run::served_fraction(bool after_crashes, unsigned& count) const
{
    timer::time_point begin = this->started_;
    for (const auto& part : this->parts_) {
        begin = std::max(begin, this->fifth_crash(part));
    }
    begin += 2 * stable_window;
    unsigned served = 0;
    count = 0;
    for (const auto& it : this->sound_calls_) {
        if ((it.at >= begin) == after_crashes && this->is_in_touch(it.gateway, it.at)) {
            ++count;
            served += it.is_served ? 1 : 0;
        }
    }
    return count == 0 ? 1 : static_cast<double>(served) / count;
}

std::vector<std::string> prompt_soak_run::violations() const
{
    std::vector<std::string> found;
    for (const auto& part : this->parts_) {
        if (const auto late = this->late_requests(part); late > max_later_requests) {
            found.push_back(fmt::format("BUDGET: {} requests with {} reached engines", late, part));
        }
    }
    unsigned count = 0;
    const auto served = this->served_fraction(true, count);
    if (count >= min_counted_calls && served < min_served_share) {
        found.push_back(fmt::format("LOST: {} of {} sound requests were served", served, count));
    }
    return found;
}

std::string prompt_soak_run::totals() const
{
    unsigned before = 0;
    unsigned after = 0;
    const auto served_before = this->served_fraction(false, before);
    const auto served_after = this->served_fraction(true, after);
    return fmt::format("{} engines ended, sound requests served: {:.3f} of {} before, {:.3f} of "
                       "{} after, {} faults",
                       this->engines_->arrivals().size(), served_before, before, served_after,
                       after, this->faults_.size());
}

} // namespace medlaryoke::soak
