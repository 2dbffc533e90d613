#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "experts/group_balancer.h"
#include "experts/rank_agent.h"

using namespace medlaryoke;
using namespace medlaryoke::experts;
using namespace std::chrono_literals;

namespace {

constexpr policy::group_shape large_shape{192, 10, 384, 3, 2};

/// An engine of a large group whose requests choose a few experts far more often than the others.
class popular_engine final : public lockstep_engine {
public:
    popular_engine(std::atomic<unsigned>& prepared, unsigned rank)
        : prepared_(prepared), rank_(rank)
    {
    }

    void order(const policy::rank_order& order, std::uint64_t /*token*/, std::uint64_t /*epoch*/,
               std::function<void(policy::order_result)> done) override
    {
        if (std::holds_alternative<policy::prepare_order>(order)) {
            ++this->prepared_;
        }
        done(policy::order_result::done);
    }

    void report(std::function<void(const std::optional<policy::rank_report>&)> done) override
    {
        policy::rank_report report;
        report.step = 10;
        report.group = "g";
        report.rank = this->rank_;
        report.size = large_shape.ranks;
        done(report);
    }

    void counts(std::function<void(const std::optional<std::vector<std::uint64_t>>&)> done) override
    {
        for (std::size_t n = 0; n < this->counts_.size(); ++n) {
            this->counts_[n] += n % 16 == 0 ? 1000 : 100;
        }
        done(this->counts_);
    }

    void experts(std::function<void(const std::optional<held_experts>&)> done) override
    {
        done(std::nullopt);
    }

private:
    std::atomic<unsigned>& prepared_;
    unsigned rank_;
    std::vector<std::uint64_t> counts_ =
        std::vector<std::uint64_t>(std::size_t{large_shape.sets} * large_shape.experts);
};

/// Measures the processor time that the thread of a runtime uses between two turns of its loop.
class turn_watch : public std::enable_shared_from_this<turn_watch> {
public:
    explicit turn_watch(transport::runtime& context) : context_(context) {}

    void turn()
    {
        timespec used{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        const auto now = std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
        if (this->last_) {
            this->longest_ = std::max<duration>(this->longest_, now - *this->last_);
        }
        this->last_ = now;
        this->context_.after(1ms, [self = this->shared_from_this()] { self->turn(); });
    }

    [[nodiscard]] duration longest() const { return this->longest_; }

private:
    transport::runtime& context_;
    std::optional<duration> last_;
    std::atomic<duration> longest_{duration::zero()};
};

} // namespace

// Guards against a coordinator that forwards no events while it sends a map to a large group: the
// users allow 200 ms for an event, which is 100 ms of processor time on half a core.
Test(stalled_coordinator, forwards_events_while_it_sends_a_map)
{
    transport::runtime agent_context{1};
    transport::runtime context{1};
    const system_clock_source clock;
    std::atomic<unsigned> prepared = 0;
    std::vector<std::unique_ptr<popular_engine>> engines;
    std::vector<std::unique_ptr<rank_agent>> agents;
    std::vector<rank_address> addresses;
    for (unsigned rank = 0; rank < large_shape.ranks; ++rank) {
        engines.push_back(std::make_unique<popular_engine>(prepared, rank));
        agents.push_back(
            std::make_unique<rank_agent>(agent_context, "127.0.0.1:0", *engines[rank]));
        addresses.push_back({agents[rank]->address(), agents[rank]->address()});
    }
    const auto balancer = std::make_shared<group_balancer>(
        context, clock, "g", large_shape, addresses,
        [&prepared](const std::string&) { return std::make_unique<popular_engine>(prepared, 0); },
        100ms);
    const auto watch = std::make_shared<turn_watch>(context);
    agent_context.start();
    context.start();
    context.post([&] { balancer->start(1); });
    context.post([&] { watch->turn(); });
    for (int n = 0; n < 2000 && prepared < large_shape.ranks; ++n) {
        std::this_thread::sleep_for(5ms);
    }
    context.stop();
    context.wait();
    agent_context.stop();
    agent_context.wait();
    cr_assert(prepared >= large_shape.ranks, "%u ranks have the map", prepared.load());
    const auto longest = std::chrono::duration<double, std::milli>(watch->longest()).count();
    cr_assert(longest <= 100, "%f ms", longest);
}
