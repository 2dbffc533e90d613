#include "Soak/gateway_faults.h"

#include <algorithm>
#include <csignal>
#include <thread>

#include <fmt/format.h>

#include "Soak/soak_caller.h"

namespace medlaryoke::soak {

namespace {

using namespace std::chrono_literals;

constexpr auto suspension_time = 1500ms;
constexpr auto store_outage = 2s;
constexpr auto poll_interval = 10ms;
constexpr unsigned max_start_polls = 1000;

} // namespace

gateway_faults::gateway_faults(unsigned seed, unsigned count, soak_store& store,
                               const std::string& directory, bool restores_store)
    : random_(seed), restore_random_(seed), restores_store_(restores_store), store_(store),
      resume_at_(count)
{
    for (unsigned n = 0; n < count; ++n) {
        this->gateways_.push_back(
            std::make_unique<gateway_child>(directory, n, count, store.address()));
        this->gateways_.back()->start();
    }
    for (const auto& gateway : this->gateways_) {
        for (unsigned n = 0;
             n < max_start_polls && get_status(gateway->readiness_address(), "/ready") != 200;
             ++n) {
            std::this_thread::sleep_for(poll_interval);
        }
    }
    this->started_ = timer::now();
}

std::chrono::milliseconds gateway_faults::inject()
{
    constexpr unsigned faults_per_restore = 3;
    if (this->restores_store_ && this->restore_random_() % faults_per_restore == 0) {
        this->restore_store();
    }
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
    return std::chrono::milliseconds(200 + this->random_() % 1500);
}

void gateway_faults::restore_store()
{
    const auto options = soak_store::random_restore(this->restore_random_);
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(timer::now() - options.copied_at);
    this->disrupt(0, true, options.outage + options.rewrite_after,
                  fmt::format("the store comes back after {} ms from a copy {} ms old",
                              options.outage.count(), age.count()));
    this->store_.restore(options);
}

void gateway_faults::disrupt(unsigned gateway, bool is_of_all, std::chrono::milliseconds length,
                             const std::string& what)
{
    const auto now = timer::now();
    this->disruptions_.push_back({gateway, is_of_all, now, now + length});
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->started_).count();
    this->faults_.push_back(fmt::format("{} ms: {}", ms, what));
}

void gateway_faults::repair()
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

bool gateway_faults::is_in_touch(unsigned gateway, timer::time_point at) const
{
    return std::ranges::none_of(this->disruptions_, [&](const disruption& it) {
        return (it.is_of_all || it.gateway == gateway) && at >= it.begin &&
               at <= it.end + stable_window;
    });
}

} // namespace medlaryoke::soak
