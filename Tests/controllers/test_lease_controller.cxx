#include "controllers/lease_controller.h"

#include <algorithm>
#include <array>

#include <criterion/criterion.h>

#include "fakes/agent_fleet.h"

using namespace medlaryoke;
using namespace medlaryoke::controllers;
using namespace std::chrono_literals;
using medlaryoke::fakes::faulty_log;
using medlaryoke::fakes::manual_executor;

namespace {

/// Two instances that contend for one lease over one log.
struct lease_pair {
    manual_executor executor;
    faulty_log log;
    std::array<std::shared_ptr<lease_controller>, 2> instances;

    lease_pair()
    {
        for (std::uint64_t n = 0; n < this->instances.size(); ++n) {
            this->instances[n] = std::make_shared<lease_controller>(
                this->executor.clock, this->log,
                [this](duration delay, std::function<void()> fn) {
                    this->executor.timers.emplace(this->executor.clock.now() + delay,
                                                  std::move(fn));
                },
                lease_controller_options{.name = "group/pearl",
                                         .holder = n == 0 ? "a" : "b",
                                         .incarnation = n + 1,
                                         .time_to_live = 5s});
            this->instances[n]->start();
        }
    }

    void run(duration time)
    {
        constexpr duration step = 50ms;
        for (auto passed = 0ns; passed < time; passed += step) {
            this->executor.clock.advance(step);
            // An answer may start another read immediately, so the number of actions is limited.
            for (int n = 0; n < 20 && (this->log.deliver() || this->executor.run_one()); ++n) {
            }
            this->check_single_holder();
        }
    }

    /// @return the fence of an instance, 0 if it does not hold the lease
    [[nodiscard]] std::uint64_t fence(std::size_t n) const
    {
        return this->instances[n]->fence().value_or(0);
    }

    void check_single_holder() const
    {
        cr_assert(this->holders() <= 1, "both instances hold the lease");
    }

    [[nodiscard]] int holders() const
    {
        return (this->fence(0) != 0 ? 1 : 0) + (this->fence(1) != 0 ? 1 : 0);
    }
};

} // namespace

// Guards against two holders at the same time, and against a lease that expires although its holder
// runs.
Test(lease_controller, one_of_two_instances_holds_and_renews)
{
    lease_pair it;
    it.run(2s);
    cr_assert(it.holders() == 1);
    const auto fence = std::max(it.fence(0), it.fence(1));
    it.run(30s);
    cr_assert(it.holders() == 1);
    cr_assert(std::max(it.fence(0), it.fence(1)) == fence);
}

// Guards against a holder that uses a lease that expired during an outage of the log, and against a
// lease that cannot be acquired after the outage.
Test(lease_controller, expires_in_an_outage_and_is_acquired_again)
{
    lease_pair it;
    it.run(2s);
    it.log.mode = faulty_log::fault::outage;
    it.run(10s);
    cr_assert(it.holders() == 0);
    it.log.mode = faulty_log::fault::none;
    it.run(15s);
    cr_assert(it.holders() == 1);
}

// Guards against appending a record again because the answer was lost: the holder must find its
// record by reading.
Test(lease_controller, is_acquired_although_append_answers_are_lost)
{
    lease_pair it;
    it.log.mode = faulty_log::fault::answer_lost;
    it.run(20s);
    cr_assert(it.holders() == 1);
}

// Guards against a record that is stored late and grants a lease that has already expired.
Test(lease_controller, late_record_does_not_extend_the_lease)
{
    lease_pair it;
    it.log.mode = faulty_log::fault::stored_late;
    it.run(1s);
    it.executor.clock.advance(6s);
    it.log.mode = faulty_log::fault::none;
    it.log.store_late_records();
    // Until the next record is appended, the instances have read only the late record.
    const auto sent = it.log.appends;
    for (int n = 0; n < 100 && it.log.appends == sent; ++n) {
        it.executor.clock.advance(10ms);
        if (!it.log.deliver()) {
            it.executor.run_one();
        }
        cr_assert(it.holders() == 0);
    }
    cr_assert(it.log.appends > sent, "the late record was not read");
}

// Guards against waiting for the expiry of a lease that its holder has released.
Test(lease_controller, released_lease_is_acquired_before_it_expires)
{
    lease_pair it;
    it.run(2s);
    const std::size_t first = it.fence(0) != 0 ? 0 : 1;
    it.instances[first]->stop();
    it.run(2s);
    cr_assert(it.fence(1 - first) != 0);
}

// Guards against a fence that is not above those issued before the log was restored, against two
// holders at that time, and against a lease that nobody can acquire any more.
Test(lease_controller, fences_rise_over_a_restore_of_the_log)
{
    for (const std::size_t kept : {0, 1, 3}) {
        lease_pair it;
        it.run(2s);
        it.log.mode = faulty_log::fault::outage;
        it.run(10s);
        it.log.mode = faulty_log::fault::none;
        it.run(15s);
        const auto fence = std::max(it.fence(0), it.fence(1));
        cr_assert(fence > 0);
        it.log.restore(kept);
        it.run(15s);
        cr_assert(it.holders() == 1, "no holder after a restore to %zu records", kept);
        cr_assert(std::max(it.fence(0), it.fence(1)) > fence);
        it.log.restore(kept);
        it.run(15s);
        cr_assert(it.holders() == 1, "no holder after a second restore");
    }
}

// Guards against an instance that starts after a restore and acquires a lease whose holder has not
// noticed the restore.
Test(lease_controller, lost_lease_is_not_acquired_before_it_expires)
{
    lease_pair it;
    it.instances[1]->stop();
    it.run(3s);
    cr_assert(it.fence(0) != 0);
    it.log.restore(0);
    const auto late = std::make_shared<lease_controller>(
        it.executor.clock, it.log,
        [&it](duration delay, std::function<void()> fn) {
            it.executor.timers.emplace(it.executor.clock.now() + delay, std::move(fn));
        },
        lease_controller_options{
            .name = "group/pearl", .holder = "c", .incarnation = 3, .time_to_live = 5s});
    late->start();
    const auto expired = it.executor.clock.now() + 5s;
    while (it.executor.clock.now() < expired) {
        it.run(50ms);
        cr_assert(!late->fence().has_value());
    }
    it.run(15s);
    cr_assert(late->fence().has_value() != (it.fence(0) != 0));
}
