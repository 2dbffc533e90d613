#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "policy/upstream_crash.h"

namespace medlaryoke::policy {

struct quarantine_options {
    /// Crashes without an answer in between after which a part is quarantined.
    unsigned crashes_to_quarantine = 2;
    /// Time between a crash and the decision on it, in which peers report the requests that they
    /// had at the upstream and the parts that were answered. Longer than the upstreams of a group
    /// take to cut off the answers that depend on the ended one: these show which parts they
    /// survived.
    duration decision_delay = std::chrono::seconds(2);
    /// A crash that no quarantined part explains is remembered for this time.
    duration evidence_time = std::chrono::minutes(10);
    /// Length of the first quarantine of a part. Afterwards one more crash suffices, and the next
    /// quarantine is twice as long.
    duration quarantine_time = std::chrono::minutes(10);
    duration max_quarantine_time = std::chrono::hours(24);
    /// Share of the requests from which a quarantine is tested with one request, in case it is
    /// wrong.
    double min_tested_share = 0.1;
    unsigned min_tested_requests = 5; ///< refused requests from which that share is known
    /// Time from the quarantine to its test, in which the upstreams recover.
    duration test_delay = std::chrono::seconds(4);
    /// A part that was answered within this time is not taken for the cause of a single crash.
    duration trust_time = std::chrono::seconds(30);
    /// Changes are reported to the peers for this time, so that a lost report does not matter.
    duration report_time = std::chrono::seconds(2);
    /// After that, everything is reported again at this interval.
    duration report_interval = std::chrono::seconds(5);
    /// Parts that were not seen for this time are forgotten.
    duration forget_time = std::chrono::minutes(5);
    std::size_t max_crashes = 64;      ///< remembered at the same time
    std::size_t max_parts = 20'000;    ///< known at the same time
    std::size_t max_quarantined = 256; ///< at the same time
};

/// A part of prompts that is not sent to upstreams.
struct quarantined_part {
    std::string part;
    time_point since{};
    time_point until{};
    /// Latest epoch of the store in which a gateway has written it; empty if none has.
    std::optional<std::uint64_t> stored_epoch = std::nullopt;
    bool is_tested = false; ///< a request was let through to test the quarantine
};

/// What a gateway knows of crashes, as sent to its peers. Times are ages, because the clocks of two
/// gateways differ.
struct quarantine_report {
    struct suspect {
        duration sent_ago{};
        std::vector<std::string> parts;
    };
    struct crash {
        std::uint64_t upstream = 0;
        duration ago{};
        std::vector<suspect> suspects;
    };
    struct answer {
        std::string part;
        duration ago{};
    };
    struct quarantine {
        std::string part;
        duration since{};
        duration left{};
        std::optional<std::uint64_t> stored_epoch;
        bool is_tested = false;
    };

    std::vector<crash> crashes;
    std::vector<answer> answers;
    std::vector<quarantine> quarantined;
};

/// Finds the parts of prompts that end each upstream that begins to answer them, whatever else the
/// prompt holds, and keeps requests with these parts away from the upstreams.
///
/// A crash alone does not show which of the requests at the upstream caused it. A part becomes
/// suspicious with each crash at which a request with it was unanswered, and any answer to a
/// request with it clears it. Crashes count as separate only if the later request was sent after
/// the earlier crash, so that upstreams that fail together count once. Of the suspicious
/// parts, the one with the most crashes for its requests is quarantined; it explains these crashes,
/// and what remains is decided in the same way. A quarantined part that many requests hold is
/// tested with one of them. Gateways exchange what they see, as each sees only its own requests.
/// Not thread safe.
class prompt_quarantine {
public:
    explicit prompt_quarantine(quarantine_options options = {});

    /// Counts a request.
    /// @param parts of its prompt that other requests may share
    /// @param now the current time
    void on_request(const std::vector<std::string>& parts, time_point now);

    /// Clears the parts of a request that an upstream has answered.
    /// @param parts of the prompt
    /// @param now the current time
    void on_answered(const std::vector<std::string>& parts, time_point now);

