#include "gateway/config_state.h"

#include <memory>

#include "base/error.h"

namespace medlaryoke::gateway {

bool config_state::apply(const std::string& record, std::string_view source)
{
    try {
        auto config = std::make_shared<const model::route_config>(this->decode_(record));
        if (config->version <= this->version()) {
            this->log_.sample(log_level::info, "configuration is not newer",
                              {{"version", static_cast<std::int64_t>(config->version)},
                               {"in_force", static_cast<std::int64_t>(this->version())},
                               {"source", source}});
            return false;
        }
        this->log_.note(log_level::info, "configuration in force",
                        {{"version", static_cast<std::int64_t>(config->version)},
                         {"previous", static_cast<std::int64_t>(this->version())},
                         {"routes", static_cast<std::int64_t>(config->routes.size())},
                         {"source", source}});
        this->active_.table = std::make_shared<const model::route_table>(config->routes);
        this->active_.config = std::move(config);
        this->record_ = record;
        return true;
    }
    catch (const error& e) {
        this->log_.note(log_level::error, "configuration cannot be read",
                        {{"source", source}, {"reason", e.what()}, {"remedy", e.remedy()}});
        return false;
    }
}

} // namespace medlaryoke::gateway
