#include "policy/dispatch_tracker.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "base/digest.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;

namespace {

constexpr std::uint64_t incarnation = 11;
constexpr time_point no_deadline = time_point::max();

/// Carries out the actions for one dispatch and records the result.
struct dispatch_observer {
    std::string data;
    int heads = 0;
    int ends = 0;
    dispatch_end end = dispatch_end::unknown;

    void apply(const std::vector<tracker_action>& actions)
    {
        for (const auto& action : actions) {
            cr_assert(this->ends == 0, "nothing may follow the end of a dispatch");
            if (std::holds_alternative<deliver_head>(action)) {
                ++this->heads;
            }
            else if (const auto* part = std::get_if<deliver_data>(&action)) {
                this->data += part->data;
            }
            else if (const auto* ended = std::get_if<dispatch_ended>(&action)) {
                ++this->ends;
                this->end = ended->end;
            }
        }
    }
};

wire::frame make_chunk(std::uint64_t id, std::uint32_t sequence, const std::string& data)
{
    wire::frame frame;
    frame.mutable_chunk()->set_dispatch_id(id);
    frame.mutable_chunk()->set_sequence(sequence);
    frame.mutable_chunk()->set_status(200);
    frame.mutable_chunk()->set_data(data);
    return frame;
}

wire::frame make_finished(std::uint64_t id, std::uint32_t count, std::uint64_t digest)
{
    wire::frame frame;
    frame.mutable_finished()->set_dispatch_id(id);
    frame.mutable_finished()->set_chunk_count(count);
    frame.mutable_finished()->set_digest(digest);
    return frame;
}

wire::frame make_refused(std::uint64_t id)
{
    wire::frame frame;
    frame.mutable_refused()->set_dispatch_id(id);
    return frame;
}

/// Reference implementation: computes the result of dispatch 1 by replaying all frames.
dispatch_observer replay_frames(const std::vector<wire::frame>& history)
{
    dispatch_observer result;
    std::vector<std::string> parts;
    for (const auto& frame : history) {
        if (result.ends > 0) {
            break;
        }
        if (frame.has_chunk() && frame.chunk().dispatch_id() == 1 &&
            frame.chunk().sequence() == parts.size()) {
            parts.push_back(frame.chunk().data());
            result.data += frame.chunk().data();
        }
        else if (frame.has_refused() || frame.has_failed()) {
            result.ends = 1;
            result.end = frame.has_refused() && parts.empty() ? dispatch_end::refused
                                                              : dispatch_end::unknown;
        }
        else if (frame.has_finished() && frame.finished().chunk_count() <= parts.size()) {
            const bool whole = frame.finished().chunk_count() == parts.size() && !parts.empty() &&
                               frame.finished().digest() == hash64(result.data);
            result.ends = 1;
            result.end = whole ? dispatch_end::finished : dispatch_end::unknown;
        }
    }
    result.heads = parts.empty() ? 0 : 1;
    return result;
}

wire::frame random_frame(std::mt19937& random, const std::vector<std::string>& parts)
{
    const std::string whole = parts[0] + parts[1] + parts[2] + parts[3];
    const auto choice = random() % 40;
    if (choice == 0) {
        return make_refused(1);
    }
    if (choice == 1) {
        wire::frame frame;
        frame.mutable_failed()->set_dispatch_id(1);
        return frame;
    }
    if (choice == 2) {
        return make_finished(1, random() % 5, hash64(whole));
    }
    if (choice < 6) {
        return make_finished(1, 4, choice == 3 ? 1 : hash64(whole));
    }
    if (choice == 6) {
        return make_chunk(2, random() % 4, "of another dispatch");
    }
    const auto sequence = static_cast<std::uint32_t>(random() % 4);
    return make_chunk(1, sequence, parts[sequence]);
}

wire::welcome make_welcome(std::uint32_t session, std::uint64_t agent, wire::dispatch_state state)
{
    wire::welcome welcome;
    welcome.mutable_session()->set_number(session);
    welcome.set_agent_incarnation(agent);
    auto* report = welcome.add_reports();
    report->set_dispatch_id(1);
    report->set_state(state);
    return welcome;
}

} // namespace

// Guards against partial, mixed or duplicated answers, and against a dispatch that ends twice, when
// frames are repeated, lost or reordered (P2).
Test(dispatch_tracker, agrees_with_the_reference_implementation)
{
    for (unsigned seed = 1; seed <= 2000; ++seed) {
        std::mt19937 random(seed);
        const std::vector<std::string> parts{"ab", "", "cde", "f"};
        dispatch_tracker tracker;
        tracker.add(1, incarnation, no_deadline);
        std::vector<wire::frame> history;
        dispatch_observer observed;
        for (int step = 0; step < 40; ++step) {
            history.push_back(random_frame(random, parts));
            observed.apply(tracker.on_frame(history.back()));
            const auto expected = replay_frames(history);
            cr_assert_eq(observed.data, expected.data, "seed %u", seed);
            cr_assert_eq(observed.heads, expected.heads, "seed %u", seed);
            cr_assert_eq(observed.ends, expected.ends, "seed %u", seed);
            cr_assert(expected.ends == 0 || observed.end == expected.end, "seed %u", seed);
            cr_assert_eq(tracker.size(), expected.ends == 0 ? 1U : 0U, "seed %u", seed);
        }
    }
}

