#include "experts/rank_link.h"

#include <utility>

#include "experts/rank_agent.h"

namespace medlaryoke::experts {

namespace {

// An agent answers within some 30 ms, on a small part of a core beside a busy engine.
constexpr auto agent_timeout = std::chrono::milliseconds(400);

// How long the agent is left out after it did not answer; a killed one is back in about that time.
constexpr auto agent_pause = std::chrono::seconds(2);

} // namespace

rank_link::rank_link(transport::runtime& context, const clock_source& clock,
                     const std::string& agent_address, std::unique_ptr<lockstep_engine> engine)
    : clock_(clock), agent_(context, agent_address), engine_(std::move(engine))
{
}

void rank_link::send(const rank_request& request, std::function<void(rank_reply)> done)
{
    if (this->clock_.now() < this->agent_silent_until_) {
        auto from_afar = request;
        from_afar.with_counts = false;
        serve_rank_request(*this->engine_, from_afar,
                           [self = this->shared_from_this(),
                            done = std::move(done)](const rank_reply& reply) { done(reply); });
        return;
    }
    this->agent_.fetch(
        {"POST", "/rank", {}, encode_rank_request(request)},
        {agent_timeout, agent_timeout, agent_timeout, agent_timeout},
        [self = this->shared_from_this(), done = std::move(done)](const auto& result) {
            if (const auto* reply = std::get_if<transport::http_response>(&result);
                reply != nullptr && reply->head.status == 200) {
                if (auto decoded = decode_rank_reply(reply->body)) {
                    done(*std::move(decoded));
                    return;
                }
            }
            self->agent_silent_until_ = self->clock_.now() + agent_pause;
            done({policy::order_result::unanswered, {}, {}, {}});
        });
}

} // namespace medlaryoke::experts
