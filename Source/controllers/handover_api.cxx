#include "controllers/handover_api.h"

#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_text.h"
#include "base/text_rules.h"
#include "model/json_document.h"
#include "transport/error_response.h"

namespace medlaryoke::controllers {

namespace {

using json = nlohmann::json;
using policy::handover_action;
using policy::work_owner;
using response_ptr = std::shared_ptr<transport::response_stream>;

constexpr std::string_view path_prefix = "/v1/handover/";
constexpr unsigned status_ok = 200;
// Each payload is stored in a single log record.
constexpr std::size_t max_payload_bytes = 256U * 1024U;

std::string_view owner_name(work_owner owner)
{
    return owner == work_owner::old_router ? "old" : "new";
}

json describe(const std::string& work_id, work_owner owner, policy::work_state state,
              std::uint64_t version)
{
    return {{"work_id", work_id},
            {"owner", owner_name(owner)},
            {"state", to_string(state)},
            {"version", version}};
}

/// Checks that a text is a valid name.
/// @param text the text
/// @param field what the text is, for the error message
/// @param remedy start of the error's remedy
/// @return the text
/// @throws error of kind invalid_argument if it is not a valid name
std::string require_name(std::string_view text, std::string_view field, std::string_view remedy)
{
    if (!obeys(text_rule::name, text)) {
        throw error(error_kind::invalid_argument,
                    fmt::format("{}: \"{}\" is not a valid name", field, text),
                    fmt::format("{} ({})", remedy, range_of(text_rule::name)));
    }
    return std::string(text);
}

/// Parses the payload of an offer or the result of a completion.
/// @param body a JSON object
/// @return the object as compact JSON
/// @throws error if the body is too large or is not a JSON object
std::string parse_payload(const std::string& body)
{
    if (body.size() > max_payload_bytes) {
        throw error(
            error_kind::too_large,
            fmt::format("body of {} bytes is larger than {} bytes", body.size(), max_payload_bytes),
            "Send a smaller payload.");
    }
    const auto document = model::read_json(body, "request body");
    if (document.shape != document_node::node_shape::mapping) {
        throw error(error_kind::invalid_argument, "request body is not a JSON object",
                    "Send a JSON object.");
    }
    return json::parse(body).dump();
}

policy::handover_record parse_request(const transport::http_request& request,
                                      const std::string& work_id, std::string_view action_name)
{
    const auto action = policy::parse_handover_action(action_name);
    if (!action || *action == handover_action::start || *action == handover_action::cancel) {
        throw error(error_kind::not_found, fmt::format("unknown action \"{}\"", action_name),
                    "Use offer, withdraw, return or complete.");
    }
    if (request.method != "POST") {
        throw error(error_kind::invalid_argument,
                    fmt::format("method {} is not allowed on {}", request.method, request.target),
                    "Use POST.");
    }
    const auto operation =
        require_name(transport::find_header(request.headers, "Medlaryoke-Operation"),
                     "header Medlaryoke-Operation", "Send an id that is repeated on a retry.");
    policy::handover_record record;
    // The caller's id is unique only for one action on one piece of work.
    record.operation_id = fmt::format("{}/{}/{}", work_id, action_name, operation);
    record.work_id = work_id;
    record.action = *action;
    record.by =
        *action == handover_action::give_back ? work_owner::new_router : work_owner::old_router;
    if (*action == handover_action::offer || *action == handover_action::complete) {
        record.content = parse_payload(request.body);
    }
    return record;
}

/// Sends the result of an action as the response.
struct result_responder {
    const std::string& work_id;
    transport::response_stream& response;

    void operator()(const policy::handover_accepted& result) const
    {
        this->response.respond(transport::make_json_response(
            status_ok,
            to_json_text(describe(this->work_id, result.owner, result.state, result.version))));
    }

    void operator()(const policy::handover_refused& result) const
    {
        this->fail({error_kind::conflict,
                    fmt::format("work \"{}\" is {} and owned by the {} router since version {}",
                                this->work_id, to_string(result.state), owner_name(result.owner),
                                result.version),
                    "Read its state and leave the work to its owner."},
                   "not-run");
    }

    void operator()(const write_refused& result) const
    {
        this->fail({error_kind::unavailable,
                    fmt::format("work \"{}\" was not changed: {}", this->work_id, result.reason),
                    "Send the action again with a new operation id when the log is available."},
                   "not-run");
    }

    void operator()(const write_unknown& result) const
    {
        this->fail({error_kind::outcome_unknown,
                    fmt::format("work \"{}\": {}", this->work_id, result.reason),
                    "Send the action again with the same operation id."},
                   "unknown");
    }

private:
    void fail(const error& failure, std::string_view outcome) const
    {
        this->response.respond(transport::make_error_response(failure, outcome));
    }
};

void get_work(const handover_controller& controller, const std::string& work_id,
              transport::response_stream& response)
{
    const auto item = controller.find(work_id);
    if (!item) {
        throw error(error_kind::not_found, fmt::format("work \"{}\" is not known", work_id),
                    "The old router owns work that was never offered.");
    }
    auto body = describe(work_id, item->owner, item->state, item->version);
    if (item->state == policy::work_state::started) {
        body["runner"] = item->runner;
    }
    if (item->state == policy::work_state::completed && !item->content.empty()) {
        body["result"] = json::parse(item->content);
    }
    response.respond(transport::make_json_response(status_ok, to_json_text(body)));
}

} // namespace

bool handover_api::handle(const transport::http_request& request, const response_ptr& response)
{
    const std::string_view target(request.target);
    if (!target.starts_with(path_prefix)) {
        return false;
    }
    try {
        const auto rest = target.substr(path_prefix.size());
        const auto slash = rest.find('/');
        const auto work_id = require_name(rest.substr(0, slash), "work id", "Send a valid id.");
        if (slash == std::string_view::npos) {
            if (request.method != "GET") {
                throw error(error_kind::invalid_argument,
                            fmt::format("method {} is not allowed on this path", request.method),
                            "Use GET on this path, or POST to an action.");
            }
            get_work(this->controller_, work_id, *response);
            return true;
        }
        auto record = parse_request(request, work_id, rest.substr(slash + 1));
        if (record.action == handover_action::offer) {
            this->check_payload_(record.content);
        }
        this->controller_.submit(std::move(record),
                                 [work_id, response](const handover_result& result) {
                                     std::visit(result_responder{work_id, *response}, result);
                                 });
    }
    catch (const error& e) {
        response->respond(transport::make_error_response(e));
    }
    return true;
}

} // namespace medlaryoke::controllers
