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

constexpr std::string_view prefix = "/v1/handover/";
constexpr unsigned status_ok = 200;
/// The payload becomes part of one log record.
constexpr std::size_t max_content_bytes = 256U * 1024U;

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

std::string checked_name(std::string_view text, std::string_view what, std::string_view remedy)
{
    if (!obeys(text_rule::name, text)) {
        throw error(error_kind::invalid_argument,
                    fmt::format("{}: \"{}\" is not a name", what, text),
                    fmt::format("{} ({})", remedy, range_of(text_rule::name)));
    }
    return std::string(text);
}

/// @return the body, written again as compact JSON
std::string parse_content(const std::string& body)
{
    if (body.size() > max_content_bytes) {
        throw error(
            error_kind::too_large,
            fmt::format("body of {} bytes is larger than {} bytes", body.size(), max_content_bytes),
            "Send a smaller payload.");
    }
    const auto document = model::read_json(body, "request body");
    if (document.shape != document_node::node_shape::mapping) {
        throw error(error_kind::invalid_argument, "request body: is not a JSON object",
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
        checked_name(transport::find_header(request.headers, "Medlaryoke-Operation"),
                     "header Medlaryoke-Operation", "Send an id that is repeated on a retry.");
    policy::handover_record record;
    // An id belongs to one action on one piece of work.
    record.operation_id = fmt::format("{}/{}/{}", work_id, action_name, operation);
    record.work_id = work_id;
    record.action = *action;
    record.by =
        *action == handover_action::give_back ? work_owner::new_router : work_owner::old_router;
    if (*action == handover_action::offer || *action == handover_action::complete) {
        record.content = parse_content(request.body);
    }
    return record;
}

/// Writes the result of an action as the reply.
struct result_writer {
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
    if (!target.starts_with(prefix)) {
        return false;
    }
    try {
        const auto rest = target.substr(prefix.size());
        const auto slash = rest.find('/');
        const auto work_id = checked_name(rest.substr(0, slash), "work id", "Send a valid id.");
        if (slash == std::string_view::npos) {
            if (request.method != "GET") {
                throw error(error_kind::invalid_argument,
                            fmt::format("method {} is not allowed here", request.method),
                            "Use GET, or POST to an action.");
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
                                     std::visit(result_writer{work_id, *response}, result);
                                 });
    }
    catch (const error& e) {
        response->respond(transport::make_error_response(e));
    }
    return true;
}

} // namespace medlaryoke::controllers
