#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

#include "controllers/rank_engine.h"

namespace medlaryoke::fakes {

/// Runs the engines of one lock-step group in one thread. A step completes when all ranks have run
/// it, and the group checks that they all used the same map version.
class fake_lockstep_group {
public:
    /// Engine of one rank. It loads a map at once and keeps only the last map that it was sent.
    class engine final : public controllers::rank_engine {
    public:
        void read(done_function done) override { this->answer(done, true); }

        void execute(const policy::map_command& command, const wire::expert_map& content,
                     done_function done) override
        {
            if (std::holds_alternative<policy::map_prepare_command>(command)) {
                this->map = content;
            }
            const auto status = this->gate.handle({}, this->gate.status().incarnation, command);
            this->gate.complete_loading(this->gate.loading_version());
            this->answer(done, status.accepted);
        }

        /// Starts a new incarnation with a new gate and no token counts.
        void restart()
        {
            this->gate = policy::rank_gate(this->gate.status().incarnation + 100);
            this->tokens.clear();
        }

        bool alive = true; ///< whether the engine answers calls and runs steps
        policy::rank_gate gate{1};
        wire::expert_map map;
        std::vector<std::vector<std::uint64_t>> tokens;

    private:
        void answer(const done_function& done, bool accepted)
        {
            if (!this->alive) {
                done(std::nullopt);
                return;
            }
            controllers::rank_engine_state state{this->gate.status(), this->tokens, accepted};
            done(state);
        }
    };

    explicit fake_lockstep_group(std::size_t ranks) : engines(ranks)
    {
        std::ranges::generate(this->engines, [] { return std::make_unique<engine>(); });
    }

    /// Runs one step if all ranks are alive and their gates allow it.
    /// @return whether the step was run
    bool run_step()
    {
        const auto ready = [](const auto& it) { return it->alive && it->gate.may_start(); };
        if (!std::ranges::all_of(this->engines, ready)) {
            return false;
        }
        const auto step = this->engines.front()->gate.status().next_step;
        const auto version = this->engines.front()->gate.status().active_version;
        for (const auto& it : this->engines) {
            cr_assert(it->gate.status().next_step == step, "the ranks are at different steps");
            cr_assert(it->gate.start_step() == version,
                      "the ranks run one step on different map versions");
        }
        std::ranges::for_each(this->engines, [step](auto& it) { it->gate.complete_step(step); });
        ++this->steps;
        return true;
    }

    std::vector<std::unique_ptr<engine>> engines;
    std::uint64_t steps = 0;
};

} // namespace medlaryoke::fakes
