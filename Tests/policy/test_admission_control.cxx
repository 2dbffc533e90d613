#include "policy/admission_control.h"

#include <cmath>
#include <random>

#include <criterion/criterion.h>

using medlaryoke::time_point;
using medlaryoke::policy::admission_control;
using medlaryoke::policy::admission_options;
using medlaryoke::policy::work_ahead;
using medlaryoke::policy::work_item;
using namespace std::chrono_literals;

namespace {

const admission_options options{.priorities = {{.order = 0, .floor = 0.3},
                                               {.order = 1, .floor = 0.2},
                                               {.order = 2, .floor = 0.1}}};

/// Reference implementation that keeps every event and computes the rates from all of them.
struct reference_admission {
    struct event {
        std::int64_t at_ms;
        unsigned priority;
        double cost;
        bool served;
        bool backlogged;
    };

    std::vector<event> events;

    bool admits(const work_item& item, const work_ahead& ahead, std::int64_t now_ms) const
    {
        double rate = 0;
        double urgent_rate = 0;
        bool backlog_at_start = true;
        for (std::int64_t start = 0; start + 500 <= now_ms; start += 500) {
            double sum = 0;
            double urgent = 0;
            bool all = backlog_at_start;
            const event* next = nullptr;
            for (const auto& it : this->events) {
                if (it.at_ms >= start && it.at_ms < start + 500 && it.served) {
                    sum += it.cost * 2;
                    urgent += it.priority < item.priority ? it.cost * 2 : 0;
                    all = all && it.backlogged;
                }
                if (it.at_ms >= start + 500 && next == nullptr) {
                    next = &it;
                }
            }
            urgent_rate = urgent_rate * 0.7 + urgent * 0.3;
            if (rate == 0) {
                rate = sum;
            }
            else if (sum > rate || all) {
                rate += 0.3 * (sum - rate);
            }
            backlog_at_start =
                next != nullptr ? next->backlogged : ahead.same_priority + ahead.more_urgent > 0;
        }
        if (rate == 0) {
            return true;
        }
        const double floor = item.priority == 0 ? 0.3 : item.priority == 1 ? 0.2 : 0.1;
        const auto fast = ahead.same_priority / std::max(rate - urgent_rate, floor * rate) +
                          ahead.more_urgent / rate;
        const auto wait_s = std::min(fast, ahead.same_priority / (floor * rate));
        const auto remaining_s =
            std::chrono::duration<double>(item.deadline.time_since_epoch()).count() -
            static_cast<double>(now_ms) / 1e3;
        return wait_s <= 0.8 * remaining_s;
    }
};

} // namespace

// Guards against intervals that are lost or counted twice.
Test(admission_control, agrees_with_the_reference_implementation)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        std::mt19937_64 random(seed);
        admission_control control(options);
        reference_admission reference;
        std::int64_t now_ms = 0;
        for (int i = 0; i < 300; ++i) {
            now_ms += static_cast<std::int64_t>(random() % 130);
            const time_point now{std::chrono::milliseconds(now_ms)};
            const auto priority = static_cast<unsigned>(random() % 3);
            if (random() % 2 == 0) {
                const auto cost = static_cast<double>(1 + random() % 50);
                const bool backlogged = random() % 9 != 0;
                control.on_served(priority, cost, backlogged, now);
                reference.events.push_back({now_ms, priority, cost, true, backlogged});
                continue;
            }
            const work_item item{.priority = priority,
                                 .deadline = now + std::chrono::milliseconds(1 + random() % 4'000)};
            const work_ahead ahead{static_cast<double>(random() % 1'000),
                                   static_cast<double>(random() % 300)};
            cr_assert(control.decide(item, ahead, now).admitted ==
                          reference.admits(item, ahead, now_ms),
                      "seed %lu step %d", seed, i);
            reference.events.push_back(
                {now_ms, 0, 0, false, ahead.same_priority + ahead.more_urgent > 0});
        }
    }
}

// Guards against urgent requests that are refused before batch requests, and against the refusal of
// requests within their floor.
Test(admission_control, refuses_batch_first_and_keeps_floors)
{
    admission_control control(options);
    for (int i = 0; i <= 300; ++i) { // 1,000 tokens/s, of which 900 are urgent
        const time_point now{i * 10ms};
        control.on_served(i % 10 == 0 ? 2 : 0, 10, true, now);
    }
    const auto admitted = [&](unsigned priority, work_ahead ahead) {
        const work_item item{.priority = priority, .deadline = time_point{13s}};
        return control.decide(item, ahead, time_point{3s}).admitted;
    };
    cr_assert(admitted(0, {5'000, 0}));
    cr_assert(!admitted(2, {5'000, 0}));
    cr_assert(admitted(2, {500, 100'000}), "a request within the floor was refused");
    cr_assert(!admitted(0, {9'000, 0}));
}

// Guards against a quiet period that is interpreted as low capacity.
Test(admission_control, admits_a_burst_after_a_quiet_period)
{
    admission_control control(options);
    for (int i = 0; i <= 100; ++i) {
        control.on_served(0, 100, true, time_point{i * 10ms});
    }
    for (int i = 0; i <= 10; ++i) {
        control.on_served(0, 1, false, time_point{1s + i * 1s});
    }
    const work_item item{.priority = 0, .deadline = time_point{12s}};
    cr_assert(control.decide(item, {5'000, 0}, time_point{11s}).admitted);
}
