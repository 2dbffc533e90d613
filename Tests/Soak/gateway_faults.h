#pragma once

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Soak/gateway_child.h"
#include "Soak/soak_store.h"

namespace medlaryoke::soak {

/// Runs gateway processes and injects faults into them and the store: gateways are killed, one or
/// all, suspended and terminated, and the store refuses calls. Gateways that ended are started
/// again.
class gateway_faults {
public:
    using timer = std::chrono::steady_clock;

    /// `stableWindowMs` of the small sites: the users' bounds hold for gateways that have been
    /// without disruption for this time.
    static constexpr std::chrono::seconds stable_window{3};

    /// Starts the gateways and waits until they are ready.
    /// @param seed of the schedule of the faults
    /// @param count number of gateways
    /// @param store that the gateways use
    /// @param directory where their settings and logs are written
    /// @param restores_store whether the store is also restored from older copies
    gateway_faults(unsigned seed, unsigned count, soak_store& store, const std::string& directory,
                   bool restores_store);

    /// Injects a fault of a random kind.
    /// @return random pause before the next fault
    std::chrono::milliseconds inject();

    /// Ends the faults that are over and starts gateways that have ended; to be called often.
    void repair();

    /// @return whether a gateway was without disruption for the stable window
    [[nodiscard]] bool is_in_touch(unsigned gateway, timer::time_point at) const;

    [[nodiscard]] unsigned count() const { return static_cast<unsigned>(this->gateways_.size()); }

    /// @return where a gateway serves callers
    [[nodiscard]] const std::string& caller_address(unsigned gateway) const
    {
        return this->gateways_[gateway]->caller_address();
    }

    /// @return the injected faults with their times since the gateways were ready
    [[nodiscard]] const std::vector<std::string>& faults() const { return this->faults_; }

private:
    /// A period in which the gateway, or all of them, may break bounds.
    struct disruption {
        unsigned gateway = 0;
        bool is_of_all = false;
        timer::time_point begin;
        timer::time_point end;
    };

    void disrupt(unsigned gateway, bool is_of_all, std::chrono::milliseconds length,
                 const std::string& what);

    void restore_store();

    std::mt19937 random_;
    std::mt19937 restore_random_; ///< apart, so that a seed's other faults stay the same
    bool restores_store_ = false;
    soak_store& store_;
    std::vector<std::unique_ptr<gateway_child>> gateways_;
    std::vector<timer::time_point> resume_at_; ///< by gateway: when its suspension ends
    timer::time_point store_back_at_;
    std::vector<disruption> disruptions_;
    std::vector<std::string> faults_;
    timer::time_point started_;
};

} // namespace medlaryoke::soak
