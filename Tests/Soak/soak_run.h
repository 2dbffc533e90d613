#pragma once

#include <chrono>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Soak/gateway_child.h"
#include "Soak/soak_caller.h"
#include "Soak/soak_store.h"
#include "Soak/soak_upstream.h"

namespace medlaryoke::soak {

/// One run: gateways as processes, callers, upstreams behind proxies and a store, with faults at
/// random times from a seed that overlap and come more than once. The schedule follows from the
/// seed alone; what the processes make of it also depends on their timing.
class soak_run {
public:
    /// @param seed of the schedule
    /// @param directory where settings and logs are written
    soak_run(unsigned seed, const std::string& directory);

    /// Plays the faults, then demands that all is well again.
    /// @param faults_for how long faults begin
    void play(std::chrono::seconds faults_for);

    [[nodiscard]] const call_ledger& ledger() const { return this->ledger_; }

    /// @return the faults that were played, with their times
    [[nodiscard]] const std::vector<std::string>& faults() const { return this->faults_; }

private:
    using timer = std::chrono::steady_clock;

    /// Something that ends a fault.
    struct repair {
        timer::time_point at;
        std::function<void()> act;
    };

    void configure();
    void begin_fault();
    void break_gateway(unsigned kind);
    void break_upstream(unsigned kind);
    void note(const std::string& what);
    void repair_after(std::chrono::milliseconds delay, std::function<void()> act);
    void run_repairs(bool all);
    void watch_gateways();
    void wait_until_ready();
    unsigned pick(unsigned count) { return static_cast<unsigned>(this->random_() % count); }

    std::mt19937 random_;
    transport::runtime context_{1};
    soak_store store_;
    run_witness witness_;
    call_ledger ledger_;
    std::vector<std::unique_ptr<soak_upstream>> upstreams_;
    std::vector<std::unique_ptr<gateway_child>> gateways_;
    std::vector<timer::time_point> terminated_; ///< by gateway: when SIGTERM was sent, if it was
    std::vector<timer::time_point> thawed_;     ///< by gateway: when its last freeze ends
    std::set<unsigned> killed_;                 ///< gateways that were told to end by force
    std::vector<repair> repairs_;
    std::vector<std::string> faults_;
    timer::time_point started_;
    unsigned version_ = 0;
};

} // namespace medlaryoke::soak
