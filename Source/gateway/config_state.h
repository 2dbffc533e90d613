#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "gateway/request_filters.h"
#include "model/route_config.h"

namespace medlaryoke::gateway {

/// Holds the active configuration of this process. Its version only increases.
class config_state {
public:
    using decoder = std::function<model::route_config(std::string_view record)>;

    /// @param decode decodes a record; throws error if the record is invalid
    explicit config_state(decoder decode) : decode_(std::move(decode)) {}

    /// Activates the configuration in a record if it is valid and newer than the active one.
    /// @param record configuration as the operator wrote it
    /// @param source origin of the record, for the log
    /// @return whether the configuration was activated
    bool apply(const std::string& record, std::string_view source);

    /// @param is_confirmed whether no newer configuration is in force elsewhere
    void set_confirmed(bool is_confirmed) { this->active_.is_confirmed = is_confirmed; }

    [[nodiscard]] const active_config& active() const { return this->active_; }

    /// @return version of the active configuration; 0 if there is none
    [[nodiscard]] std::uint64_t version() const
    {
        return this->active_.config ? this->active_.config->version : 0;
    }

    /// @return record of the active configuration, for peers that cannot reach the store
    [[nodiscard]] const std::string& record() const { return this->record_; }

private:
    decoder decode_;
    active_config active_;
    std::string record_;
    event_log log_{"config"};
};

} // namespace medlaryoke::gateway
