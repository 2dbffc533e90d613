#include "model/process_settings.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

#include <fmt/format.h>

#include "base/document_fields.h"
#include "base/error.h"
#include "base/yaml_reader.h"

namespace medlaryoke::model {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 2> log_format_names{"text", "json"};
constexpr std::array<std::string_view, 4> log_level_names{"debug", "info", "warning", "error"};
constexpr std::array<std::string_view, 2> upstream_type_names{"engine", "service"};

constexpr whole_limits thread_count_limits{1, 64};
constexpr whole_limits body_bytes_limits{1024, 1024ULL * 1024 * 1024};
constexpr whole_limits queue_item_limits{1, 10'000'000};
constexpr whole_limits connection_count_limits{1, 4096};
constexpr whole_limits concurrent_request_limits{1, 65'536};
constexpr whole_limits partition_count_limits{1, 4096};
constexpr duration_limits short_duration_limits{1ms, 1min};
constexpr duration_limits request_timeout_limits{10ms, 24h};
constexpr duration_limits address_lifetime_limits{100ms, 1h};
constexpr duration_limits drain_timeout_limits{0s, 24h};
constexpr duration_limits claim_retention_limits{1min, 8760h};

void visit_instance(field_visitor& visitor, instance_settings& settings)
{
    visitor.text("name", settings.instance, text_rule::name, presence::required);
    visitor.text("data_centre", settings.data_centre, text_rule::name, presence::required);
    visit_whole(visitor, "threads", settings.threads, thread_count_limits, presence::optional);
    visit_choice(visitor, "log_output", settings.log_output, log_format_names, presence::optional);
    visit_choice(visitor, "log_detail", settings.log_detail, log_level_names, presence::optional);
}

void visit_platform(field_visitor& visitor, platform_settings& settings)
{
    visitor.text("log", settings.log, text_rule::remote_address, presence::required);
    visitor.text("instance_list", settings.instance_list, text_rule::remote_address,
                 presence::optional);
    visitor.text("weight_store", settings.weight_store, text_rule::remote_address,
                 presence::optional);
    visitor.time("request_timeout", settings.request_timeout, short_duration_limits,
                 presence::optional);
}

void visit_entry(field_visitor& visitor, entry_settings& settings)
{
    visitor.text("caller_address", settings.caller_address, text_rule::listen_address,
                 presence::required);
    visitor.text("operator_address", settings.operator_address, text_rule::listen_address,
                 presence::required);
    visitor.text("peer_address", settings.peer_address, text_rule::listen_address,
                 presence::required);
    visitor.texts("peers", settings.peers, text_rule::remote_address, presence::optional);
    visitor.time("address_lifetime", settings.address_lifetime, address_lifetime_limits,
                 presence::optional);
    visitor.time("default_timeout", settings.default_timeout, request_timeout_limits,
                 presence::optional);
    visitor.time("drain_timeout", settings.drain_timeout, drain_timeout_limits, presence::optional);
    visit_whole(visitor, "max_body_bytes", settings.max_body_bytes, body_bytes_limits,
                presence::optional);
    visit_whole(visitor, "max_queue_items", settings.max_queue_items, queue_item_limits,
                presence::optional);
    visit_whole(visitor, "subset_size", settings.subset_size, connection_count_limits,
                presence::optional);
    visit_whole(visitor, "watched_peers", settings.watched_peers, connection_count_limits,
                presence::optional);
}

void visit_agent(field_visitor& visitor, agent_settings& settings)
{
    visitor.text("upstream", settings.upstream, text_rule::name, presence::required);
    visitor.text("serves", settings.serves, text_rule::name, presence::required);
    std::size_t type = settings.upstream_type == upstream_type_names[1] ? 1 : 0;
    visitor.choice("upstream_type", type, upstream_type_names, presence::required);
    settings.upstream_type = upstream_type_names.at(type);
    visitor.text("upstream_address", settings.upstream_address, text_rule::remote_address,
                 presence::required);
    visitor.text("listen_address", settings.listen_address, text_rule::listen_address,
                 presence::required);
    visitor.text("operator_address", settings.operator_address, text_rule::listen_address,
                 presence::required);
    visit_whole(visitor, "initial_limit", settings.initial_limit, concurrent_request_limits,
                presence::optional);
    visit_whole(visitor, "max_limit", settings.max_limit, concurrent_request_limits,
                presence::optional);
    visit_whole(visitor, "claim_partitions", settings.claim_partitions, partition_count_limits,
                presence::optional);
    visitor.time("claim_retention", settings.claim_retention, claim_retention_limits,
                 presence::optional);
    visitor.time("claim_batch_interval", settings.claim_batch_interval, short_duration_limits,
                 presence::optional);
    visitor.time("drain_timeout", settings.drain_timeout, drain_timeout_limits, presence::optional);
}

void visit(field_visitor& visitor, entry_settings& settings)
{
    visitor.section("instance", [&](auto& inner) { visit_instance(inner, settings.instance); });
    visitor.section("platform", [&](auto& inner) { visit_platform(inner, settings.platform); });
    visitor.section("entry", [&](auto& inner) { visit_entry(inner, settings); });
}

void visit(field_visitor& visitor, agent_settings& settings)
{
    visitor.section("instance", [&](auto& inner) { visit_instance(inner, settings.instance); });
    visitor.section("platform", [&](auto& inner) { visit_platform(inner, settings.platform); });
    visitor.section("agent", [&](auto& inner) { visit_agent(inner, settings); });
}

template <typename Settings>
Settings parse(const std::string& text, const std::string& source)
{
    const auto documents = read_yaml(text, source);
    if (documents.size() != 1) {
        reject_document(source + ":1", "",
                        fmt::format("holds {} documents instead of 1", documents.size()),
                        "Write the settings of one process in the file.");
    }
    Settings settings;
    document_fields fields(documents.front(), "");
    visit(fields, settings);
    fields.finish();
    return settings;
}

template <typename Settings>
std::vector<field_description> describe()
{
    Settings settings;
    field_descriptions fields;
    visit(fields, settings);
    return fields.all();
}

} // namespace

entry_settings parse_entry_settings(const std::string& text, const std::string& source)
{
    return parse<entry_settings>(text, source);
}

agent_settings parse_agent_settings(const std::string& text, const std::string& source)
{
    auto settings = parse<agent_settings>(text, source);
    if (settings.initial_limit > settings.max_limit) {
        reject_document(source, "agent.initial_limit",
                        fmt::format("{} is more than agent.max_limit ({})", settings.initial_limit,
                                    settings.max_limit),
                        "Lower initial_limit or raise max_limit.");
    }
    return settings;
}

entry_settings load_entry_settings(const std::string& path)
{
    return parse_entry_settings(read_text_file(path), path);
}

agent_settings load_agent_settings(const std::string& path)
{
    return parse_agent_settings(read_text_file(path), path);
}

std::vector<field_description> entry_setting_keys()
{
    return describe<entry_settings>();
}

std::vector<field_description> agent_setting_keys()
{
    return describe<agent_settings>();
}

} // namespace medlaryoke::model