    /// Records a crash. The suspects of several records of the same upstream are merged.
    /// @param crash the crash
    /// @param now the current time
    void on_crash(const upstream_crash& crash, time_point now);

    /// Decides on the crashes that are old enough.
    /// @param now the current time
    /// @return the parts that are quarantined from now on
    std::vector<quarantined_part> decide(time_point now);

    /// @param parts of a prompt
    /// @param now the current time
    /// @return until when requests with one of the parts are refused; empty if none is quarantined
    [[nodiscard]] std::optional<time_point> refused_until(const std::vector<std::string>& parts,
                                                          time_point now) const;

    /// Decides whether a request that would be refused is sent all the same, to test a quarantine
    /// that affects many requests. Each quarantine is tested once.
    /// @param parts of the prompt
    /// @param now the current time
    /// @return whether the request is sent; if so, it must not be repeated
    [[nodiscard]] bool try_test(const std::vector<std::string>& parts, time_point now);

    /// @param parts of the prompt of a request that was unanswered when its upstream ended
    /// @param now the current time
    /// @return whether the request may be the cause, and so may end another upstream
    [[nodiscard]] bool is_suspicious(const std::vector<std::string>& parts, time_point now) const;

    /// @param now the current time
    /// @return what the peers are to know now; empty if there is nothing new
    [[nodiscard]] std::optional<quarantine_report> report(time_point now);

    /// Reports everything again, because a peer may not know it.
    void report_again(time_point now) { this->report_until_ = now + this->options_.report_time; }

    /// Takes over what a peer knows.
    /// @param report of the peer
    /// @param now the current time
    /// @return the parts that are quarantined from now on
    std::vector<quarantined_part> merge(const quarantine_report& report, time_point now);

    /// Takes over a quarantine that a peer or an earlier process decided. Ignored if the part was
    /// answered since, or if a longer one is known.
    /// @param part the part and the time of its quarantine
    /// @param now the current time
    /// @return whether the part was not quarantined before
    bool adopt(const quarantined_part& part, time_point now);

    /// Notes that a quarantine was written to the store.
    void on_stored(const std::string& part, std::uint64_t epoch, time_point now);

    /// @return the parts whose quarantine an answer has ended since the last call
    [[nodiscard]] std::vector<std::string> take_lifted()
    {
        return std::exchange(this->lifted_, {});
    }

    /// @param now the current time
    /// @return the quarantined parts, sorted by name
    [[nodiscard]] std::vector<quarantined_part> quarantined(time_point now) const;

private:
    struct part_state {
        std::uint64_t requests = 0;
        time_point seen_at{};
        time_point answered_at{}; ///< zero: never
    };
    struct crash_state {
        upstream_crash crash;
        time_point decide_at{};
    };

    [[nodiscard]] bool is_quarantined(const std::string& part, time_point now) const;
    [[nodiscard]] bool is_explained(const upstream_crash& crash, time_point now) const;
    [[nodiscard]] time_point answered_at(const std::string& part) const;
    void clear(const std::string& part, time_point answered_at, time_point now);
    [[nodiscard]] std::optional<std::string>
    choose_cause(const std::vector<const upstream_crash*>& crashes) const;
    quarantined_part quarantine(const std::string& part, time_point now);
    void forget(time_point now);

    quarantine_options options_;
    std::unordered_map<std::string, part_state> parts_;
    std::map<std::uint64_t, crash_state> crashes_; ///< by upstream
    /// By name. A quarantine that has passed is kept as long again; see quarantine_time.
    std::map<std::string, quarantined_part> quarantined_;
    /// Requests since each quarantine began here: all, and those that only this part had refused.
    struct refusal_count {
        std::uint64_t requests = 0;
        std::uint64_t refused = 0;
    };
    std::map<std::string, refusal_count> refusals_;
    std::set<std::string> disputed_; ///< quarantined by a peer, although they were answered since
    std::vector<std::string> lifted_;
    std::optional<time_point> next_decision_;
    time_point next_forget_{};
    time_point report_until_{};
    time_point next_report_{};
};

} // namespace medlaryoke::policy
