#include "controllers/resource_api.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_text.h"
#include "controllers/resource_change.h"
#include "controllers/resource_watch.h"
#include "model/resource_text.h"
#include "transport/error_response.h"

namespace medlaryoke::controllers {

namespace {

using json = nlohmann::json;
using response_ptr = std::shared_ptr<transport::response_stream>;

constexpr unsigned status_ok = 200;
constexpr duration watch_update_interval = std::chrono::milliseconds(250);

std::vector<std::string> split_path(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        parts.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return parts;
}

json describe(const policy::resource_key& key, const policy::ledger_entry& entry)
{
    return {{"kind", key.first},
            {"name", key.second},
            {"version", entry.version},
            {"author", entry.author},
            {"spec", json::parse(entry.spec)}};
}

transport::http_header make_etag_header(std::uint64_t version)
{
    return {"ETag", fmt::format("\"{}\"", version)};
}

[[noreturn]] void reject_method(const transport::http_request& request, std::string_view allowed)
{
    throw error(error_kind::invalid_argument,
                fmt::format("method {} is not allowed on {}", request.method, request.target),
                fmt::format("Use {}.", allowed));
}

void check_kind(const std::string& kind)
{
    if (std::ranges::find(model::resource_kinds(), kind) == model::resource_kinds().end()) {
        throw error(error_kind::not_found, fmt::format("\"{}\" is not a kind of resource", kind),
                    fmt::format("Use one of {}.", fmt::join(model::resource_kinds(), ", ")));
    }
}

/// Parses the query of a watch.
/// @param query `from=VERSION`, or empty
/// @return the version; 0 if the query is empty
/// @throws error of kind invalid_argument if the query is not valid
std::uint64_t parse_start_version(std::string_view query)
{
    constexpr std::string_view parameter = "from=";
    std::uint64_t version = 0;
    if (query.empty()) {
        return version;
    }
    const auto text =
        query.starts_with(parameter) ? query.substr(parameter.size()) : std::string_view();
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, version);
    if (text.empty() || ec != std::errc{} || ptr != end) {
        throw error(error_kind::invalid_argument, fmt::format("query \"{}\" is not valid", query),
                    "Use from=VERSION, such as from=17.");
    }
    return version;
}

error make_conflict_error(const policy::change_conflict& conflict)
{
    const auto& [kind, name] = conflict.key;
    const auto reason = conflict.winning_version == 0
                            ? std::string("it does not exist")
                            : fmt::format("version {} by \"{}\" came first",
                                          conflict.winning_version, conflict.winning_author);
    return {error_kind::conflict,
            fmt::format("{} \"{}\": expected version {}, but {}", kind, name,
                        conflict.expected_version, reason),
            "Read the resource again and decide whether your change is still wanted."};
}

} // namespace

class resource_api::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(config_store& store, config_writer& writer,
                   std::function<std::uint64_t()> confirmed_offset, const clock_source& clock,
                   delayed_call after)
        : store_(store), writer_(writer), confirmed_offset_(std::move(confirmed_offset)),
          clock_(clock), after_(std::move(after)), watches_(store, this->confirmed_offset_)
    {
    }

    bool handle(const transport::http_request& request, const response_ptr& response)
    {
        const auto query_position = std::min(request.target.find('?'), request.target.size());
        const auto path = split_path(std::string_view(request.target).substr(0, query_position));
        if (path.size() < 2 || path[0] != "v1") {
            return false;
        }
        const auto query = std::string_view(request.target)
                               .substr(std::min(query_position + 1, request.target.size()));
        try {
            return this->route(request, path, query, response);
        }
        catch (const error& e) {
            response->respond(transport::make_error_response(e));
            return true;
        }
    }

    /// Sends new events to the watches, and calls itself again after the interval.
    void update_watches()
    {
        this->watches_.update(this->clock_.now());
        this->after_(watch_update_interval, [self = this->weak_from_this()] {
            if (const auto api = self.lock()) {
                api->update_watches();
            }
        });
    }

