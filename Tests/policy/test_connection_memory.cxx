#include "policy/connection_memory.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <vector>

#include <criterion/criterion.h>

#include "policy/connection_slots.h"
#include "policy/process_limits.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};
constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

using ids = std::vector<std::uint64_t>;

connection_memory make_memory(std::size_t capacity)
{
    return connection_memory({.capacity = capacity});
}

} // namespace

// Guards against memory that runs out, and against small requests that pay for large ones. Load:
// clients begin large bodies one after the other and stop short of their end, beside small
// requests.
Test(connection_memory, stalled_large_bodies_give_way_first)
{
    auto memory = make_memory(10 * megabyte);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        cr_assert(memory.set(id, 2 * megabyte, true, start).empty());
    }
    cr_assert(memory.set(5, 60 * kilobyte, true, start + 1s).empty());
    // One body still grows; the larger ones have stalled.
    cr_assert(memory.set(6, megabyte, true, start + 1s).empty());
    const auto given_up =
        memory.set(6, megabyte + 900 * kilobyte + 200 * kilobyte, true, start + 1s);
    cr_assert(given_up.size() == 1 && given_up.front() <= 4);
    cr_assert(memory.held() <= 10 * megabyte);
    cr_assert(memory.set(5, 64 * kilobyte, true, start + 1s).empty());
}

// Guards against a request that is being handled and loses its body.
Test(connection_memory, handled_requests_keep_their_bytes)
{
    auto memory = make_memory(4 * megabyte);
    cr_assert(memory.set(1, 3 * megabyte, false, start).empty());
    cr_assert(memory.set(2, 2 * megabyte, true, start) == ids({2}));
    cr_assert(memory.held() == 3 * megabyte);
    cr_assert(memory.set(1, 0, false, start).empty() && memory.held() == 0);
    cr_assert(memory.set(2, 2 * megabyte, true, start).empty());
}

// Guards against small requests that are refused although larger ones hold the memory.
Test(connection_memory, small_requests_pass_beside_large_ones)
{
    auto memory = make_memory(4 * megabyte);
    cr_assert(memory.set(1, 3 * megabyte, true, start).empty());
    for (std::uint64_t id = 10; id < 40; ++id) {
        for (const auto given_up : memory.set(id, 60 * kilobyte, true, start + 10ms)) {
            cr_assert(given_up == 1);
        }
    }
    cr_assert(memory.held() == 30 * 60 * kilobyte);
}

// Checks the sum against a naive account, over random arrivals, growth and ends.
Test(connection_memory, account_matches_naive_sum)
{
    std::mt19937 random(7);
    auto memory = make_memory(8 * megabyte);
    std::map<std::uint64_t, std::size_t> naive;
    auto now = start;
    for (int n = 0; n < 20000; ++n) {
        now += 3ms;
        const std::uint64_t id = random() % 50;
        const std::size_t bytes = random() % 4 == 0 ? 0 : random() % megabyte;
        const bool can_give_up = random() % 8 != 0;
        naive[id] = bytes;
        for (const auto given_up : memory.set(id, bytes, can_give_up, now)) {
            naive[given_up] = 0;
        }
        std::size_t sum = 0;
        for (const auto& [key, value] : naive) {
            sum += value;
        }
        cr_assert(memory.held() == sum);
    }
}

// Guards against a process that has no descriptor left. Load: clients open connections, use some of
// them and leave the others idle or never end their requests.
Test(connection_slots, longest_idle_connection_is_closed_first)
{
    connection_slots slots(3);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        cr_assert(!slots.on_open(id, start + id * 1ms));
    }
    slots.on_use(1, connection_use::answering, start + 5ms);
    slots.on_use(2, connection_use::receiving, start + 6ms);
    cr_assert(slots.on_open(4, start + 1s) == 3U);
    slots.on_use(4, connection_use::receiving, start + 1s);
    cr_assert(slots.on_open(5, start + 2s) == 2U, "its request has been arriving for longest");
    slots.on_use(4, connection_use::answering, start + 2s);
    slots.on_use(5, connection_use::answering, start + 2s);
    cr_assert(slots.on_open(6, start + 3s) == 6U, "all others are being answered");
    slots.on_close(1);
    cr_assert(!slots.on_open(7, start + 3s));
}

// Guards against shares that exceed what a machine grants, from the smallest to the largest.
Test(process_limits, shares_fit_into_the_machine)
{
    constexpr std::size_t header_bytes = 16 * kilobyte;
    for (const std::size_t memory : {64U, 128U, 160U, 512U, 4096U}) {
        for (const std::size_t descriptors : {300U, 2048U, 4100U, 12300U}) {
            const auto held = divide({memory * megabyte, descriptors}, header_bytes);
            const auto heads = held.callers * (header_bytes + 8 * kilobyte);
            cr_assert(held.request_bytes + held.reply_bytes + held.answer_bytes + heads <=
                      memory * megabyte * 7 / 10);
            cr_assert(held.callers + held.directory + 3 * held.operations <= descriptors);
            cr_assert(held.callers >= 16 && held.directory >= 8 && held.operations >= 8);
        }
    }
}
