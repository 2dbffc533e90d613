#include "experts/group_balancer.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "experts/rank_agent.h"

using namespace medlaryoke;
using namespace medlaryoke::experts;
using namespace std::chrono_literals;

namespace {

constexpr policy::group_shape shape{2, 1, 4, 3, 2};

/// The engines of a group of two ranks; expert 0 takes nearly all tokens.
class skewed_group {
public:
    struct rank {
        std::uint64_t map = 0;
        std::optional<std::uint64_t> prepared;
        std::optional<policy::arm_order> armed;
        std::optional<std::uint64_t> held;
        std::uint64_t looks = 0;
    };

    void obey(unsigned index, const policy::rank_order& order)
    {
        const std::scoped_lock lock(this->mutex);
        auto& it = this->ranks[index];
        if (const auto* prepare = std::get_if<policy::prepare_order>(&order)) {
            it.prepared = prepare->map.version;
        }
        else if (const auto* arm = std::get_if<policy::arm_order>(&order)) {
            it.armed = *arm;
        }
        else if (const auto* hold = std::get_if<policy::hold_order>(&order)) {
            it.held = hold->step;
        }
        else if (std::holds_alternative<policy::go_order>(order)) {
            it.held.reset();
        }
    }

    void begin_pass()
    {
        const std::scoped_lock lock(this->mutex);
        for (const auto& it : this->ranks) {
            if (it.held && *it.held <= this->step + 1) {
                return;
            }
        }
        ++this->step;
        for (auto& it : this->ranks) {
            if (it.armed && it.armed->step == this->step) {
                it.map = it.armed->version;
                it.armed.reset();
            }
        }
    }

    bool is_held()
    {
        const std::scoped_lock lock(this->mutex);
        return this->ranks[0].held.has_value() || this->ranks[1].held.has_value();
    }

    std::mutex mutex;
    std::atomic<bool> answers_arms = false; ///< while false, the group stays held
    std::uint64_t step = 10;
    std::vector<rank> ranks{2};
};

class skewed_engine final : public lockstep_engine {
public:
    skewed_engine(skewed_group& group, unsigned index) : group_(group), index_(index) {}

    void order(const policy::rank_order& order, std::uint64_t /*token*/, std::uint64_t /*epoch*/,
               std::function<void(policy::order_result)> done) override
    {
        if (std::holds_alternative<policy::arm_order>(order) && !this->group_.answers_arms) {
            done(policy::order_result::unanswered);
            return;
        }
        this->group_.obey(this->index_, order);
        done(policy::order_result::done);
    }

    void report(std::function<void(const std::optional<policy::rank_report>&)> done) override
    {
        policy::rank_report report;
        {
            const std::scoped_lock lock(this->group_.mutex);
            const auto& it = this->group_.ranks[this->index_];
            report.step = this->group_.step;
            report.map = it.map;
            report.prepared = it.prepared;
            report.held = it.held;
            if (it.armed) {
                report.armed = it.armed->version;
            }
        }
        done(report);
    }

    void counts(std::function<void(const std::optional<std::vector<std::uint64_t>>&)> done) override
    {
        const auto looks = ++this->group_.ranks[this->index_].looks;
        done(std::vector<std::uint64_t>{looks * 100'000, looks * 1000, looks * 1000, looks * 1000});
    }

    void experts(std::function<void(const std::optional<held_experts>&)> done) override
    {
        done(std::nullopt);
    }

private:
    skewed_group& group_;
    unsigned index_;
};

} // namespace

// Guards against a group that stands still for seconds because the coordinator stopped, for a
// change of the list or of the leader, between the hold and the end of a switch.
Test(group_balancer, a_switch_is_finished_before_it_stops)
{
    skewed_group group;
    transport::runtime context(1);
    const system_clock_source clock;
    std::vector<std::unique_ptr<skewed_engine>> engines;
    std::vector<std::unique_ptr<rank_agent>> agents;
    std::vector<rank_address> addresses;
    for (unsigned index = 0; index < shape.ranks; ++index) {
        engines.push_back(std::make_unique<skewed_engine>(group, index));
        agents.push_back(std::make_unique<rank_agent>(context, "127.0.0.1:0", *engines.back()));
        addresses.push_back({agents.back()->address(), agents.back()->address()});
    }
    auto balancer = std::make_shared<group_balancer>(
        context, clock, "g", shape, addresses,
        [&group](const std::string&) { return std::make_unique<skewed_engine>(group, 0); }, 100ms);
    context.start();
    context.post([&balancer] { balancer->start(1); });
    bool was_held = false;
    for (int n = 0; n < 500 && !was_held; ++n) {
        std::this_thread::sleep_for(2ms);
        was_held = group.is_held();
    }
    cr_assert(was_held);
    context.post([&balancer] {
        balancer->stop();
        balancer.reset();
    });
    group.answers_arms = true;
    std::uint64_t map = 0;
    for (int n = 0; n < 500 && map == 0; ++n) {
        std::this_thread::sleep_for(10ms);
        group.begin_pass();
        const std::scoped_lock lock(group.mutex);
        map = group.ranks[0].map;
    }
    cr_assert(map != 0 && group.ranks[1].map == map);
    cr_assert(!group.is_held());
    context.stop();
    context.wait();
}
