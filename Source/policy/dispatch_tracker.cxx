#include "policy/dispatch_tracker.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>

#include "base/http_status.h"

namespace medlaryoke::policy {

namespace {

void move_append(std::vector<tracker_action>& to, std::vector<tracker_action> from)
{
    std::ranges::move(from, std::back_inserter(to));
}

} // namespace

void dispatch_tracker::add(std::uint64_t id, std::uint64_t agent_incarnation, time_point deadline)
{
    auto& entry = this->dispatches_[id];
    entry.agent_incarnation = agent_incarnation;
    entry.deadline = deadline;
}

std::vector<tracker_action> dispatch_tracker::on_send_failed(std::uint64_t id)
{
    const auto it = this->dispatches_.find(id);
    if (it == this->dispatches_.end()) {
        return {};
    }
    return this->end(it, dispatch_end::refused, "the request could not be handed to a connection",
                     wire::REFUSAL_REASON_UPSTREAM_DOWN);
}

std::vector<tracker_action> dispatch_tracker::on_frame(const wire::frame& frame)
{
    switch (frame.body_case()) {
    case wire::frame::kChunk:
        return this->on_chunk(frame.chunk());
    case wire::frame::kFinished:
        return this->on_finished(frame.finished());
    case wire::frame::kRefused:
        return this->on_refused(frame.refused());
    case wire::frame::kFailed: {
        const auto it = this->dispatches_.find(frame.failed().dispatch_id());
        if (it == this->dispatches_.end()) {
            return {};
        }
        return this->end(it, dispatch_end::unknown, frame.failed().message());
    }
    default:
        return {};
    }
}

std::vector<std::uint64_t> dispatch_tracker::open_session(std::uint32_t number)
{
    this->session_ = number;
    std::vector<std::uint64_t> ids;
    ids.reserve(this->dispatches_.size());
    for (auto& [id, entry] : this->dispatches_) {
        entry.in_hello = true;
        ids.push_back(id);
    }
    return ids;
}

std::vector<tracker_action> dispatch_tracker::on_welcome(const wire::welcome& welcome)
{
    if (welcome.session().number() != this->session_) {
        return {};
    }
    std::unordered_map<std::uint64_t, const wire::dispatch_report*> reports;
    for (const auto& report : welcome.reports()) {
        reports.emplace(report.dispatch_id(), &report);
    }
    std::vector<tracker_action> actions;
    for (auto it = this->dispatches_.begin(); it != this->dispatches_.end();) {
        const auto current = it++;
        if (!std::exchange(current->second.in_hello, false)) {
            continue;
        }
        const auto report = reports.find(current->first);
        if (current->second.agent_incarnation != welcome.agent_incarnation()) {
            move_append(actions,
                        this->end(current, dispatch_end::unknown,
                                  "the agent restarted after the request was handed to it"));
        }
        else if (report == reports.end()) {
            move_append(actions, this->end(current, dispatch_end::unknown,
                                           "the agent's welcome does not list the dispatch"));
        }
        else {
            move_append(actions, this->on_report(current, *report->second));
        }
    }
    return actions;
}

std::vector<tracker_action> dispatch_tracker::end_all_as_unknown(const std::string& message)
{
    std::vector<tracker_action> actions;
    while (!this->dispatches_.empty()) {
        move_append(actions, this->end(this->dispatches_.begin(), dispatch_end::unknown, message));
    }
    return actions;
}

std::vector<tracker_action> dispatch_tracker::expire(time_point now)
{
    std::vector<tracker_action> actions;
    for (auto it = this->dispatches_.begin(); it != this->dispatches_.end();) {
        const auto current = it++;
        if (current->second.deadline <= now) {
            move_append(actions, this->end(current, dispatch_end::unknown,
                                           "the deadline passed before the whole answer arrived"));
        }
    }
    return actions;
}

bool dispatch_tracker::cancel(std::uint64_t id)
{
    return this->dispatches_.erase(id) > 0;
}

std::vector<tracker_action> dispatch_tracker::end(dispatch_map::iterator it, dispatch_end outcome,
                                                  std::string message, wire::refusal_reason reason)
{
    const auto id = it->first;
    this->dispatches_.erase(it);
    return {
        dispatch_ended{.id = id, .end = outcome, .reason = reason, .message = std::move(message)}};
}

std::vector<tracker_action> dispatch_tracker::request_missing_chunks(dispatch_map::iterator it)
{
    if (std::exchange(it->second.resume_requested, true)) {
        return {};
    }
    return {request_resume{.id = it->first, .next_chunk = it->second.next_chunk}};
}

std::vector<tracker_action> dispatch_tracker::on_chunk(const wire::chunk& chunk)
{
    const auto it = this->dispatches_.find(chunk.dispatch_id());
    if (it == this->dispatches_.end() || chunk.sequence() < it->second.next_chunk) {
        return {};
    }
    if (chunk.sequence() > it->second.next_chunk) {
        return this->request_missing_chunks(it);
    }
    if (chunk.sequence() == 0 && !is_final_status(chunk.status())) {
        return this->end(it, dispatch_end::unknown,
                         fmt::format("the agent sent an answer with status {}", chunk.status()));
    }
    it->second.resume_requested = false;
    ++it->second.next_chunk;
    it->second.digest.update(chunk.data());
    std::vector<tracker_action> actions;
    if (chunk.sequence() == 0) {
        actions.emplace_back(
            deliver_head{.id = it->first,
                         .status = chunk.status(),
                         .headers = {chunk.headers().begin(), chunk.headers().end()}});
    }
    if (!chunk.data().empty()) {
        actions.emplace_back(deliver_data{.id = it->first, .data = chunk.data()});
    }
    return actions;
}

std::vector<tracker_action> dispatch_tracker::on_finished(const wire::finished& finished)
{
    const auto it = this->dispatches_.find(finished.dispatch_id());
    if (it == this->dispatches_.end()) {
        return {};
    }
    const auto next_chunk = it->second.next_chunk;
    if (finished.chunk_count() > next_chunk) {
        return this->request_missing_chunks(it);
    }
    if (finished.chunk_count() < next_chunk || next_chunk == 0) {
        return this->end(it, dispatch_end::unknown,
                         fmt::format("the agent ended the answer after {} chunks, but {} arrived",
                                     finished.chunk_count(), next_chunk));
    }
    if (finished.digest() != it->second.digest.value()) {
        return this->end(it, dispatch_end::unknown,
                         "the digest of the answer does not match its chunks");
    }
    return this->end(it, dispatch_end::finished, "");
}

std::vector<tracker_action> dispatch_tracker::on_refused(const wire::refused& refused)
{
    const auto it = this->dispatches_.find(refused.dispatch_id());
    if (it == this->dispatches_.end()) {
        return {};
    }
    if (it->second.next_chunk > 0) {
        return this->end(it, dispatch_end::unknown,
                         "the agent refused the request after it had begun to answer");
    }
    return this->end(it, dispatch_end::refused, refused.message(), refused.reason());
}

std::vector<tracker_action> dispatch_tracker::on_report(dispatch_map::iterator it,
                                                        const wire::dispatch_report& report)
{
    switch (report.state()) {
    case wire::DISPATCH_STATE_NEVER_RECEIVED:
        if (it->second.next_chunk > 0) {
            return this->end(
                it, dispatch_end::unknown,
                "the agent reports that it never received a request that it had begun to answer");
        }
        return this->end(it, dispatch_end::refused, "the agent never received the request",
                         wire::REFUSAL_REASON_OLD_SESSION);
    case wire::DISPATCH_STATE_QUEUED:
    case wire::DISPATCH_STATE_RUNNING:
    case wire::DISPATCH_STATE_ENDED:
        it->second.resume_requested = false;
        return this->request_missing_chunks(it);
    default:
        return this->end(it, dispatch_end::unknown,
                         "the agent reported an unknown state of the dispatch");
    }
}

} // namespace medlaryoke::policy
