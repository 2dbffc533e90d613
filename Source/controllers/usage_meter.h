#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "model/wire.pb.h"

namespace medlaryoke::controllers {

/// Token rates of organisations, decayed exponentially. Not thread safe.
class usage_meter {
public:
    /// @param time_constant after this time without work a rate has fallen to 37%
    explicit usage_meter(duration time_constant = std::chrono::seconds(10));

    /// @param organisation who was served
    /// @param tokens the work
    /// @param now the current time
    void add(const std::string& organisation, double tokens, time_point now);

    /// @param count largest number of organisations
    /// @param now the current time
    /// @return the organisations with the highest rates, highest first; those under one token per
    /// second are left out and forgotten
    std::vector<wire::organisation_usage> heaviest(std::size_t count, time_point now);

private:
    struct decayed {
        double tokens = 0;
        time_point at{};
    };

    [[nodiscard]] double tokens_at(const decayed& usage, time_point now) const;

    duration time_constant_;
    std::unordered_map<std::uint64_t, decayed> usage_;
};

} // namespace medlaryoke::controllers
