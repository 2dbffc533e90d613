#include "policy/session_fence.h"

#include <deque>
#include <random>
#include <set>
#include <vector>

#include <criterion/criterion.h>

using medlaryoke::policy::session_fence;
using medlaryoke::policy::session_opening;

namespace {

struct sent_dispatch {
    std::uint32_t session = 0;
    std::uint64_t id = 0;
};

/// Remembers every single dispatch instead of one number for each entry.
struct naive_fence {
    std::uint32_t highest = 0;
    std::set<std::uint64_t> received;
    std::set<std::uint64_t> denied;

    bool receive(const sent_dispatch& frame)
    {
        return frame.session == this->highest && !this->denied.contains(frame.id) &&
               this->received.insert(frame.id).second;
    }
};

/// One entry whose connections keep the order but deliver, or repeat, frames at any time.
void run_interleaving(unsigned seed)
{
    std::mt19937 random(seed);
    session_fence fence;
    naive_fence naive;
    std::vector<std::deque<sent_dispatch>> connections;
    std::set<std::uint64_t> open;
    std::uint64_t next_id = 1;
    for (int step = 0; step < 300; ++step) {
        const auto action = random() % 8;
        if (connections.empty() || action == 0) {
            connections.emplace_back();
            const auto number = static_cast<std::uint32_t>(connections.size());
            cr_assert(fence.open(7, number) == session_opening::opened);
            naive.highest = number;
            for (const auto id : open) {
                const bool never = fence.never_received(7, id);
                cr_assert_eq(never, !naive.received.contains(id), "seed %u, id %lu", seed, id);
                if (never) {
                    naive.denied.insert(id);
                }
            }
            open.clear();
        }
        else if (action < 4) {
            connections.back().push_back(
                {.session = static_cast<std::uint32_t>(connections.size()), .id = next_id});
            open.insert(next_id++);
        }
        else if (auto& queue = connections[random() % connections.size()]; !queue.empty()) {
            const auto frame = queue.front();
            if (random() % 4 != 0) {
                queue.pop_front();
            }
            cr_assert_eq(fence.receive(7, frame.session, frame.id), naive.receive(frame),
                         "seed %u, id %lu", seed, frame.id);
        }
    }
}

} // namespace

// Guards against a dispatch that runs although its entry was told that it never arrived (P3).
Test(session_fence, agrees_with_a_memory_of_every_dispatch)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        run_interleaving(seed);
    }
}

// Guards against a late hello that reopens an old session, and against unbounded memory.
Test(session_fence, refuses_old_sessions_and_too_many_entries)
{
    session_fence fence(2);
    cr_assert(fence.open(1, 5) == session_opening::opened);
    cr_assert(fence.open(1, 4) == session_opening::fenced);
    cr_assert(fence.open(2, 1) == session_opening::opened);
    cr_assert(fence.open(3, 1) == session_opening::no_capacity);
    cr_assert(!fence.receive(3, 1, 1));
    cr_assert(!fence.receive(1, 6, 1), "a session must be opened before it is used");
    cr_assert_eq(fence.size(), 2);
}
