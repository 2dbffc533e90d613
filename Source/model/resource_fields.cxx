#include "model/resource_fields.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <string_view>

namespace medlaryoke::model {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 2> upstream_type_names{"engine", "service"};
constexpr std::array<std::string_view, 2> upstream_state_names{"active", "leaving"};

constexpr whole_limits rank_count_limits{1, 4096};
constexpr whole_limits rank_limits{0, 4095};
constexpr whole_limits expert_count_limits{0, 65'536};
constexpr whole_limits layer_count_limits{0, 4096};
constexpr whole_limits order_limits{0, 15};
constexpr duration_limits latency_target_limits{1ms, 1h};
constexpr real_limits attainment_limits{0, 1};
constexpr real_limits weight_limits{.min = 0, .max = 1'000'000, .min_excluded = true};
constexpr real_limits floor_limits{.min = 0, .max = 1, .max_excluded = true};

repeatable_call parse_repeatable_call(const std::string& text)
{
    const auto space = text.find(' ');
    return {text.substr(0, space), text.substr(space + 1)};
}

void visit(field_visitor& visitor, model_group_spec& spec)
{
    visitor.text("model", spec.model, text_rule::any, presence::required);
    visit_whole(visitor, "ranks", spec.ranks, rank_count_limits, presence::optional);
    visit_whole(visitor, "experts_per_layer", spec.experts_per_layer, expert_count_limits,
                presence::optional);
    visit_whole(visitor, "layers", spec.layers, layer_count_limits, presence::optional);
}

void visit(field_visitor& visitor, upstream_spec& spec)
{
    visit_choice(visitor, "type", spec.type, upstream_type_names, presence::required);
    visitor.text("serves", spec.serves, text_rule::name, presence::required);
    visitor.text("agent", spec.agent, text_rule::remote_address, presence::required);
    visitor.text("data_centre", spec.data_centre, text_rule::name, presence::required);
    std::optional<std::uint64_t> rank = spec.rank;
    visitor.optional_whole("rank", rank, rank_limits);
    spec.rank = rank ? std::optional(static_cast<unsigned>(*rank)) : std::nullopt;
    visitor.flag("checks_fences", spec.checks_fences);
    std::vector<std::string> calls;
    std::ranges::transform(spec.repeatable, std::back_inserter(calls),
                           [](const auto& call) { return call.method + " " + call.path_prefix; });
    visitor.texts("repeatable", calls, text_rule::call, presence::optional);
    spec.repeatable.clear();
    std::ranges::transform(calls, std::back_inserter(spec.repeatable), parse_repeatable_call);
    visit_choice(visitor, "state", spec.state, upstream_state_names, presence::optional);
}

void visit(field_visitor& visitor, priority_spec& spec)
{
    visit_whole(visitor, "order", spec.order, order_limits, presence::required);
    visitor.time("first_token_target", spec.first_token_target, latency_target_limits,
                 presence::required);
    visitor.time("token_interval_target", spec.token_interval_target, latency_target_limits,
                 presence::required);
    visitor.real("attainment", spec.attainment, attainment_limits, presence::optional);
    visitor.real("worth", spec.worth, weight_limits, presence::optional);
    visitor.real("floor", spec.floor, floor_limits, presence::optional);
}

void visit(field_visitor& visitor, caller_spec& spec)
{
    visitor.text("organisation", spec.organisation, text_rule::name, presence::required);
    visitor.text("credential_sha256", spec.credential_sha256, text_rule::sha256,
                 presence::required);
    visitor.real("share", spec.share, weight_limits, presence::optional);
    visitor.texts("priorities", spec.priorities, text_rule::name, presence::required);
}

} // namespace

void visit_spec(field_visitor& visitor, resource_spec& spec)
{
    std::visit([&visitor](auto& alternative) { visit(visitor, alternative); }, spec);
}

} // namespace medlaryoke::model
