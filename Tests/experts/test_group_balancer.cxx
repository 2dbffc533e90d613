#include "experts/group_balancer.h"

#include <algorithm>
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
        std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(4);
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

    bool is_prepared(unsigned index)
    {
        const std::scoped_lock lock(this->mutex);
        return this->ranks[index].prepared.has_value();
    }

    std::mutex mutex;
    std::atomic<bool> answers_arms = false;   ///< while false, the group stays held
    std::atomic<bool> is_even = false;        ///< while true, all experts take the same
    std::atomic<bool> second_is_mute = false; ///< while true, rank 1 does not tell its counts
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
        if (this->index_ == 1 && this->group_.second_is_mute) {
            this->unanswered_ = std::move(done);
            return;
        }
        const std::scoped_lock lock(this->group_.mutex);
        auto& counts = this->group_.ranks[this->index_].counts;
        counts[0] += this->group_.is_even ? 100'000 : 1'000'000;
        std::ranges::for_each(counts.begin() + 1, counts.end(), [this](std::uint64_t& it) {
            it += this->group_.is_even ? 100'000 : 1000;
        });
        done(counts);
    }

    void experts(std::function<void(const std::optional<held_experts>&)> done) override
    {
        done(std::nullopt);
    }

private:
    skewed_group& group_;
    unsigned index_;
    std::function<void(const std::optional<std::vector<std::uint64_t>>&)> unanswered_;
};

/// A balancer of the group with an agent beside each engine.
class balanced_group {
public:
    balanced_group()
    {
        std::vector<rank_address> addresses;
        for (unsigned index = 0; index < shape.ranks; ++index) {
            this->engines.push_back(std::make_unique<skewed_engine>(this->group, index));
            this->agents.push_back(
                std::make_unique<rank_agent>(this->context, "127.0.0.1:0", *this->engines.back()));
            addresses.push_back({this->agents.back()->address(), this->agents.back()->address()});
        }
        this->balancer = std::make_shared<group_balancer>(
            this->context, this->clock, "g", shape, addresses,
            [this](const std::string&) { return std::make_unique<skewed_engine>(this->group, 0); },
            100ms);
        this->context.start();
        this->context.post([this] { this->balancer->start(1); });
    }
    balanced_group(const balanced_group&) = delete;
    balanced_group& operator=(const balanced_group&) = delete;
    balanced_group(balanced_group&&) = delete;
    balanced_group& operator=(balanced_group&&) = delete;
    ~balanced_group()
    {
        this->context.stop();
        this->context.wait();
    }

    /// Waits up to 2 s.
    template <typename Predicate>
    static bool becomes_true(Predicate predicate)
    {
        for (int n = 0; n < 1000 && !predicate(); ++n) {
            std::this_thread::sleep_for(2ms);
        }
        return predicate();
    }

    skewed_group group;
    transport::runtime context{1};
    system_clock_source clock;
    std::vector<std::unique_ptr<skewed_engine>> engines;
    std::vector<std::unique_ptr<rank_agent>> agents;
    std::shared_ptr<group_balancer> balancer;
};

} // namespace

// Guards against a group that stands still for seconds because the coordinator stopped, for a
// change of the list or of the leader, between the hold and the end of a switch.
Test(group_balancer, a_switch_is_finished_before_it_stops)
{
    balanced_group site;
    auto& group = site.group;
    cr_assert(balanced_group::becomes_true([&group] { return group.is_held(); }));
    site.context.post([&site] {
        site.balancer->stop();
        site.balancer.reset();
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
}

// Guards against a map that follows the requests of the first rank to answer: the search began
// with its counts alone, before those of the other ranks had come.
Test(group_balancer, searches_when_all_ranks_that_are_asked_have_answered)
{
    balanced_group site;
    auto& group = site.group;
    group.is_even = true;
    const auto looks = [&group] {
        const std::scoped_lock lock(group.mutex);
        return group.ranks[0].counts[1] / 100'000;
    };
    cr_assert(balanced_group::becomes_true([&looks] { return looks() >= 2; }));
    group.second_is_mute = true;
    group.is_even = false;
    const auto is_skewed = [&group] {
        const std::scoped_lock lock(group.mutex);
        return group.ranks[0].counts[0] >= 1'000'000;
    };
    cr_assert(balanced_group::becomes_true(is_skewed));
    std::this_thread::sleep_for(100ms); // less than the time after which the rank is left out
    cr_assert(!group.is_prepared(0));
}
