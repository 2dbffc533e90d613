#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/stream_digest.h"
#include "model/wire.pb.h"

namespace medlaryoke::policy {

/// Delivers the status and headers of the answer, which arrive with chunk 0.
struct deliver_head {
    std::uint64_t id = 0;
    unsigned status = 0;
    std::vector<wire::header_field> headers;
};

/// Delivers the next part of the body of the answer.
struct deliver_data {
    std::uint64_t id = 0;
    std::string data;
};

/// Asks the agent to send the chunks from a sequence number on again.
struct request_resume {
    std::uint64_t id = 0;
    std::uint32_t next_chunk = 0; ///< sequence number of the first chunk to send
};

/// How a dispatch ended.
enum class dispatch_end {
    finished, ///< the whole answer was delivered and its digest matched
    refused,  ///< the request was not run and never will be under this id
    unknown,  ///< the request may have been run, but the whole answer will not arrive
};

/// Reports the end of a dispatch; no action follows for this dispatch.
struct dispatch_ended {
    std::uint64_t id = 0;
    dispatch_end end = dispatch_end::unknown;
    wire::refusal_reason reason = wire::REFUSAL_REASON_UNSPECIFIED;
    std::string message;
};

/// An action that the owner of the tracker must carry out.
using tracker_action = std::variant<deliver_head, deliver_data, request_resume, dispatch_ended>;

/// Tracks the dispatches of an entry to one agent until each has ended, which it reports exactly
/// once. Frames that are late, repeated or from before a reconnect have no effect. Not thread safe.
class dispatch_tracker {
public:
    /// Starts tracking a dispatch.
    /// @param id id of the dispatch; must not be in use
    /// @param agent_incarnation incarnation of the agent to which the dispatch is addressed
    /// @param deadline time after which the dispatch ends as unknown
    void add(std::uint64_t id, std::uint64_t agent_incarnation, time_point deadline);

    /// Ends a dispatch as refused because its frame could not be handed to a connection.
    /// @param id id of the dispatch
    /// @return actions in order
    std::vector<tracker_action> on_send_failed(std::uint64_t id);

    /// Processes a frame from the agent.
    /// @param frame a chunk, finished, refused or failed frame; others are ignored
    /// @return actions in order
    std::vector<tracker_action> on_frame(const wire::frame& frame);

    /// Opens a new session with the agent.
    /// @param number number of the session
    /// @return ids of the dispatches to list in the hello of the session
    std::vector<std::uint64_t> open_session(std::uint32_t number);

    /// Processes the agent's answer to a hello: ends or resumes the dispatches listed in the hello.
    /// @param welcome the agent's answer; ignored if it belongs to another session
    /// @return actions in order
    std::vector<tracker_action> on_welcome(const wire::welcome& welcome);

    /// Ends all dispatches as unknown because the agent does not answer.
    /// @param message error message for the ended dispatches
    /// @return actions in order
    std::vector<tracker_action> end_all_as_unknown(const std::string& message);

    /// Ends the dispatches whose deadline has passed as unknown.
    /// @param now the current time
    /// @return actions in order
    std::vector<tracker_action> expire(time_point now);

    /// Stops tracking a dispatch whose caller no longer waits for it. No action reports its end.
    /// @param id id of the dispatch
    /// @return whether the dispatch was in flight
    bool cancel(std::uint64_t id);

    /// @return number of dispatches in flight
    [[nodiscard]] std::size_t size() const { return this->dispatches_.size(); }

private:
    struct dispatch_state {
        std::uint64_t agent_incarnation = 0;
        time_point deadline{};
        std::uint32_t next_chunk = 0;  ///< sequence number of the next chunk to deliver
        bool resume_requested = false; ///< the chunks from next_chunk on were requested again
        bool in_hello = false;         ///< listed in the hello of the session, not yet answered
        stream_digest digest;          ///< of the chunks delivered
    };
    using dispatch_map = std::map<std::uint64_t, dispatch_state>;

    std::vector<tracker_action> end(dispatch_map::iterator it, dispatch_end outcome,
                                    std::string message,
                                    wire::refusal_reason reason = wire::REFUSAL_REASON_UNSPECIFIED);
    std::vector<tracker_action> request_missing_chunks(dispatch_map::iterator it);
    std::vector<tracker_action> on_chunk(const wire::chunk& chunk);
    std::vector<tracker_action> on_finished(const wire::finished& finished);
    std::vector<tracker_action> on_refused(const wire::refused& refused);
    std::vector<tracker_action> on_report(dispatch_map::iterator it,
                                          const wire::dispatch_report& report);

    std::uint32_t session_ = 0; ///< number of the current session
    dispatch_map dispatches_;
};

} // namespace medlaryoke::policy