private:
    bool route(const transport::http_request& request, const std::vector<std::string>& path,
               std::string_view query, const response_ptr& response)
    {
        if (path[1] == "resources" && path.size() <= 4) {
            this->handle_resources(request, path, response);
            return true;
        }
        if (path.size() != 2) {
            return false;
        }
        if (path[1] == "changes") {
            require_method(request, "POST");
            this->submit(parse_change_body(request.body), response);
            return true;
        }
        if (path[1] == "config") {
            require_method(request, "GET");
            response->respond(
                transport::make_json_response(status_ok, to_json_text(this->offsets())));
            return true;
        }
        if (path[1] == "watch") {
            require_method(request, "GET");
            this->watches_.open(parse_start_version(query), response);
            return true;
        }
        return false;
    }

    static void require_method(const transport::http_request& request, std::string_view method)
    {
        if (request.method != method) {
            reject_method(request, method);
        }
    }

    void handle_resources(const transport::http_request& request,
                          const std::vector<std::string>& path, const response_ptr& response)
    {
        if (path.size() >= 3) {
            check_kind(path[2]);
        }
        if (path.size() < 4) {
            require_method(request, "GET");
            this->list(path.size() == 3 ? path[2] : "", response);
            return;
        }
        const policy::resource_key key{path[2], path[3]};
        model::check_resource_name(key.second);
        if (request.method == "GET") {
            this->get(key, response);
        }
        else if (request.method == "PUT" || request.method == "DELETE") {
            this->submit(parse_resource_request(request, key), response);
        }
        else {
            reject_method(request, "GET, PUT or DELETE");
        }
    }

    [[nodiscard]] json offsets() const
    {
        return {{"offset", this->store_.view()->offset},
                {"confirmed_offset", this->confirmed_offset_()}};
    }

    void list(const std::string& kind, const response_ptr& response) const
    {
        auto body = this->offsets();
        const auto ledger = this->store_.ledger();
        body["offset"] = ledger.offset();
        body["resources"] = json::array();
        for (const auto& [key, entry] : ledger.entries()) {
            if (kind.empty() || key.first == kind) {
                body["resources"].push_back(describe(key, *entry));
            }
        }
        response->respond(transport::make_json_response(status_ok, to_json_text(body)));
    }

    void get(const policy::resource_key& key, const response_ptr& response) const
    {
        const auto ledger = this->store_.ledger();
        const auto it = ledger.entries().find(key);
        if (it == ledger.entries().end()) {
            throw error(error_kind::not_found,
                        fmt::format("{} \"{}\" does not exist", key.first, key.second),
                        fmt::format("List the names at /v1/resources/{}.", key.first));
        }
        auto reply =
            transport::make_json_response(status_ok, to_json_text(describe(key, *it->second)));
        reply.head.headers.push_back(make_etag_header(it->second->version));
        response->respond(std::move(reply));
    }

    void submit(policy::config_change change, const response_ptr& response)
    {
        const auto id = change.operation_id;
        this->writer_.submit(std::move(change), [self = this->shared_from_this(), id,
                                                 response](write_result result) {
            std::visit([&](const auto& it) { self->respond(it, id, *response); }, result);
        });
    }

    void respond(const policy::change_accepted& result, const std::string& id,
                 transport::response_stream& response) const
    {
        const auto confirmed = this->confirmed_offset_();
        auto reply = transport::make_json_response(
            status_ok, to_json_text({{"version", result.version},
                                     {"operation_id", id},
                                     {"in_force", confirmed >= result.version},
                                     {"confirmed_offset", confirmed}}));
        reply.head.headers.push_back(make_etag_header(result.version));
        response.respond(std::move(reply));
    }

    void respond(const policy::change_conflict& result, const std::string& id,
                 transport::response_stream& response) const
    {
        (void)id;
        auto reply = transport::make_error_response(make_conflict_error(result));
        reply.head.headers.push_back(make_etag_header(result.winning_version));
        response.respond(std::move(reply));
    }

    void respond(const policy::change_invalid& result, const std::string& id,
                 transport::response_stream& response) const
    {
        (void)id;
        response.respond(transport::make_error_response(
            error(error_kind::invalid_argument, result.message, result.remedy)));
    }

    void respond(const write_refused& result, const std::string& id,
                 transport::response_stream& response) const
    {
        response.respond(transport::make_error_response(
            error(error_kind::unavailable,
                  fmt::format("operation {} was not accepted: {}", id, result.reason),
                  "The configuration is unchanged; send the change again when the log is "
                  "available.")));
    }

    void respond(const write_unknown& result, const std::string& id,
                 transport::response_stream& response) const
    {
        response.respond(transport::make_error_response(
            error(error_kind::outcome_unknown, fmt::format("operation {}: {}", id, result.reason),
                  fmt::format("Send the change again with operation id {}; it is applied at most "
                              "once.",
                              id)),
            "unknown"));
    }

    config_store& store_;
    config_writer& writer_;
    std::function<std::uint64_t()> confirmed_offset_;
    const clock_source& clock_;
    delayed_call after_;
    resource_watch watches_;
};

resource_api::resource_api(config_store& store, config_writer& writer,
                           std::function<std::uint64_t()> confirmed_offset,
                           const clock_source& clock, delayed_call after)
    : impl_(std::make_shared<implementation>(store, writer, std::move(confirmed_offset), clock,
                                             std::move(after)))
{
    this->impl_->update_watches();
}

resource_api::~resource_api() = default;

bool resource_api::handle(const transport::http_request& request,
                          const std::shared_ptr<transport::response_stream>& response)
{
    return this->impl_->handle(request, response);
}

} // namespace medlaryoke::controllers
