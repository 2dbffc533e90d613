#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "controllers/claim_service.h"
#include "controllers/log_history.h"
#include "controllers/serial_actions.h"
#include "policy/claim_ledger.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

struct claim_controller_options {
    unsigned partitions = 16; ///< number of log streams for claims, the same at all agents
    std::chrono::milliseconds retention = std::chrono::hours(24); ///< time that claims are kept
    /// Minimum interval between two appends of this agent to any partition.
    duration batch_interval = std::chrono::milliseconds(20);
    /// Time after a failed append before completions and releases are appended again.
    duration retry_interval = std::chrono::milliseconds(500);
    std::uint64_t agent_incarnation = 0;
};

/// Functions that a claim_controller needs besides the log.
struct claim_controller_ports {
    std::function<void(duration, std::function<void()>)> after; ///< runs a function after a delay
    std::function<policy::unix_time()> unix_now;                ///< returns the wall-clock time
};

/// Claims idempotency keys in the streams `claims.<partition>` of the platform's log. A claim is
/// answered after its own record was read back from the log. If the log does not answer, the
/// request must not run, and the claim is released as soon as the log stores the release. Thread
/// safe.
class claim_controller final : public claim_service,
                               public std::enable_shared_from_this<claim_controller> {
public:
    /// @param clock source of the monotonic time
    /// @param log the platform's log
    /// @param options number of partitions, retention and intervals
    /// @param ports access to a timer and the wall clock
    claim_controller(const clock_source& clock, transport::log_service& log,
                     claim_controller_options options, claim_controller_ports ports);

    /// Reads the claims that are already in the log, so that repeated requests can be answered
    /// without a new claim.
    void start();

    void claim(const wire::dispatch& request,
               std::function<void(const claim_answer&)> done) override;
    void complete(const claim_ticket& ticket, completed_answer answer) override;
    void release(const claim_ticket& ticket, std::function<void()> done) override;
    [[nodiscard]] std::size_t pending() const override;

private:
    using claim_callback = std::function<void(const claim_answer&)>;

    /// A record that waits to be appended.
    struct pending_entry {
        wire::claim_entry entry;
        claim_ticket ticket;
        claim_callback on_claimed;          ///< set for a claim
        std::function<void()> on_attempted; ///< set for a release; called after the first append
    };

    /// A claim or completion that was appended and has not been read back.
    struct unread_entry {
        std::uint64_t offset = 0;
        claim_ticket ticket;
        claim_callback on_claimed; ///< empty for a completion
    };

    /// State of the stream `claims.<index>`.
    struct partition_state {
        explicit partition_state(std::chrono::milliseconds retention) : ledger(retention) {}

        std::string stream; ///< name of the stream
        policy::claim_ledger ledger;
        std::vector<pending_entry> pending;        ///< to be appended
        std::vector<pending_entry> being_appended; ///< in the append that has not been answered
        std::vector<unread_entry> unread;          ///< appended, not read back
        std::uint64_t next_read_offset = 1;        ///< offset from which the next read starts
        std::uint64_t last_appended_offset = 0;    ///< records up to this offset must be read back
        bool appending = false;
        bool reading = false;
        bool catching_up = false;      ///< the reads after start() have not reached the end
        time_point retry_not_before{}; ///< earliest retry if only completions and releases wait
    };

    /// A key whose claim or completion by this agent has not been read back.
    struct unconfirmed_key {
        claim_ticket ticket;
        std::optional<wire::completion> completion;
    };

    /// @param epoch of the log, as stated in one of its answers
    /// @return whether the log still has the history from which the claims are known
    bool is_known_history(std::uint64_t epoch);

    std::optional<claim_answer> answer_without_claim(const digest128& key,
                                                     std::uint64_t request_digest);
    std::size_t partition_of(const digest128& key) const;
    void enqueue(pending_entry entry);
    void enqueue_release(const claim_ticket& ticket, std::function<void()> on_attempted);
    void schedule_flush(duration delay);
    void flush();
    bool can_append(const partition_state& partition) const;
    void append(std::size_t index);
    void on_appended(std::size_t index, const transport::append_result& result);
    void on_stored(partition_state& partition, std::uint64_t offset);
    void on_not_stored(partition_state& partition, bool maybe_stored, const std::string& reason);
    void read(std::size_t index);
    void on_read(std::size_t index, const transport::read_result& result);
    void apply_record(partition_state& partition, const transport::stored_record& record);
    void answer_read_claims(partition_state& partition);
    claim_answer evaluate_claim(const partition_state& partition, const claim_ticket& ticket);
    /// Refuses the claims of an append that a restored log has acknowledged.
    void refuse_lost_claims(partition_state& partition);
    void fail_unread_claims(partition_state& partition, const std::string& reason);
    void post_answer(claim_callback done, claim_answer value);
    void erase_unconfirmed_key(const claim_ticket& ticket);

    const clock_source& clock_;
    transport::log_service& log_;
    const claim_controller_options options_;
    const claim_controller_ports ports_;
    serial_actions actions_;

    mutable std::mutex mutex_;
    std::vector<partition_state> partitions_;
    std::unordered_map<digest128, unconfirmed_key> unconfirmed_keys_;
    std::size_t next_partition_ = 0; ///< the first one that the next flush considers
    time_point last_append_at_{};
    bool flush_scheduled_ = false;
    log_history history_; ///< once it is lost, no claim is confirmed any more
};

} // namespace medlaryoke::controllers
