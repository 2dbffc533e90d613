#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "gateway/request_filters.h"
#include "model/route_config.h"

namespace medlaryoke::gateway {

/// The configuration in force in this process. Versions only grow.
class config_state {
public:
    using decoder = std::function<model::route_config(std::string_view record)>;

    /// @param decode makes the configuration from a record; throws error if it cannot
    explicit config_state(decoder decode) : decode_(std::move(decode)) {}

    /// Brings a record into force, unless its version is not newer or it cannot be read.
    /// @param record as the operator wrote it
    /// @param source where it came from, for the log
    /// @return whether it came into force
    bool apply(const std::string& record, std::string_view source);

    [[nodiscard]] const active_config& active() const { return this->active_; }

    /// @return version in force; 0 if there is none
    [[nodiscard]] std::uint64_t version() const
    {
        return this->active_.config ? this->active_.config->version : 0;
    }

    /// @return the record in force, for peers that cannot reach the store
    [[nodiscard]] const std::string& record() const { return this->record_; }

private:
    decoder decode_;
    active_config active_;
    std::string record_;
    event_log log_{"config"};
};

} // namespace medlaryoke::gateway