// Guards against a dispatch that is reported as not run because of the welcome of an older session
// or of a restarted agent.
Test(dispatch_tracker, only_the_welcome_of_the_current_session_ends_dispatches)
{
    const auto end_after = [](const wire::welcome& welcome) {
        dispatch_tracker tracker;
        tracker.add(1, incarnation, no_deadline);
        tracker.open_session(2);
        const auto ids = tracker.open_session(3);
        cr_assert(ids == std::vector<std::uint64_t>{1});
        dispatch_observer observed;
        observed.apply(tracker.on_welcome(welcome));
        return observed;
    };
    const auto never_received = wire::DISPATCH_STATE_NEVER_RECEIVED;
    cr_assert_eq(end_after(make_welcome(2, incarnation, never_received)).ends, 0);
    cr_assert(end_after(make_welcome(3, incarnation, never_received)).end == dispatch_end::refused);
    const auto restarted = end_after(make_welcome(3, incarnation + 1, never_received));
    cr_assert(restarted.ends == 1 && restarted.end == dispatch_end::unknown);
    auto without_reports = make_welcome(3, incarnation, never_received);
    without_reports.clear_reports();
    cr_assert(end_after(without_reports).ends == 1 &&
              end_after(without_reports).end == dispatch_end::unknown);
    const auto running = end_after(make_welcome(3, incarnation, wire::DISPATCH_STATE_RUNNING));
    cr_assert_eq(running.ends, 0);
}

// Guards against an answer that waits forever for a lost chunk.
Test(dispatch_tracker, requests_lost_chunks_once)
{
    dispatch_tracker tracker;
    tracker.add(1, incarnation, no_deadline);
    tracker.on_frame(make_chunk(1, 0, "a"));
    const auto actions = tracker.on_frame(make_chunk(1, 2, "c"));
    cr_assert_eq(actions.size(), 1);
    const auto* resume = std::get_if<request_resume>(actions.data());
    cr_assert(resume != nullptr && resume->next_chunk == 1);
    cr_assert(tracker.on_frame(make_finished(1, 3, 0)).empty());
    tracker.on_frame(make_chunk(1, 1, "b"));
    tracker.on_frame(make_chunk(1, 2, "c"));
    dispatch_observer observed;
    observed.apply(tracker.on_frame(make_finished(1, 3, hash64("abc"))));
    cr_assert(observed.ends == 1 && observed.end == dispatch_end::finished);
}

// Guards against dispatches that never end because the deadline passed, the agent was lost or the
// frame was not sent.
Test(dispatch_tracker, ends_without_the_agent)
{
    dispatch_tracker tracker;
    tracker.add(1, incarnation, time_point(std::chrono::seconds(5)));
    tracker.add(2, incarnation, no_deadline);
    tracker.add(3, incarnation, no_deadline);
    tracker.add(4, incarnation, no_deadline);
    cr_assert(tracker.expire(time_point(std::chrono::seconds(4))).empty());
    dispatch_observer late;
    late.apply(tracker.expire(time_point(std::chrono::seconds(5))));
    cr_assert(late.ends == 1 && late.end == dispatch_end::unknown);
    dispatch_observer unsent;
    unsent.apply(tracker.on_send_failed(2));
    cr_assert(unsent.ends == 1 && unsent.end == dispatch_end::refused);
    cr_assert(tracker.cancel(3));
    cr_assert(tracker.on_frame(make_refused(3)).empty());
    dispatch_observer lost;
    lost.apply(tracker.end_all_as_unknown("no answer"));
    cr_assert(lost.ends == 1 && lost.end == dispatch_end::unknown);
    cr_assert_eq(tracker.size(), 0);
}

// Guards against an answer that reaches the caller with a status that HTTP does not have, such as
// the zero of a chunk that lacks it.
Test(dispatch_tracker, an_answer_without_a_status_is_of_unknown_outcome)
{
    for (const unsigned status : {0U, 99U, 100U, 101U, 199U, 600U, 999U}) {
        dispatch_tracker tracker;
        dispatch_observer observer;
        tracker.add(1, incarnation, no_deadline);
        auto frame = make_chunk(1, 0, "part");
        frame.mutable_chunk()->set_status(status);
        observer.apply(tracker.on_frame(frame));
        cr_assert(observer.heads == 0 && observer.data.empty(), "%u", status);
        cr_assert(observer.ends == 1 && observer.end == dispatch_end::unknown, "%u", status);
    }
}
