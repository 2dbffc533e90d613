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
constexpr time_point far_deadline = time_point::max();

/// What the owner of a tracker saw of one dispatch.
struct observed {
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

/// Judges a dispatch by walking through all frames from the start each time.
observed judge_naively(const std::vector<wire::frame>& history)
{
    observed result;
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
    const auto pick = random() % 40;
    if (pick == 0) {
        return make_refused(1);
    }
    if (pick == 1) {
        wire::frame frame;
        frame.mutable_failed()->set_dispatch_id(1);
        return frame;
    }
    if (pick == 2) {
        return make_finished(1, random() % 5, hash64(whole));
    }
    if (pick < 6) {
        return make_finished(1, 4, pick == 3 ? 1 : hash64(whole));
    }
    if (pick == 6) {
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

// Guards against a partial, mixed or doubled answer, and against a second end, when frames are
// repeated, lost and reordered (P2).
Test(dispatch_tracker, agrees_with_a_replay_of_all_frames)
{
    for (unsigned seed = 1; seed <= 2000; ++seed) {
        std::mt19937 random(seed);
        const std::vector<std::string> parts{"ab", "", "cde", "f"};
        dispatch_tracker tracker;
        tracker.add(1, incarnation, far_deadline);
        std::vector<wire::frame> history;
        observed seen;
        for (int step = 0; step < 40; ++step) {
            history.push_back(random_frame(random, parts));
            seen.apply(tracker.on_frame(history.back()));
            const auto naive = judge_naively(history);
            cr_assert_eq(seen.data, naive.data, "seed %u", seed);
            cr_assert_eq(seen.heads, naive.heads, "seed %u", seed);
            cr_assert_eq(seen.ends, naive.ends, "seed %u", seed);
            cr_assert(naive.ends == 0 || seen.end == naive.end, "seed %u", seed);
            cr_assert_eq(tracker.size(), naive.ends == 0 ? 1U : 0U, "seed %u", seed);
        }
    }
}

// Guards against "not run" taken from a welcome of an older session or of a restarted agent.
Test(dispatch_tracker, settles_by_the_welcome_of_the_current_session_only)
{
    const auto end_after = [](const wire::welcome& welcome) {
        dispatch_tracker tracker;
        tracker.add(1, incarnation, far_deadline);
        tracker.open_session(2);
        const auto ids = tracker.open_session(3);
        cr_assert(ids == std::vector<std::uint64_t>{1});
        observed seen;
        seen.apply(tracker.on_welcome(welcome));
        return seen;
    };
    const auto never = wire::DISPATCH_STATE_NEVER_RECEIVED;
    cr_assert_eq(end_after(make_welcome(2, incarnation, never)).ends, 0);
    cr_assert(end_after(make_welcome(3, incarnation, never)).end == dispatch_end::refused);
    const auto restarted = end_after(make_welcome(3, incarnation + 1, never));
    cr_assert(restarted.ends == 1 && restarted.end == dispatch_end::unknown);
    auto silent = make_welcome(3, incarnation, never);
    silent.clear_reports();
    cr_assert(end_after(silent).ends == 1 && end_after(silent).end == dispatch_end::unknown);
    const auto running = end_after(make_welcome(3, incarnation, wire::DISPATCH_STATE_RUNNING));
    cr_assert_eq(running.ends, 0);
}

// Guards against a stream that waits for ever for a chunk that was lost.
Test(dispatch_tracker, asks_once_for_lost_chunks)
{
    dispatch_tracker tracker;
    tracker.add(1, incarnation, far_deadline);
    tracker.on_frame(make_chunk(1, 0, "a"));
    const auto actions = tracker.on_frame(make_chunk(1, 2, "c"));
    cr_assert_eq(actions.size(), 1);
    const auto* resume = std::get_if<request_resume>(actions.data());
    cr_assert(resume != nullptr && resume->next_chunk == 1);
    cr_assert(tracker.on_frame(make_finished(1, 3, 0)).empty());
    tracker.on_frame(make_chunk(1, 1, "b"));
    tracker.on_frame(make_chunk(1, 2, "c"));
    observed seen;
    seen.apply(tracker.on_frame(make_finished(1, 3, hash64("abc"))));
    cr_assert(seen.ends == 1 && seen.end == dispatch_end::finished);
}

// Guards against dispatches that never end: passed deadlines, lost agents, unsent frames.
Test(dispatch_tracker, ends_without_the_agent)
{
    dispatch_tracker tracker;
    tracker.add(1, incarnation, time_point(std::chrono::seconds(5)));
    tracker.add(2, incarnation, far_deadline);
    tracker.add(3, incarnation, far_deadline);
    tracker.add(4, incarnation, far_deadline);
    cr_assert(tracker.expire(time_point(std::chrono::seconds(4))).empty());
    observed late;
    late.apply(tracker.expire(time_point(std::chrono::seconds(5))));
    cr_assert(late.ends == 1 && late.end == dispatch_end::unknown);
    observed unsent;
    unsent.apply(tracker.not_handed_over(2));
    cr_assert(unsent.ends == 1 && unsent.end == dispatch_end::refused);
    cr_assert(tracker.cancel(3));
    cr_assert(tracker.on_frame(make_refused(3)).empty());
    observed lost;
    lost.apply(tracker.abandon("no answer"));
    cr_assert(lost.ends == 1 && lost.end == dispatch_end::unknown);
    cr_assert_eq(tracker.size(), 0);
}
