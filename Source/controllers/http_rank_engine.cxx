#include "controllers/http_rank_engine.h"

#include <chrono>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "base/logging.h"

namespace medlaryoke::controllers {

namespace {

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

// The engine answers a command before it has loaded weights, so short timeouts are enough.
constexpr transport::http_timeouts timeouts{.connect = std::chrono::milliseconds(300),
                                            .write = std::chrono::seconds(1),
                                            .first_byte = std::chrono::seconds(1),
                                            .between_bytes = std::chrono::seconds(1)};

/// Converts a command to the JSON body of `POST /orders`.
struct command_to_json {
    const wire::expert_map& map;

    json operator()(const policy::map_query_command& /*it*/) const { return json::object(); }

    json operator()(const policy::map_prepare_command& it) const
    {
        auto layers = json::array();
        for (const auto& layer : this->map.layers()) {
            layers.push_back(layer.expert_of_slot());
        }
        return {{"action", "load_map"},
                {"map", it.version},
                {"slots_per_rank", this->map.slots_per_rank()},
                {"layers", std::move(layers)}};
    }

    json operator()(const policy::map_hold_command& it) const
    {
        return {{"action", "hold"}, {"map", it.version}, {"step", it.step}};
    }

    json operator()(const policy::map_activate_command& it) const
    {
        return {{"action", "use_map"}, {"map", it.version}, {"step", it.step}};
    }

    json operator()(const policy::map_abort_command& /*it*/) const
    {
        return {{"action", "release"}};
    }
};

rank_engine_state parse_state(const json& body)
{
    rank_engine_state state;
    auto& status = state.status;
    status.incarnation = body.at("incarnation").get<std::uint64_t>();
    status.active_version = body.at("active_map").get<std::uint64_t>();
    status.prepared_version = body.at("loaded_map").get<std::uint64_t>();
    status.held_step = body.at("held_step").get<std::uint64_t>();
    status.held_version = body.at("held_map").get<std::uint64_t>();
    status.next_step = body.at("next_step").get<std::uint64_t>();
    status.completed_step = body.at("completed_step").get<std::uint64_t>();
    if (body.contains("tokens")) {
        state.tokens = body.at("tokens").get<std::vector<std::vector<std::uint64_t>>>();
    }
    return state;
}

std::optional<rank_engine_state> parse_answer(const transport::http_response& response)
{
    if (response.head.status != status_ok && response.head.status != status_conflict) {
        return std::nullopt;
    }
    try {
        auto state = parse_state(json::parse(response.body));
        state.accepted = response.head.status == status_ok;
        return state;
    }
    catch (const json::exception& e) {
        logger("group").warning("Cannot parse the rank state of the engine: {}.", e.what());
        return std::nullopt;
    }
}

} // namespace

http_rank_engine::http_rank_engine(transport::runtime& context, const std::string& address)
    : client_(context, address)
{
}

void http_rank_engine::read(done_function done)
{
    this->fetch({.method = "GET", .target = "/rank", .headers = {}, .body = {}}, std::move(done));
}

void http_rank_engine::execute(const policy::map_command& command, const wire::expert_map& map,
                               done_function done)
{
    this->fetch({.method = "POST",
                 .target = "/orders",
                 .headers = {{"Content-Type", "application/json"}},
                 .body = std::visit(command_to_json{map}, command).dump()},
                std::move(done));
}

void http_rank_engine::fetch(const transport::http_request& request, done_function done)
{
    this->client_.fetch(request, timeouts, [done = std::move(done)](const auto& result) {
        const auto* response = std::get_if<transport::http_response>(&result);
        done(response != nullptr ? parse_answer(*response) : std::nullopt);
    });
}

} // namespace medlaryoke::controllers
