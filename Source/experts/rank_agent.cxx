#include "experts/rank_agent.h"

#include <utility>

#include "base/error.h"
#include "transport/error_response.h"

namespace medlaryoke::experts {

namespace {

void read_experts(lockstep_engine& engine, const rank_request& request,
                  const std::shared_ptr<rank_reply>& reply,
                  const std::function<void(rank_reply)>& done)
{
    if (!request.with_experts) {
        done(*reply);
        return;
    }
    engine.experts([reply, done](const auto& experts) {
        reply->experts = experts;
        done(*reply);
    });
}

void read_counts(lockstep_engine& engine, const rank_request& request,
                 const std::shared_ptr<rank_reply>& reply,
                 const std::function<void(rank_reply)>& done)
{
    if (!request.with_counts) {
        read_experts(engine, request, reply, done);
        return;
    }
    engine.counts([&engine, request, reply, done](const auto& counts) {
        reply->counts = counts;
        read_experts(engine, request, reply, done);
    });
}

void read_report(lockstep_engine& engine, const rank_request& request,
                 const std::shared_ptr<rank_reply>& reply,
                 const std::function<void(rank_reply)>& done)
{
    engine.report([&engine, request, reply, done](const auto& report) {
        reply->report = report;
        read_counts(engine, request, reply, done);
    });
}

transport::http_server_options make_server_options(const std::string& address,
                                                   const policy::process_limits& limits)
{
    transport::http_server_options options;
    options.address = address;
    options.bind_retry_interval = transport::default_bind_retry_interval;
    const auto held = policy::divide(limits, options.max_header_bytes);
    options.max_connections = held.callers;
    options.max_request_bytes = held.request_bytes;
    options.max_reply_bytes = held.reply_bytes;
    return options;
}

} // namespace

rank_agent::rank_agent(transport::runtime& context, const std::string& address,
                       lockstep_engine& engine, const policy::process_limits& limits)
    : engine_(engine), server_(context, make_server_options(address, limits),
                               [this](const transport::http_request& message,
                                      const std::shared_ptr<transport::response_stream>& response) {
                                   this->handle(message, response);
                               })
{
    this->log_.note(log_level::info, "start", {{"address", this->server_.address()}});
}

void rank_agent::handle(const transport::http_request& message,
                        const std::shared_ptr<transport::response_stream>& response)
{
    const auto request = decode_rank_request(message.body);
    if (!request) {
        throw error(error_kind::invalid_argument, "the rank request cannot be parsed",
                    "Run the same version of medlaryoke on all machines.");
    }
    const auto answer = [this, response, request](const rank_reply& reply) {
        if (request->order) {
            this->log_.sample(
                log_level::info, "order passed on",
                {{"order", policy::order_name(*request->order)},
                 {"token", static_cast<std::int64_t>(request->token)},
                 {"result", policy::to_string(reply.result)},
                 {"step", static_cast<std::int64_t>(reply.report ? reply.report->step : 0)},
                 {"armed", static_cast<std::int64_t>(
                               reply.report ? reply.report->armed_version.value_or(0) : 0)},
                 {"held", static_cast<std::int64_t>(
                              reply.report ? reply.report->held_step.value_or(0) : 0)}});
        }
        response->respond({{200, {}}, encode_rank_reply(reply)});
    };
    if (request->order && request->token < this->token_) {
        this->log_.note(log_level::warning, "order refused, a higher token was seen",
                        {{"token", static_cast<std::int64_t>(request->token)},
                         {"seen", static_cast<std::int64_t>(this->token_)}});
        answer({policy::order_result::fenced, {}, {}, {}});
        return;
    }
    if (request->order) {
        this->token_ = request->token;
    }
    serve_rank_request(this->engine_, *request, answer);
}

void serve_rank_request(lockstep_engine& engine, const rank_request& request,
                        std::function<void(rank_reply)> done)
{
    const auto reply = std::make_shared<rank_reply>();
    if (!request.order) {
        read_report(engine, request, reply, done);
        return;
    }
    engine.order(*request.order, request.token, request.epoch,
                 [&engine, request, reply, done = std::move(done)](policy::order_result result) {
                     reply->result = result;
                     read_report(engine, request, reply, done);
                 });
}

} // namespace medlaryoke::experts
