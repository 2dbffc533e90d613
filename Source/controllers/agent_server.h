#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/stream_digest.h"
#include "controllers/agent_admission.h"
#include "controllers/claim_service.h"
#include "controllers/serial_actions.h"
#include "controllers/upstream_service.h"
#include "controllers/usage_meter.h"
#include "model/wire_frame.h"
#include "policy/session_fence.h"
#include "transport/message_channel.h"

namespace medlaryoke::controllers {

struct agent_server_options {
    std::uint64_t incarnation = 0; ///< incarnation of this agent process
    std::string instance;          ///< name of this agent's instance
    std::string data_centre;       ///< of this agent
    std::string serves;            ///< name of the model group or service
    agent_admission_options admission;
    /// The requests of an entry that sent no frame for this long are cancelled.
    duration entry_silence_timeout = std::chrono::seconds(5);
    /// Time that an ended answer is kept for an entry that may resume it over a new connection.
    duration answer_retention = std::chrono::seconds(30);
    /// Bounds of the answer data that is kept for a resume: of one answer, and of all answers.
    std::size_t max_replay_bytes_per_answer = 1U << 20U;
    std::size_t max_total_replay_bytes = 32U << 20U;
};

/// Functions that an agent_server needs of the rest of the agent. They must not call back into it.
struct agent_server_ports {
    /// Queues a frame for a connection; frames are sent in the order of the calls.
    std::function<void(const transport::connection_id&, wire::frame)> send;
    /// Returns the offset of the configuration in force at this agent.
    std::function<std::uint64_t()> config_offset;
    /// Returns the configuration records from an offset on.
    std::function<wire::config_records(std::uint64_t from_offset)> config_records_from;
    /// Applies configuration records that an entry sent; called outside the lock.
    std::function<void(const wire::config_records&)> apply_config_records;
    /// Handles frames of other protocols, such as orders and map switches; called outside the lock.
    std::function<void(const transport::connection_id&, const wire::frame&)> on_other_frame;
};

/// Counters since the start of the agent and current gauges, for metrics and health checks.
struct agent_server_counts {
    std::uint64_t started = 0;    ///< requests that got a slot
    std::uint64_t finished = 0;   ///< requests with a complete answer
    std::uint64_t failed = 0;     ///< requests with an unknown outcome
    std::uint64_t refused = 0;    ///< requests that were not run
    std::uint64_t cancelled = 0;  ///< requests whose entry cancelled them or was lost
    std::uint64_t resumed = 0;    ///< answers that continued on a new connection
    std::size_t entries = 0;      ///< entries with an open session
    std::size_t replay_bytes = 0; ///< answer data kept for a resume
    wire::load_report load;
};

/// Implements the agent's side of the protocol with entries: it rejects frames of old sessions,
/// admits and runs dispatches, relays the answers and reports load. One agent serves one upstream
/// with at most a few hundred concurrent requests, so a single lock suffices. Thread safe.
class agent_server : public std::enable_shared_from_this<agent_server> {
public:
    /// @param clock source of the time
    /// @param options names, limits and timeouts
    /// @param ports access to the connections and the configuration
    /// @param upstream runs the requests
    /// @param claims ensures that requests that are not idempotent run at most once
    agent_server(const clock_source& clock, agent_server_options options, agent_server_ports ports,
                 upstream_service& upstream, claim_service& claims);

    /// Handles a frame of an entry.
    /// @param connection the connection on which the frame arrived
    /// @param frame the frame
    void on_frame(const transport::connection_id& connection, const wire::frame& frame);

    /// Ends requests whose deadline has passed, cancels the requests of silent entries and deletes
    /// answers after answer_retention; to be called several times a second.
    void tick();

    /// Sends a heartbeat to each entry; to be called every heartbeat_interval.
    void send_heartbeats();

    /// Announces to all entries whether the upstream is leaving. A leaving agent refuses new
    /// requests and completes those it admitted.
    /// @param leaving whether the upstream is leaving
    void set_leaving(bool leaving);

    /// Sets whether the upstream is reported as up. Entries send no requests to an upstream that is
    /// down, so only a probe can detect that it is up again.
    /// @param up whether a probe reached the upstream
    void set_upstream_up(bool up);

    /// Replaces the rules by which queued requests are ordered.
    /// @param priorities rules of the current configuration
    void set_priorities(const std::vector<policy::priority_rule>& priorities);

    /// Tells whether a leaving agent may exit: no request runs or waits, all claim records are
    /// stored, and entries had the time to resume the last answer over a new connection.
    /// @return true if an exit would interrupt no request
    [[nodiscard]] bool drained() const;

    /// @return current counters and gauges
    [[nodiscard]] agent_server_counts counts() const;

private:
    /// Incarnation of the entry and the id that the entry gave the dispatch.
    using dispatch_key = std::pair<std::uint64_t, std::uint64_t>;

    enum class run_state { queued, claiming, running, ended };

