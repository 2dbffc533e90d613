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
    std::uint64_t incarnation = 0;
    std::string instance;
    std::string data_centre;
    std::string serves; ///< name of the model group or service
    agent_admission_options admission;
    /// Work of an entry that was silent for this long is cancelled.
    duration entry_grace = std::chrono::seconds(5);
    /// How long the end of an answer is kept for an entry whose connection went silent.
    duration answer_retention = std::chrono::seconds(30);
    /// Chunks kept for a resume: of one answer, and of all.
    std::size_t max_replay_bytes = 1U << 20U;
    std::size_t max_total_replay_bytes = 32U << 20U;
};

/// What an agent_server needs of the rest of the agent. The functions must not call back into it.
struct agent_server_ports {
    /// Queues a frame for a connection, in order.
    std::function<void(const transport::connection_id&, wire::frame)> send;
    std::function<std::uint64_t()> config_offset;
    std::function<wire::config_records(std::uint64_t from_offset)> config_records_from;
    /// Called outside the lock.
    std::function<void(const wire::config_records&)> fold_config;
    /// Frames of other protocols, such as orders and map switches; called outside the lock.
    std::function<void(const transport::connection_id&, const wire::frame&)> on_other_frame;
};

/// Numbers for metrics and health.
struct agent_server_counts {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t resumed = 0;
    std::size_t entries = 0;
    std::size_t replay_bytes = 0;
    wire::load_report load;
};

/// The agent's side of the protocol with entries: fences sessions, admits dispatches, runs them,
/// relays the answers and reports load. One agent serves one upstream with at most a few hundred
/// requests at once, so that a single lock suffices. Thread safe.
class agent_server : public std::enable_shared_from_this<agent_server> {
public:
    /// @param clock source of the time
    /// @param options names, limits and times
    /// @param ports the connections and the configuration
    /// @param upstream runs the requests
    /// @param claims guards requests that must not run twice
    agent_server(const clock_source& clock, agent_server_options options, agent_server_ports ports,
                 upstream_service& upstream, claim_service& claims);

    /// @param connection where the frame came from
    /// @param frame a frame of an entry
    void on_frame(const transport::connection_id& connection, const wire::frame& frame);

    /// Drops late requests, cancels the work of silent entries and frees old answers; to be called
    /// several times a second.
    void tick();

    /// Sends a heartbeat to each entry; to be called every heartbeat_interval.
    void send_heartbeats();

    /// Announces that the upstream leaves, or no longer does. A leaving agent takes no new work;
    /// what it admitted runs to its end.
    /// @param leaving whether it leaves
    void set_leaving(bool leaving);

    /// Entries send no work to an upstream that is down, so that only a probe can bring it back.
    /// @param up whether a probe reached the upstream
    void set_upstream_up(bool up);

    /// @param priorities rules of the current configuration
    void set_priorities(const std::vector<policy::priority_rule>& priorities);

    /// Whether a leaving agent may exit: nothing runs or waits, and entries had the time to ask
    /// again for the end of an answer.
    /// @return true if nothing would be cut off
    [[nodiscard]] bool drained() const;

    /// @return current numbers
    [[nodiscard]] agent_server_counts counts() const;

private:
    using dispatch_key = std::pair<std::uint64_t, std::uint64_t>; ///< entry incarnation, id

    enum class run_state { queued, claiming, running, ended };

    struct run {
        std::uint64_t number = 0;
        dispatch_key key;
        wire::dispatch request;
        run_state state = run_state::queued;
        time_point deadline{};
        time_point started{};
        time_point ended{};
        std::optional<duration> latency; ///< to the first byte of the answer
        bool paused = false;    ///< the entry reconnected and has not asked for the rest yet
        bool abandoned = false; ///< the entry wants no answer any more
        std::shared_ptr<upstream_call> call;
        std::optional<claim_ticket> ticket;
        std::deque<wire::chunk> chunks; ///< the latest ones, for a resume
        std::size_t chunk_bytes = 0;
        std::uint32_t next_chunk = 0;
        stream_digest digest;
        completed_answer answer; ///< for the completion, if there is a ticket
        std::optional<wire::frame> end;
    };
    using run_map = std::map<std::uint64_t, run>;

    struct entry_peer {
        transport::connection_id connection;
        std::uint32_t session = 0;
        std::string instance;
        time_point heard{};
        std::uint64_t received_dispatches = 0;
        std::uint64_t config_offset = 0;
        std::optional<time_point> config_requested;
        std::optional<time_point> config_sent;
    };

    void handle(const transport::connection_id& connection, const wire::frame& frame);
    void handle_of_session(std::uint64_t entry, const transport::connection_id& connection,
                           const wire::frame& frame);
    void on_hello(const transport::connection_id& connection, const wire::hello& hello);
    wire::dispatch_report report_of(std::uint64_t entry, std::uint64_t dispatch_id);
    void on_dispatch(std::uint64_t entry, const wire::dispatch& dispatch);
    std::optional<std::pair<wire::refusal_reason, std::string>>
    reason_to_refuse(const wire::dispatch& dispatch) const;
    void on_resume(std::uint64_t entry, const wire::resume& resume);
    void on_heartbeat(std::uint64_t entry, const wire::heartbeat& heartbeat);
    void compare_offsets(std::uint64_t entry, std::uint64_t config_offset, bool may_send);

    void start(run& target);
    void start_waiting();
    void on_claim(std::uint64_t number, const claim_answer& answer);
    void run_at_upstream(run& target);
    void on_upstream_head(std::uint64_t number, const transport::http_head& head);
    void begin_answer(run& target, const transport::http_head& head);
    void on_upstream_data(std::uint64_t number, std::string data);
    void on_upstream_end(std::uint64_t number);
    void on_upstream_failure(std::uint64_t number, bool maybe_run, const std::string& message);
    void answer_from_memory(run& target, const wire::completion& completion);

    void add_chunk(run& target, wire::chunk chunk);
    void trim_replay(run& target);
    void finish(run& target, bool from_memory);
    void refuse(run& target, wire::refusal_reason reason, const std::string& message);
    void fail(run& target, const std::string& message, bool in_progress = false);
    void end_run(run& target, wire::frame frame);
    void give_back(run& target, wire::refusal_reason reason, const std::string& message);
    void release_slot(const run& target, slot_outcome outcome);
    void abandon(run& target);
    void abandon_all(std::uint64_t entry, const std::vector<std::uint64_t>& except);
    void forget(run_map::iterator it);

    void send_to_entry(const run& target, wire::frame frame);
    void send(std::uint64_t entry, wire::frame frame);
    void send_heartbeat(std::uint64_t entry, const entry_peer& peer,
                        const std::vector<wire::organisation_usage>& usage);
    [[nodiscard]] wire::load_report load_for(std::uint64_t entry) const;
    run* find(std::uint64_t number);
    run* find(const dispatch_key& key);
    void later(std::function<void()> fn) { this->actions_.add(std::move(fn)); }

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
    std::unordered_map<std::uint64_t, entry_peer> entries_;
    std::unordered_map<transport::connection_id, std::uint64_t> connections_;
    run_map runs_;
    std::map<dispatch_key, std::uint64_t> run_of_;
    std::uint64_t next_run_ = 1;
    std::size_t replay_bytes_ = 0;
    bool leaving_ = false;
    bool upstream_up_ = true;
    duration first_byte_latency_{};
    time_point last_end_{};
    agent_server_counts counts_;
};

} // namespace medlaryoke::controllers
