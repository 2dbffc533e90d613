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

/// Chunk 0 arrived: the status and headers of the answer.
struct deliver_head {
    std::uint64_t id = 0;
    unsigned status = 0;
    std::vector<wire::header_field> headers;
};

/// The next part of the answer.
struct deliver_data {
    std::uint64_t id = 0;
    std::string data;
};

/// The agent has to send the chunks from a sequence number on again.
struct request_resume {
    std::uint64_t id = 0;
    std::uint32_t next_chunk = 0;
};

enum class dispatch_end {
    finished, ///< the whole answer was delivered and its digest matched
    refused,  ///< not run, and never will be under this id
    unknown,  ///< may have been run, and no whole answer will come
};

struct dispatch_ended {
    std::uint64_t id = 0;
    dispatch_end end = dispatch_end::unknown;
    wire::refusal_reason reason = wire::REFUSAL_REASON_UNSPECIFIED;
    std::string message;
};

/// What the owner of the tracker has to do, in order.
using tracker_action = std::variant<deliver_head, deliver_data, request_resume, dispatch_ended>;

/// Follows the dispatches of an entry to one agent until each has ended in exactly one way.
/// Frames that are late, repeated or cross a reconnect have no effect. Not thread safe.
class dispatch_tracker {
public:
    /// Starts following a dispatch.
    /// @param id the dispatch; must not be in use
    /// @param agent_incarnation the incarnation that the dispatch names
    /// @param deadline after which it ends as unknown
    void add(std::uint64_t id, std::uint64_t agent_incarnation, time_point deadline);

    /// Ends a dispatch as refused whose frame was not handed to a connection.
    /// @param id the dispatch
    /// @return actions in order
    std::vector<tracker_action> not_handed_over(std::uint64_t id);

    /// Reacts to accepted, refused, chunk, finished and failed.
    /// @param frame a frame from the agent; others are ignored
    /// @return actions in order
    std::vector<tracker_action> on_frame(const wire::frame& frame);

    /// Opens a new session.
    /// @param number the session
    /// @return the dispatches to name in its hello
    std::vector<std::uint64_t> open_session(std::uint32_t number);

    /// Settles the dispatches that were named in the hello of the current session.
    /// @param welcome the agent's answer; one for another session is ignored
    /// @return actions in order
    std::vector<tracker_action> on_welcome(const wire::welcome& welcome);

    /// Ends all dispatches as unknown, because the agent does not answer.
    /// @param message says why
    /// @return actions in order
    std::vector<tracker_action> abandon(const std::string& message);

    /// Ends the dispatches whose deadline has passed as unknown.
    /// @param now the current time
    /// @return actions in order
    std::vector<tracker_action> expire(time_point now);

    /// Forgets a dispatch that nobody waits for any more.
    /// @param id the dispatch
    /// @return whether it was in flight
    bool cancel(std::uint64_t id);

    /// @return dispatches that have not ended
    [[nodiscard]] std::size_t size() const { return this->open_.size(); }

private:
    struct open_dispatch {
        std::uint64_t agent_incarnation = 0;
        time_point deadline{};
        std::uint32_t next_chunk = 0;
        bool resuming = false; ///< a resume was asked for and the next chunk has not come yet
        bool in_hello = false; ///< named in the hello of the current session
        stream_digest digest;
    };
    using open_map = std::map<std::uint64_t, open_dispatch>;

    std::vector<tracker_action> end(open_map::iterator it, dispatch_end how, std::string message,
                                    wire::refusal_reason reason = wire::REFUSAL_REASON_UNSPECIFIED);
    std::vector<tracker_action> ask_resume(open_map::iterator it);
    std::vector<tracker_action> on_chunk(const wire::chunk& chunk);
    std::vector<tracker_action> on_finished(const wire::finished& finished);
    std::vector<tracker_action> on_refused(const wire::refused& refused);
    std::vector<tracker_action> on_report(open_map::iterator it,
                                          const wire::dispatch_report& report);

    std::uint32_t session_ = 0;
    open_map open_;
};

} // namespace medlaryoke::policy