    /// A dispatch from its arrival until its answer is deleted.
    struct dispatch_run {
        std::uint64_t number = 0; ///< unique within this process
        dispatch_key key;
        wire::dispatch request;
        run_state state = run_state::queued;
        time_point deadline{};
        time_point started_at{};
        time_point ended_at{};
        std::optional<duration> first_byte_latency; ///< time to the first byte of the answer
        bool awaiting_resume = false; ///< the entry reconnected and has not sent resume yet
        bool abandoned = false;       ///< the entry cancelled the dispatch or was lost
        std::shared_ptr<upstream_call> call;
        std::optional<claim_ticket> ticket;
        std::deque<wire::chunk> chunks;       ///< most recent chunks, for a resume
        std::size_t chunk_bytes = 0;          ///< size of the data in chunks
        std::uint32_t next_chunk = 0;         ///< sequence number of the next chunk
        stream_digest digest;                 ///< of the data of all chunks
        completed_answer answer;              ///< stored as completion if there is a ticket
        std::optional<wire::frame> end_frame; ///< finished, refused or failed; empty before
    };
    using run_map = std::map<std::uint64_t, dispatch_run>;

    /// The open session of an entry.
    struct entry_session {
        transport::connection_id connection;
        std::uint32_t session_number = 0;
        std::string instance; ///< name of the entry
        time_point last_received_at{};
        std::uint64_t received_dispatches = 0; ///< in this session
        std::uint64_t config_offset = 0;       ///< highest offset that the entry reported
        std::optional<time_point> config_requested_at;
        std::optional<time_point> config_sent_at;
    };

    void handle_frame(const transport::connection_id& connection, const wire::frame& frame);
    void handle_session_frame(std::uint64_t entry_incarnation,
                              const transport::connection_id& connection, const wire::frame& frame);
    void on_hello(const transport::connection_id& connection, const wire::hello& hello);
    /// Reports the state of a dispatch and sends nothing of its answer until the entry resumes it.
    wire::dispatch_report suspend_and_report(std::uint64_t entry_incarnation,
                                             std::uint64_t dispatch_id);
    void on_dispatch(std::uint64_t entry_incarnation, const wire::dispatch& dispatch);
    std::optional<std::pair<wire::refusal_reason, std::string>>
    reason_to_refuse(const wire::dispatch& dispatch) const;
    void on_resume(std::uint64_t entry_incarnation, const wire::resume& resume);
    void on_heartbeat(std::uint64_t entry_incarnation, const wire::heartbeat& heartbeat);
    void synchronise_config(std::uint64_t entry_incarnation, std::uint64_t config_offset,
                            bool may_send_records);

    void start_run(dispatch_run& run);
    void start_queued_runs();
    void on_claim(std::uint64_t number, const claim_answer& answer);
    void run_at_upstream(dispatch_run& run);
    void on_upstream_head(std::uint64_t number, const transport::http_head& head);
    void begin_answer(dispatch_run& run, const transport::http_head& head);
    void on_upstream_data(std::uint64_t number, std::string data);
    void on_upstream_end(std::uint64_t number);
    void on_upstream_failure(std::uint64_t number, bool maybe_run, const std::string& message);
    void answer_from_completion(dispatch_run& run, const wire::completion& completion);

    void add_chunk(dispatch_run& run, wire::chunk chunk);
    void trim_replay(dispatch_run& run);
    void finish(dispatch_run& run, bool from_memory);
    void refuse(dispatch_run& run, wire::refusal_reason reason, const std::string& message);
    void fail(dispatch_run& run, const std::string& message, bool in_progress = false);
    void end_run(dispatch_run& run, wire::frame frame);
    void release_claim_and_refuse(dispatch_run& run, wire::refusal_reason reason,
                                  const std::string& message);
    void release_slot(const dispatch_run& run, slot_outcome outcome);
    void abandon(dispatch_run& run);
    void abandon_all(std::uint64_t entry_incarnation, const std::vector<std::uint64_t>& except);
    void erase_run(run_map::iterator it);

    void send_for_run(const dispatch_run& run, wire::frame frame);
    void send_to_entry(std::uint64_t entry_incarnation, wire::frame frame);
    void send_heartbeat(std::uint64_t entry_incarnation, const entry_session& session,
                        const std::vector<wire::organisation_usage>& usage);
    [[nodiscard]] wire::load_report load_report_for(std::uint64_t entry_incarnation) const;
    dispatch_run* find_run(std::uint64_t number);
    dispatch_run* find_run(const dispatch_key& key);
    void defer(std::function<void()> fn) { this->actions_.add(std::move(fn)); }

    const clock_source& clock_;
    const agent_server_options options_;
    const agent_server_ports ports_;
    upstream_service& upstream_;
    claim_service& claims_;
    serial_actions actions_;

    mutable std::mutex mutex_;
    policy::session_fence fence_;
    agent_admission admission_;
    usage_meter usage_;
    std::unordered_map<std::uint64_t, entry_session> entries_; ///< by incarnation
    /// Incarnations of the entries by connection.
    std::unordered_map<transport::connection_id, std::uint64_t> connections_;
    run_map runs_; ///< by run number
    std::map<dispatch_key, std::uint64_t> run_numbers_;
    std::uint64_t next_run_number_ = 1;
    std::size_t replay_bytes_ = 0; ///< sum of chunk_bytes of all runs
    bool leaving_ = false;
    bool upstream_up_ = true;
    duration smoothed_first_byte_latency_{};
    time_point last_ended_at_{};
    agent_server_counts counts_;
};

} // namespace medlaryoke::controllers
