#include "experts/rank_messages.h"

#include <utility>
#include <variant>

#include "model/wire.pb.h"

namespace medlaryoke::experts {

namespace {

struct order_encoder {
    wire::rank_call& call;

    void operator()(const policy::prepare_order& it) const
    {
        auto& map = *this->call.mutable_prepare();
        map.set_version(it.map->version);
        for (const auto& placement : it.map->sets) {
            auto& set = *map.add_set();
            for (const auto& experts : placement) {
                set.add_rank()->mutable_expert()->Add(experts.begin(), experts.end());
            }
        }
    }

    void operator()(const policy::arm_order& it) const
    {
        this->call.mutable_arm()->set_version(it.version);
        this->call.mutable_arm()->set_step(it.step);
    }

    void operator()(const policy::disarm_order& it) const
    {
        this->call.set_disarm_version(it.version);
    }

    void operator()(const policy::hold_order& it) const { this->call.set_hold_step(it.step); }
    void operator()(const policy::release_hold_order& it) const { this->call.set_go_step(it.step); }
};

policy::expert_map decode_map(const wire::rank_map& message)
{
    policy::expert_map map;
    map.version = message.version();
    for (const auto& set : message.set()) {
        policy::set_placement placement;
        for (const auto& rank : set.rank()) {
            placement.emplace_back(rank.expert().begin(), rank.expert().end());
        }
        map.sets.push_back(std::move(placement));
    }
    return map;
}

std::optional<policy::rank_order> decode_order(const wire::rank_call& call)
{
    switch (call.order_case()) {
    case wire::rank_call::kPrepare:
        return policy::prepare_order{decode_map(call.prepare())};
    case wire::rank_call::kArm:
        return policy::arm_order{call.arm().version(), call.arm().step()};
    case wire::rank_call::kDisarmVersion:
        return policy::disarm_order{call.disarm_version()};
    case wire::rank_call::kHoldStep:
        return policy::hold_order{call.hold_step()};
    case wire::rank_call::kGoStep:
        return policy::release_hold_order{call.go_step()};
    case wire::rank_call::ORDER_NOT_SET:
        break;
    }
    return std::nullopt;
}

void encode_report(const policy::rank_report& report, wire::rank_answer& answer)
{
    answer.set_has_state(true);
    answer.set_epoch(report.epoch);
    answer.set_open(report.is_group_complete);
    answer.set_step(report.step);
    answer.set_map(report.map_version);
    if (report.prepared_version) {
        answer.set_prepared(*report.prepared_version);
    }
    if (report.armed_version) {
        answer.set_armed(*report.armed_version);
    }
    if (report.held_step) {
        answer.set_held(*report.held_step);
    }
    answer.set_pace(report.slowdown);
    answer.set_group(report.group);
    answer.set_rank(report.rank);
    answer.set_size(report.size);
}

policy::rank_report decode_report(const wire::rank_answer& answer)
{
    policy::rank_report report;
    report.epoch = answer.epoch();
    report.is_group_complete = answer.open();
    report.step = answer.step();
    report.map_version = answer.map();
    if (answer.has_prepared()) {
        report.prepared_version = answer.prepared();
    }
    if (answer.has_armed()) {
        report.armed_version = answer.armed();
    }
    if (answer.has_held()) {
        report.held_step = answer.held();
    }
    report.slowdown = answer.has_pace() ? answer.pace() : 1;
    report.group = answer.group();
    report.rank = answer.rank();
    report.size = answer.size();
    return report;
}

} // namespace

std::string encode_rank_request(const rank_request& request)
{
    wire::rank_call call;
    call.set_token(request.token);
    call.set_epoch(request.epoch);
    call.set_with_counts(request.with_counts);
    call.set_with_experts(request.with_experts);
    auto bytes = call.SerializeAsString();
    // Concatenated protobuf messages are merged.
    if (request.encoded_order) {
        bytes += *request.encoded_order;
    }
    else if (request.order) {
        bytes += encode_order(*request.order);
    }
    return bytes;
}

std::string encode_order(const policy::rank_order& order)
{
    wire::rank_call call;
    std::visit(order_encoder{call}, order);
    return call.SerializeAsString();
}

std::optional<rank_request> decode_rank_request(const std::string& bytes)
{
    wire::rank_call call;
    if (!call.ParseFromString(bytes)) {
        return std::nullopt;
    }
    return rank_request{call.token(),       call.epoch(),        decode_order(call),
                        call.with_counts(), call.with_experts(), nullptr};
}

std::string encode_rank_reply(const rank_reply& reply)
{
    wire::rank_answer answer;
    answer.set_result(static_cast<std::uint32_t>(reply.result));
    if (reply.report) {
        encode_report(*reply.report, answer);
    }
    if (reply.counts) {
        answer.mutable_count()->Add(reply.counts->begin(), reply.counts->end());
    }
    if (reply.experts) {
        answer.set_experts_version(reply.experts->version);
        for (const auto& experts : reply.experts->sets) {
            answer.add_experts()->mutable_expert()->Add(experts.begin(), experts.end());
        }
    }
    return answer.SerializeAsString();
}

std::optional<rank_reply> decode_rank_reply(const std::string& bytes)
{
    wire::rank_answer answer;
    constexpr auto last_result = static_cast<std::uint32_t>(policy::order_result::unanswered);
    if (!answer.ParseFromString(bytes) || answer.result() > last_result) {
        return std::nullopt;
    }
    rank_reply reply;
    reply.result = static_cast<policy::order_result>(answer.result());
    if (answer.has_state()) {
        reply.report = decode_report(answer);
    }
    if (answer.count_size() > 0) {
        reply.counts.emplace(answer.count().begin(), answer.count().end());
    }
    if (answer.experts_size() > 0) {
        reply.experts.emplace();
        reply.experts->version = answer.experts_version();
        for (const auto& set : answer.experts()) {
            reply.experts->sets.emplace_back(set.expert().begin(), set.expert().end());
        }
    }
    return reply;
}

} // namespace medlaryoke::experts
