#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/clock.h"

namespace medlaryoke::policy {

/// What an answer of an upstream said of the rate at which it takes requests.
struct rate_limit_statement {
    std::uint64_t upstream = 0;       ///< hash of the id and the start time of the upstream
    std::optional<double> per_second; ///< requests a second from all gateways; empty: no limit
    time_point stated_at{};
};

/// Holds the rate limits that upstreams have named. A limit is valid until the upstream answers
/// without one. Not thread safe.
class rate_limit_table {
public:
    /// Takes over what an answer said, or what a peer knows. An older statement is ignored.
    /// @param statement the statement
    /// @return whether the limit of the upstream has changed
    bool add(const rate_limit_statement& statement);

    /// @param upstream hash of the id and the start time of an upstream
    /// @return requests a second that it takes from all gateways; empty without a limit
    [[nodiscard]] std::optional<double> limit(std::uint64_t upstream) const;

    /// @return whether any upstream has a limit
    [[nodiscard]] bool has_limits() const { return this->limited_count_ > 0; }

    /// @return the newest statement of each upstream
    [[nodiscard]] const std::unordered_map<std::uint64_t, rate_limit_statement>& statements() const
    {
        return this->statements_;
    }

    /// Forgets an upstream that has ended.
    void erase(std::uint64_t upstream);

private:
    std::unordered_map<std::uint64_t, rate_limit_statement> statements_;
    std::size_t limited_count_ = 0;
};

} // namespace medlaryoke::policy
