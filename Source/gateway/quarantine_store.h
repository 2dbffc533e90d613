#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/keyed_log.h"
#include "gateway/prompt_guard.h"
#include "policy/prompt_quarantine.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

/// Keeps the quarantined parts in the store, so that they outlast a restart of all gateways. One
/// gateway writes each of them: gateways wait in the order of their names, and the ones behind hear
/// from the first that it has written. Used on the gateway's thread.
class quarantine_store : public std::enable_shared_from_this<quarantine_store> {
public:
    /// @param context runs the calls
    /// @param clock source of the current time
    /// @param store holds the topic; must outlive the runtime's last callback
    /// @param topic name of the topic
    /// @param guard knows the quarantined parts
    /// @param lower_peers returns the number of live gateways whose names are lower than the own
    /// one
    quarantine_store(transport::runtime& context, const clock_source& clock, keyed_log& store,
                     std::string topic, prompt_guard& guard,
                     std::function<std::size_t()> lower_peers);

    /// Reads the stored quarantines; tries again until the store answers.
    void load();

    /// Writes the parts that no gateway has written yet.
    void save(const std::vector<policy::quarantined_part>& parts);

    /// Writes all parts again if the epoch is a later one, as a restore may have lost their
    /// records.
    void on_store_epoch(std::uint64_t epoch);

private:
    /// @return whether a gateway has written the part since the store was last restored
    [[nodiscard]] bool is_stored(const policy::quarantined_part& part) const;

    void save_after(duration delay, const std::string& part);
    void save_now(const std::string& part);

    transport::runtime& context_;
    const clock_source& clock_;
    keyed_log& store_;
    std::string topic_;
    prompt_guard& guard_;
    std::function<std::size_t()> lower_peers_;
    std::uint64_t store_epoch_ = 0;
    event_log log_{"crash"};
};

} // namespace medlaryoke::gateway
