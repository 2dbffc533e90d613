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
#include "controllers/serial_actions.h"
#include "policy/claim_ledger.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

struct claim_controller_options {
    unsigned partitions = 16;
    std::chrono::milliseconds retention = std::chrono::hours(24);
    /// Shortest time between two appends of this agent, over all partitions.
    duration batch_interval = std::chrono::milliseconds(20);
    /// Pause before completions and releases that the log has not taken are appended again.
    duration retry_interval = std::chrono::milliseconds(500);
    std::uint64_t agent_incarnation = 0;
};

/// What a claim_controller needs besides the log.
struct claim_controller_ports {
    std::function<void(duration, std::function<void()>)> after; ///< runs a function later
    std::function<policy::unix_time()> unix_now;
};

/// Claims idempotency keys in the streams `claims.<partition>` of the platform's log. A claim is
/// answered after its own record was read back; if the log does not answer, nothing may run, and
/// the claim is released once the log takes the record. Thread safe.
class claim_controller final : public claim_service,
                               public std::enable_shared_from_this<claim_controller> {
public:
    /// @param clock source of the monotonic time
    /// @param log the platform's log
    /// @param options partitions and times
    /// @param ports timer and wall clock
    claim_controller(const clock_source& clock, transport::log_service& log,
                     claim_controller_options options, claim_controller_ports ports);

    /// Reads the claims that are already in the log, so that repeats are answered from memory.
    void start();

    void claim(const wire::dispatch& request,
               std::function<void(const claim_answer&)> done) override;
    void complete(const claim_ticket& ticket, completed_answer answer) override;
    void release(const claim_ticket& ticket, std::function<void()> done) override;
    [[nodiscard]] std::size_t pending() const override;

private:
    using claim_done = std::function<void(const claim_answer&)>;

    /// A record that waits to be appended.
    struct pending_entry {
        wire::claim_entry entry;
        claim_ticket ticket;
        claim_done claimed;              ///< of a claim
        std::function<void()> attempted; ///< of a release
    };

    /// A record that was appended and has not been read back.
    struct appended_entry {
        std::uint64_t offset = 0;
        claim_ticket ticket;
        claim_done claimed; ///< empty for a completion
    };

    struct partition {
        explicit partition(std::chrono::milliseconds retention) : ledger(retention) {}

        std::string stream;
        policy::claim_ledger ledger;
        std::vector<pending_entry> pending;
        std::vector<pending_entry> in_append;
        std::vector<appended_entry> appended;
        std::uint64_t next_read = 1;
        std::uint64_t read_target = 0;
        bool appending = false;
        bool reading = false;
        bool catching_up = false;
        time_point retry_at{};
    };

    /// A key whose claim or completion by this agent has not been read back.
    struct held_key {
        claim_ticket ticket;
        std::optional<wire::completion> completion;
    };

    std::optional<claim_answer> answer_without_claim(const digest128& key,
                                                     std::uint64_t request_digest);
    std::size_t partition_of(const digest128& key) const;
    void enqueue(pending_entry entry);
    void enqueue_release(const claim_ticket& ticket, std::function<void()> attempted);
    void schedule_flush(duration delay);
    void flush();
    bool can_append(const partition& target) const;
    void append(std::size_t index);
    void on_appended(std::size_t index, const transport::append_result& result);
    void on_stored(partition& target, std::uint64_t offset);
    void on_not_stored(partition& target, bool maybe_stored, const std::string& reason);
    void read(std::size_t index);
    void on_read(std::size_t index, const transport::read_result& result);
    void fold(partition& target, const transport::stored_record& record);
    void resolve(partition& target);
    claim_answer judge(const partition& target, const claim_ticket& ticket);
    void fail_appended(partition& target, const std::string& reason);
    void answer(claim_done done, claim_answer value);
    void drop_held(const claim_ticket& ticket);

    const clock_source& clock_;
    transport::log_service& log_;
    const claim_controller_options options_;
    const claim_controller_ports ports_;
    serial_actions actions_;

    mutable std::mutex mutex_;
    std::vector<partition> partitions_;
    std::unordered_map<digest128, held_key> held_;
    std::size_t next_partition_ = 0;
    time_point last_append_{};
    bool flush_scheduled_ = false;
};

} // namespace medlaryoke::controllers
