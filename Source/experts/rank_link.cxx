#include "experts/rank_link.h"

#include <utility>

#include "experts/rank_agent.h"

namespace medlaryoke::experts {

namespace {

// An agent that gets a small fraction of a core next to a busy engine answers within about 30 ms.
constexpr auto agent_timeout = std::chrono::milliseconds(400);

// For a whole reply, also if the agent sends a byte now and then.
constexpr auto agent_exchange_timeout = std::chrono::milliseconds(1200);

// Larger than the counts and the experts of a rank.
constexpr std::size_t max_reply_bytes = 4U * 1024U * 1024U;

// Time for which the agent is bypassed after it did not answer. A killed agent restarts in about
// this time.
constexpr auto agent_bypass_time = std::chrono::seconds(2);

} // namespace

rank_link::rank_link(transport::runtime& context, const clock_source& clock,
                     const std::string& agent_address, std::unique_ptr<lockstep_engine> engine,
                     duration report_lag)
    : context_(context), clock_(clock), report_lag_(report_lag), agent_address_(agent_address),
      agent_(context, agent_address), engine_(std::move(engine))
{
}

void rank_link::send(const rank_request& request, std::function<void(rank_reply)> done)
{
    if (this->is_agent_unresponsive()) {
        this->send_directly(request, std::move(done));
        return;
    }
    this->agent_.fetch(
        {"POST", "/rank", {}, encode_rank_request(request)},
        {agent_timeout, agent_timeout, agent_timeout, agent_timeout, agent_exchange_timeout},
        [self = this->shared_from_this(), done = std::move(done)](const auto& result) {
            const auto* response = std::get_if<transport::http_response>(&result);
            auto reply = response != nullptr && response->head.status == 200
                             ? decode_rank_reply(response->body)
                             : std::nullopt;
            const bool is_named = !reply || !reply->report || reply->report->size > 0;
            if (reply && is_named) {
                done(*std::move(reply));
                return;
            }
            self->agent_bypassed_until_ = self->clock_.now() + agent_bypass_time;
            self->log_.note(log_level::warning, "agent does not answer",
                            {{"agent", self->agent_address_},
                             {"reason", is_named ? "no reply that can be read"
                                                 : "its version does not name the rank"}});
            done({policy::order_result::unanswered, {}, {}, {}});
        },
        max_reply_bytes);
}

void rank_link::send_directly(rank_request request, std::function<void(rank_reply)> done)
{
    request.with_counts = false;
    const auto self = this->shared_from_this();
    // A report that is read immediately may show the state before the order, and a switch would
    // continue although this rank is, or is not, armed.
    const auto read_after_lag = [self, request,
                                 done = std::move(done)](policy::order_result result) {
        auto read = request;
        read.order.reset();
        self->context_.after(self->report_lag_, [self, read, result, done] {
            serve_rank_request(*self->engine_, read, [self, result, done](rank_reply reply) {
                reply.result = result;
                done(std::move(reply));
            });
        });
    };
    if (!request.order) {
        read_after_lag(policy::order_result::done);
        return;
    }
    this->engine_->order(*request.order, request.token, request.epoch,
                         [self, request, read_after_lag](policy::order_result result) {
                             self->log_.sample(log_level::info, "order sent from afar",
                                               {{"agent", self->agent_address_},
                                                {"order", policy::order_name(*request.order)},
                                                {"token", static_cast<std::int64_t>(request.token)},
                                                {"result", policy::to_string(result)}});
                             read_after_lag(result);
                         });
}

} // namespace medlaryoke::experts
