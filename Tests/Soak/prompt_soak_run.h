#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Soak/crashing_engines.h"
#include "Soak/gateway_faults.h"
#include "Soak/soak_store.h"

namespace medlaryoke::soak {

/// Size of a run.
struct prompt_soak_options {
    unsigned seed = 1;
    unsigned gateways = 4;
    unsigned crashing_parts = 2;
    unsigned crashing_share = 15; ///< one of as many requests holds a crashing part
    bool restores_store = false;  ///< whether the store is restored from older copies
    std::chrono::seconds length{12};
};

/// Runs gateway processes before engines that parts of prompts end, while gateways are killed,
/// suspended and restarted, one by one and all at once, and the store is away. Checks two of the
/// users' rules. BUDGET: later than the stable window after the fifth crash of a part, at most
/// three requests with it reach engines. LOST: sound requests that share the caller and all other
/// parts are served at the first attempt at least half as often as outside unplanned disruption.
/// Both count only what gateways do that have been without disruption for the stable window.
class prompt_soak_run {
public:
    prompt_soak_run(const prompt_soak_options& options, const std::string& directory);
    prompt_soak_run(const prompt_soak_run&) = delete;
    prompt_soak_run& operator=(const prompt_soak_run&) = delete;
    prompt_soak_run(prompt_soak_run&&) = delete;
    prompt_soak_run& operator=(prompt_soak_run&&) = delete;
    ~prompt_soak_run();

    /// Sends requests and injects faults until the end of the run.
    void run();

    /// @return violated rules with their figures
    [[nodiscard]] std::vector<std::string> violations() const;

    /// @return one line with the totals of the run
    [[nodiscard]] std::string totals() const;

    [[nodiscard]] const std::vector<std::string>& faults() const
    {
        return this->gateways_->faults();
    }

private:
    using timer = crashing_engines::timer;

    /// The result of a sound request.
    struct sound_call {
        timer::time_point at;
        unsigned gateway = 0;
        bool is_served = false;
    };

    void call_until_end(unsigned seed);
    [[nodiscard]] timer::time_point fifth_crash(const std::string& part) const;
    [[nodiscard]] unsigned late_requests(const std::string& part) const;
    [[nodiscard]] double served_fraction(bool after_crashes, unsigned& count) const;

    prompt_soak_options options_;
    transport::runtime runtime_{1};
    soak_store store_;
    std::vector<std::string> parts_;
    std::unique_ptr<crashing_engines> engines_;
    std::unique_ptr<gateway_faults> gateways_;
    timer::time_point started_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<sound_call> sound_calls_;
};

} // namespace medlaryoke::soak
