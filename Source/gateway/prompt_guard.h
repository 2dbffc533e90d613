#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/crash_detector.h"
#include "gateway/gateway_metrics.h"
#include "policy/prompt_quarantine.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

/// Keeps requests away from upstreams that would end them; see policy::prompt_quarantine. Used on
/// the gateway's thread.
class prompt_guard {
public:
    using quarantine_handler = std::function<void(const std::vector<policy::quarantined_part>&)>;

    /// @param context runs the checks of upstreams
    /// @param clock source of the current time
    /// @param options of the quarantine
    /// @param metrics receives the counters
    /// @param on_quarantined called with parts that are quarantined from now on
    prompt_guard(transport::runtime& context, const clock_source& clock,
                 const policy::quarantine_options& options, gateway_metrics& metrics,
                 quarantine_handler on_quarantined);

    /// Counts a new request.
    /// @param parts of its prompt that other requests may share
    void on_request(const std::vector<std::string>& parts);

    /// @param may_test returns whether this gateway is the one that tests quarantines
    void set_tester(std::function<bool()> may_test) { this->may_test_ = std::move(may_test); }

    /// Notes that an upstream has written an answer.
    /// @param parts of the prompt
    void on_answered(const std::vector<std::string>& parts);

    /// @param parts of a prompt
    /// @return for how long requests with one of the parts are refused; empty if they are not
    [[nodiscard]] std::optional<duration> refused_for(const std::vector<std::string>& parts) const;

    /// Decides whether a request that would be refused is sent all the same; see
    /// policy::prompt_quarantine::try_test.
    [[nodiscard]] bool try_test(const std::vector<std::string>& parts);

    /// Finds out whether an upstream that closed a connection before it wrote an answer has ended.
    /// @param upstream hash of the id and the start time of the upstream
    /// @param address of the upstream
    /// @param suspect the request that was not answered
    /// @param done called once with whether the upstream has ended, and whether the request may be
    /// the cause
    void check_upstream(std::uint64_t upstream, const std::string& address,
                        const policy::crash_suspect& suspect,
                        std::function<void(bool ended, bool is_suspicious)> done);

    /// Decides on crashes; to be called every few tens of milliseconds.
    void tick();

    /// @return what the peers are to know now; empty if there is nothing new
    [[nodiscard]] std::optional<policy::quarantine_report> report();

    /// Reports everything again, because a peer may not know it.
    void report_again() { this->quarantine_.report_again(this->clock_.now()); }

    /// Takes over what a peer knows.
    /// @param report of the peer
    void merge(const policy::quarantine_report& report);

    /// Takes over a quarantine from the store.
    void adopt(const policy::quarantined_part& part);

    /// Notes that a quarantine was written to the store.
    /// @param part that is quarantined
    /// @param epoch of the store that acknowledged it
    void on_stored(const std::string& part, std::uint64_t epoch);

    /// @return the parts that are quarantined
    [[nodiscard]] std::vector<policy::quarantined_part> quarantined() const
    {
        return this->quarantine_.quarantined(this->clock_.now());
    }

private:
    void announce(const std::vector<policy::quarantined_part>& parts, std::string_view source);

    const clock_source& clock_;
    gateway_metrics& metrics_;
    quarantine_handler on_quarantined_;
    std::function<bool()> may_test_ = [] { return true; };
    policy::prompt_quarantine quarantine_;
    crash_detector detector_;
    event_log log_{"crash"};
};

} // namespace medlaryoke::gateway
