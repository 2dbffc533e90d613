#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "model/wire.pb.h"

namespace medlaryoke::controllers {

/// Measures the token rate of each organisation with exponential decay. Not thread safe.
class usage_meter {
public:
    /// @param time_constant time without new tokens in which a rate decays to 37%
    explicit usage_meter(duration time_constant = std::chrono::seconds(10));

    /// Adds tokens to the usage of an organisation.
    /// @param organisation name of the organisation
    /// @param tokens number of tokens
    /// @param now the current time
    void add(const std::string& organisation, double tokens, time_point now);

    /// Returns the organisations with the highest token rates and removes those under one token per
    /// second.
    /// @param count largest number of organisations to return
    /// @param now the current time
    /// @return the organisations, highest rate first
    std::vector<wire::organisation_usage> top_organisations(std::size_t count, time_point now);

private:
    struct decayed_usage {
        double tokens = 0; ///< decayed number of tokens at the time of the last update
        time_point updated_at{};
    };

    [[nodiscard]] double tokens_at(const decayed_usage& usage, time_point now) const;

    duration time_constant_;
    std::unordered_map<std::uint64_t, decayed_usage> usage_;
};

} // namespace medlaryoke::controllers
