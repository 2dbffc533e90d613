#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::policy {

/// How long the store has answered a gateway without a failure.
struct store_report {
    time_point answering_since{}; ///< first answer after the last failure
    time_point answered_at{};     ///< last answer
    bool had_failure = false;     ///< whether there was a failure before answering_since
};

/// Why the store did not answer for a time.
enum class outage_cause {
    undecided, ///< not known yet, or there was no outage
    store,     ///< it did not answer the other gateways either
    own_path,  ///< it went on answering others
};

struct store_contact_options {
    /// An answer to a peer counts only if it came this much later than the last own one: the times
    /// of peers are inexact, and an answer may have been on its way when the store stopped.
    duration margin = std::chrono::milliseconds(200);
    /// Time after the end of an outage in which peers report; several heartbeats.
    duration decision_time = std::chrono::milliseconds(1000);
};

/// Tells an outage of the store from a failure of the own path to it, by what the other gateways
/// heard from the store meanwhile. In an outage of the store, entries expire although their writers
/// run; while only the own path fails, a removed entry has been removed by its writer. If nothing
/// is heard from the peers that should be there, the own path is taken to have failed: a request to
/// an upstream that has left is worse than one that a running upstream does not get for a moment.
/// Not thread safe.
class store_contact {
public:
    explicit store_contact(store_contact_options options = {}) : options_(options) {}

    /// Records an answer of the store.
    void on_answer(time_point now);

    /// Records a call that the store did not answer.
    void on_failure(time_point now);

    /// @return what the peers are to know; empty while the store does not answer
    [[nodiscard]] std::optional<store_report> report() const;

    /// @param peers reports of the gateways that are heard; empty ones of those that the store does
    /// not answer
    /// @param known_peers number of gateways that were heard lately, whether silent now or not
    /// @param now the current time
    /// @return the cause of the last outage
    [[nodiscard]] outage_cause judge(const std::vector<std::optional<store_report>>& peers,
                                     std::size_t known_peers, time_point now) const;

private:
    store_contact_options options_;
    std::optional<time_point> lost_at_; ///< last answer before the last outage
    std::optional<time_point> answering_since_;
    time_point answered_at_{};
};

} // namespace medlaryoke::policy
