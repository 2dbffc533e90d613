#pragma once

#include <string>

#include "controllers/rank_engine.h"
#include "transport/http_client.h"
#include "transport/runtime.h"

namespace medlaryoke::controllers {

/// Client for the HTTP interface of a rank's engine. `GET /rank` returns its state as JSON:
/// `incarnation`, `active_map`, `loaded_map`, `held_step`, `held_map`, `next_step`,
/// `completed_step` and `tokens` (by layer and slot). `POST /orders` takes `action` (`load_map`,
/// `hold`, `use_map`, `release`) with `map`, `step`, `layers` and `slots_per_rank`, and returns the
/// state, with status 200 if the engine accepted the command and 409 if it did not.
class http_rank_engine final : public rank_engine {
public:
    /// @param context runs the HTTP exchanges
    /// @param address IP address and port of the engine
    http_rank_engine(transport::runtime& context, const std::string& address);

    void read(done_function done) override;
    void execute(const policy::map_command& command, const wire::expert_map& map,
                 done_function done) override;

private:
    void fetch(const transport::http_request& request, done_function done);

    transport::http_client client_;
};

} // namespace medlaryoke::controllers
