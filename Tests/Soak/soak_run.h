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

/// Runs gateway processes with callers, upstreams behind proxies and a store, and injects faults at
/// random times. Faults may overlap and repeat. The seed alone determines the schedule of the
/// faults; their effect also depends on the timing of the processes.
class soak_run {
public:
    /// @param seed seed of the fault schedule
    /// @param directory where the settings and logs are written
    /// @param restores_store whether the store is also restored from older copies
    /// @param gives_notices whether upstreams say that they leave or want nothing, and a data
    /// centre is evacuated at times
    /// @param gives_wrong_inputs whether upstreams fail with statuses that promise what is not true
    /// or that HTTP does not have, and another writer adds incomplete entries
    soak_run(unsigned seed, const std::string& directory, bool restores_store, bool gives_notices,
             bool gives_wrong_inputs);

    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    soak_run(soak_run&&) = delete;
    soak_run& operator=(soak_run&&) = delete;
    ~soak_run();

    /// Injects faults, then ends them all and checks that the gateways recover.
    /// @param fault_duration time during which new faults start
    void run(std::chrono::seconds fault_duration);

    [[nodiscard]] const call_results& results() const { return this->results_; }

    /// @return the injected faults with their times since the start of the run
    [[nodiscard]] const std::vector<std::string>& faults() const { return this->faults_; }

private:
    using timer = std::chrono::steady_clock;

    /// A scheduled action that ends a fault.
    struct repair {
        timer::time_point at;
        std::function<void()> act;
    };

    void update_configuration();
    void inject_fault();
    void restore_store();
    void inject_gateway_fault(unsigned kind);
    void inject_upstream_fault(unsigned kind);
    /// Makes an upstream say that it leaves or wants nothing for a time, or evacuates a data
    /// centre.
    void inject_notice();
    void inject_wrong_input();
    /// Adds a violation if more than a few requests reached an upstream.
    /// @param since requests that arrived earlier are not counted
    void check_unused(const soak_upstream& upstream, timer::time_point since,
                      const std::string& rule);
    void record_fault(const std::string& what);
    void repair_after(std::chrono::milliseconds delay, std::function<void()> act);
    void run_repairs(bool all);
    void restart_exited_gateways();
    void wait_until_ready();
    unsigned random_below(unsigned count) { return static_cast<unsigned>(this->random_() % count); }

    std::mt19937 random_;
    std::mt19937 restore_random_; ///< apart, so that a seed's other faults stay the same
    std::mt19937 notice_random_;  ///< apart, as above
    std::mt19937 input_random_;   ///< apart, as above
    bool restores_store_ = false;
    bool gives_notices_ = false;
    bool gives_wrong_inputs_ = false;
    bool is_notice_given_ = false; ///< one at a time, so that enough upstreams are left
    transport::runtime runtime_{1};
    soak_store store_;
    execution_counter executions_;
    call_results results_;
    std::vector<std::unique_ptr<soak_upstream>> upstreams_;
    /// At the address that incomplete entries state; no whole entry names it.
    std::unique_ptr<soak_upstream> unlisted_upstream_;
    std::vector<std::unique_ptr<gateway_child>> gateways_;
    std::vector<timer::time_point> terminated_at_; ///< by gateway: time of SIGTERM; zero if none
    std::vector<timer::time_point> resumed_at_;    ///< by gateway: when its last suspension ends
    std::set<unsigned> killed_;                    ///< gateways that were sent SIGKILL
    std::vector<repair> repairs_;
    std::vector<std::string> faults_;
    timer::time_point started_;
    unsigned version_ = 0;
};

} // namespace medlaryoke::soak
