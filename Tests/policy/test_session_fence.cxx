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

/// Reference implementation that stores every dispatch id.
struct naive_fence {
    std::uint32_t current_session = 0;
    std::set<std::uint64_t> received;
    std::set<std::uint64_t> reported_missing; ///< ids reported as never received

    bool receive(const sent_dispatch& frame)
    {
        return frame.session == this->current_session &&
               !this->reported_missing.contains(frame.id) && this->received.insert(frame.id).second;
    }
};

/// Runs one entry whose connections preserve the order of frames but deliver them at any time and
/// repeat some.
void run_interleaving(unsigned seed)
{
    std::mt19937 random(seed);
    session_fence fence;
    naive_fence naive;
    std::vector<std::deque<sent_dispatch>> connections;
    std::set<std::uint64_t> unresolved; ///< ids sent in the current session
    std::uint64_t next_id = 1;
    for (int step = 0; step < 300; ++step) {
        const auto action = random() % 8;
        if (connections.empty() || action == 0) {
            connections.emplace_back();
            const auto number = static_cast<std::uint32_t>(connections.size());
            cr_assert(fence.open(7, number) == session_opening::opened);
            naive.current_session = number;
            for (const auto id : unresolved) {
                const bool is_missing = fence.never_received(7, id);
                cr_assert_eq(is_missing, !naive.received.contains(id), "seed %u, id %lu", seed, id);
                if (is_missing) {
                    naive.reported_missing.insert(id);
                }
            }
            unresolved.clear();
        }
        else if (action < 4) {
            connections.back().push_back(
                {.session = static_cast<std::uint32_t>(connections.size()), .id = next_id});
            unresolved.insert(next_id++);
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
Test(session_fence, agrees_with_reference_implementation)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        run_interleaving(seed);
    }
}

// Guards against a late hello frame that reopens an old session, and against unbounded memory use.
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
