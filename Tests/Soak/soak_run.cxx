#include "Soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <functional>
#include <iterator>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <sys/wait.h>

namespace medlaryoke::soak {

namespace {

using namespace std::chrono_literals;

constexpr unsigned gateway_count = 3;
constexpr unsigned upstream_count = 4;
constexpr unsigned caller_count = 8;
constexpr unsigned max_attempts = 2;

// Grace of the settings and a second for a busy machine.
constexpr auto longest_end = 3s;

// `recoveryS` of the small sites.
constexpr auto longest_recovery = 12s;

constexpr auto calm_time = 1s;
constexpr auto freeze_time = 1s;
constexpr auto step = 10ms;

} // namespace

soak_run::soak_run(unsigned seed, const std::string& directory)
    : random_(seed), store_(context_), terminated_(gateway_count), thawed_(gateway_count),
      started_(timer::now())
{
    this->context_.start();
    for (unsigned n = 0; n < upstream_count; ++n) {
        this->upstreams_.push_back(std::make_unique<soak_upstream>(this->context_, this->witness_,
                                                                   fmt::format("upstream-{}", n)));
        this->store_.list(*this->upstreams_.back(), "ready");
    }
    this->configure();
    for (unsigned n = 0; n < gateway_count; ++n) {
        this->gateways_.push_back(
            std::make_unique<gateway_child>(directory, n, gateway_count, this->store_.address()));
        this->gateways_.back()->start();
    }
    this->wait_until_ready();
}

void soak_run::configure()
{
    ++this->version_;
    this->store_.configure(
        this->version_, {{"safe", "safe", max_attempts, false},
                         {"unsafe", "unsafe", 1, false},
                         {"stream", "streaming", max_attempts, true},
                         {fmt::format("version-{}", this->version_), "safe", max_attempts, false}});
}

void soak_run::play(std::chrono::seconds faults_for)
{
    std::vector<std::string> addresses;
    std::ranges::transform(this->gateways_, std::back_inserter(addresses),
                           [](const auto& it) { return it->caller_address(); });
    std::vector<std::unique_ptr<soak_caller>> callers;
    for (unsigned n = 0; n < caller_count; ++n) {
        const auto seed = static_cast<unsigned>(this->random_());
        callers.push_back(std::make_unique<soak_caller>(seed, addresses, this->ledger_));
    }
    const auto end = timer::now() + faults_for;
    auto next_fault = timer::now();
    while (timer::now() < end) {
        if (timer::now() >= next_fault) {
            next_fault += std::chrono::milliseconds(100 + this->pick(500));
            this->begin_fault();
        }
        this->run_repairs(false);
        this->watch_gateways();
        std::this_thread::sleep_for(step);
    }
    this->run_repairs(true);
    this->configure();
    this->wait_until_ready();
    // Calls that began during the faults end within the callers' patience.
    std::this_thread::sleep_for(4s);
    this->ledger_.is_calm = true;
    std::this_thread::sleep_for(calm_time);
    this->ledger_.is_calm = false;
    for (const auto& gateway : this->gateways_) {
        const auto target = fmt::format("/version-{}/probe", this->version_);
        if (const auto status = get_status(gateway->caller_address(), target); status != 200) {
            this->ledger_.add_violation(
                fmt::format("CONFIG: {} answers {}", gateway->caller_address(), status));
        }
    }
    callers.clear();
    this->ledger_.settle(this->witness_, max_attempts);
}

void soak_run::begin_fault()
{
    constexpr unsigned gateway_kinds = 5;
    constexpr unsigned upstream_kinds = 8;
    constexpr unsigned store_kinds = 3;
    const auto kind = this->pick(gateway_kinds + upstream_kinds + store_kinds);
    if (kind < gateway_kinds) {
        this->break_gateway(kind);
    }
    else if (kind < gateway_kinds + upstream_kinds) {
        this->break_upstream(kind - gateway_kinds);
    }
    else if (kind == gateway_kinds + upstream_kinds) {
        this->note("configuration");
        this->configure();
    }
    else {
        const bool refuses = kind == gateway_kinds + upstream_kinds + 1;
        this->note(refuses ? "store refuses" : "store silent");
        this->store_.set_state(refuses ? store_state::refuses : store_state::silent);
        this->repair_after(2s, [this] { this->store_.set_state(store_state::works); });
    }
}

void soak_run::break_gateway(unsigned kind)
{
    const auto index = this->pick(gateway_count);
    auto& gateway = *this->gateways_[index];
    switch (kind) {
    case 0:
        this->note(fmt::format("kill gateway {}", index));
        this->killed_.insert(index);
        gateway.signal(SIGKILL);
        break;
    case 1:
    case 2:
        this->note(fmt::format("terminate gateway {}", index));
        if (gateway.runs() && this->terminated_[index] == timer::time_point{}) {
            this->terminated_[index] = std::max(timer::now(), this->thawed_[index]);
        }
        gateway.signal(SIGTERM);
        break;
    case 3:
        this->note(fmt::format("freeze gateway {}", index));
        gateway.signal(SIGSTOP);
        this->thawed_[index] = timer::now() + freeze_time;
        // A frozen process ends later by as much.
        if (this->terminated_[index] != timer::time_point{}) {
            this->terminated_[index] += freeze_time;
        }
        this->repair_after(freeze_time, [&gateway] { gateway.signal(SIGCONT); });
        break;
    default:
        this->note(fmt::format("reload gateway {}", index));
        // Before main() the signal ends any process; test_gateway_process covers the start. A
        // frozen one is not asked: the schedule would wait for it, and it for the schedule.
        if (timer::now() < this->thawed_[index] ||
            get_status(gateway.readiness_address(), "/ready") != 0) {
            gateway.signal(SIGHUP);
        }
        break;
    }
}

void soak_run::break_upstream(unsigned kind)
{
    auto& upstream = *this->upstreams_[this->pick(upstream_count)];
    const auto lasts = std::chrono::milliseconds(300 + this->pick(1500));
    const auto begin = [&](const std::string& what, std::function<void()> end) {
        this->note(what + " " + upstream.name());
        this->repair_after(lasts, std::move(end));
    };
    switch (kind) {
    case 0:
        begin("refusals of", [&upstream] { upstream.refuses = false; });
        upstream.refuses = true;
        break;
    case 1:
        begin("failures of", [&upstream] { upstream.fails = false; });
        upstream.fails = true;
        break;
    case 2:
        begin("slow work of", [&upstream] { upstream.work_ms = 20; });
        upstream.work_ms = 300;
        break;
    case 3:
        this->note("resets of " + upstream.name());
        upstream.proxy().reset_open_connections();
        break;
    case 4:
        this->note("silent connections to " + upstream.name());
        upstream.proxy().silence_open_connections();
        break;
    case 5:
        begin("slow way to", [&upstream] { upstream.proxy().set_delay(0ms); });
        upstream.proxy().set_delay(20ms);
        break;
    case 6:
        begin("lost answers of", [&upstream] {
            upstream.proxy().reset_open_connections();
            upstream.proxy().drop_answers(false);
        });
        upstream.proxy().drop_answers(true);
        break;
    default:
        begin("draining", [this, &upstream] { this->store_.list(upstream, "ready"); });
        this->store_.list(upstream, "draining");
        break;
    }
}

void soak_run::note(const std::string& what)
{
    const auto at = std::chrono::duration<double>(timer::now() - this->started_);
    this->faults_.push_back(fmt::format("{:.2f} s {}", at.count(), what));
}

void soak_run::repair_after(std::chrono::milliseconds delay, std::function<void()> act)
{
    this->repairs_.push_back({timer::now() + delay, std::move(act)});
}

void soak_run::run_repairs(bool all)
{
    const auto now = timer::now();
    const auto later = std::partition(this->repairs_.begin(), this->repairs_.end(),
                                      [=](const repair& it) { return all || it.at <= now; });
    const std::vector<repair> due(this->repairs_.begin(), later);
    this->repairs_.erase(this->repairs_.begin(), later);
    std::ranges::for_each(due, [](const repair& it) { it.act(); });
}

void soak_run::watch_gateways()
{
    for (unsigned index = 0; index < gateway_count; ++index) {
        auto& gateway = *this->gateways_[index];
        auto& terminated = this->terminated_[index];
        const bool was_told = terminated != timer::time_point{};
        if (const auto status = gateway.take_end()) {
            const bool was_killed = this->killed_.erase(index) > 0;
            const bool ended_well = was_told && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
            if (!was_killed && !ended_well) {
                this->ledger_.add_violation(
                    fmt::format("FAULT: gateway {} ended with status {}", index, *status));
            }
            terminated = {};
            gateway.start();
        }
        else if (was_told && timer::now() - terminated > longest_end) {
            this->ledger_.add_violation(fmt::format("DRAIN: gateway {} still runs", index));
            terminated = {};
            this->killed_.insert(index);
            gateway.signal(SIGKILL);
        }
    }
}

void soak_run::wait_until_ready()
{
    const auto until = timer::now() + longest_recovery;
    const auto is_ready = [](const auto& gateway) {
        return gateway->runs() && get_status(gateway->readiness_address(), "/ready") == 200;
    };
    const auto none_ends = [this] {
        return std::ranges::all_of(this->terminated_,
                                   [](auto at) { return at == timer::time_point{}; });
    };
    while (!none_ends() || !std::ranges::all_of(this->gateways_, is_ready)) {
        if (timer::now() > until) {
            this->ledger_.add_violation("RECOVER: a gateway is not ready in time");
            return;
        }
        this->watch_gateways();
        std::this_thread::sleep_for(step);
    }
}

} // namespace medlaryoke::soak
