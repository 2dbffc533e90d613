#include "Soak/prompt_soak_run.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "fakes/raw_socket.h"
#include "Soak/soak_caller.h"

namespace medlaryoke::soak {

namespace {

using namespace std::chrono_literals;

constexpr auto stable_window = gateway_faults::stable_window;
constexpr unsigned crashes_until_bound = 5;
constexpr unsigned max_later_requests = 3;
constexpr double min_served_share = 0.5;
constexpr unsigned min_counted_calls = 20;

constexpr unsigned caller_count = 6;
constexpr auto pause_between_calls = 40ms;
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
    : options_(options), store_(runtime_)
{
    this->runtime_.start();
    for (unsigned n = 0; n < options.crashing_parts; ++n) {
        this->parts_.push_back(fmt::format("bad{}", n));
    }
    const unsigned engine_count = 8 + 4 * options.crashing_parts;
    this->engines_ = std::make_unique<crashing_engines>(this->store_, engine_count, this->parts_);
    this->store_.put_configuration(1, {{"stream", "streaming", 2, true}});
    this->gateways_ = std::make_unique<gateway_faults>(options.seed, options.gateways, this->store_,
                                                       directory, options.restores_store);
    this->started_ = timer::now();
}

prompt_soak_run::~prompt_soak_run()
{
    this->gateways_.reset();
    this->engines_.reset();
    this->runtime_.stop();
    this->runtime_.wait();
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
            next_fault = timer::now() + this->gateways_->inject();
        }
        this->gateways_->repair();
        std::this_thread::sleep_for(poll_interval);
    }
    this->stopping_ = true;
    std::ranges::for_each(callers, [](std::thread& it) { it.join(); });
}

void prompt_soak_run::call_until_end(unsigned seed)
{
    std::mt19937 random(seed);
    for (unsigned number = 0; !this->stopping_; ++number) {
        const auto gateway = static_cast<unsigned>(random() % this->gateways_->count());
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
            is_served = call(this->gateways_->caller_address(gateway),
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
        return it.part == part && it.at > bound && this->gateways_->is_in_touch(gateway, it.at);
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
        if ((it.at >= begin) == after_crashes && this->gateways_->is_in_touch(it.gateway, it.at)) {
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
                       after, this->faults().size());
}

} // namespace medlaryoke::soak
