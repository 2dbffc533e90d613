#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace medlaryoke::policy {

/// The system that is responsible for a work item.
enum class work_owner { old_router, new_router };

/// An action on a work item.
enum class handover_action {
    offer,     ///< the old router transfers the work item to the new router
    withdraw,  ///< the old router takes back a work item that was not started
    start,     ///< an entry of the new router is about to run the work item
    give_back, ///< the new router returns the work item; called `return` in records and paths
    complete,  ///< the owner reports the result
    cancel,    ///< cancels an operation whose append was not answered
};

/// @param action an action
/// @return name of the action in records and paths
std::string_view to_string(handover_action action);

/// @param name a name in a record or a path
/// @return the action; empty if the name is unknown
std::optional<handover_action> parse_handover_action(std::string_view name);

/// One record of the stream `handover`.
struct handover_record {
    std::string operation_id;
    std::string work_id;
    handover_action action = handover_action::offer;
    work_owner by = work_owner::old_router; ///< the router that requests the action
    std::string content; ///< JSON: the payload of an offer, or the result of a completion
    std::string runner;  ///< incarnation of the entry that starts or returns the work item
    std::uint64_t previous_start = 0; ///< offset of the start that is taken over; 0: none
};

/// @param record the record
/// @return the record as JSON, to be appended to the stream
std::string encode_record(const handover_record& record);

/// @param data the bytes of the record; unknown JSON keys are ignored
/// @return the record; empty if the bytes cannot be parsed
std::optional<handover_record> decode_handover(std::string_view data);

/// State of a work item.
enum class work_state {
    with_old,  ///< owned by the old router
    offered,   ///< owned by the new router and not started
    started,   ///< owned by the new router, which may have run it
    completed, ///< the owner ran it and reported the result
};

/// @param state a state
/// @return name of the state in replies
std::string_view to_string(work_state state);

/// State of one work item after the records applied so far.
struct handover_work {
    work_owner owner = work_owner::old_router;
    work_state state = work_state::with_old;
    std::uint64_t version = 0;      ///< offset of the record that set the state
    std::string content;            ///< JSON: the payload, or the result once completed
    std::string runner;             ///< incarnation of the entry that started it last
    std::uint64_t start_offset = 0; ///< offset of the last accepted start; 0: not started
    unsigned starts = 0;            ///< number of accepted starts since the offer

    bool operator==(const handover_work&) const = default;
};

/// The action was applied. Contains the new state of the work item.
struct handover_accepted {
    std::uint64_t version = 0; ///< offset of the record
    work_owner owner = work_owner::old_router;
    work_state state = work_state::with_old;

    bool operator==(const handover_accepted&) const = default;
};

/// The action was rejected because the state of the work item does not allow it. Contains this
/// state.
struct handover_refused {
    work_owner owner = work_owner::old_router;
    work_state state = work_state::with_old;
    std::uint64_t version = 0; ///< offset of the record that set the state; 0: unknown work item

    bool operator==(const handover_refused&) const = default;
};

/// The operation was cancelled before its record was stored; it never takes effect.
struct handover_cancelled {
    bool operator==(const handover_cancelled&) const = default;
};

using handover_outcome = std::variant<handover_accepted, handover_refused, handover_cancelled>;

/// State of all work items, built by applying the records of the stream `handover` in order, which
/// is deterministic: the order of the records decides who owns a work item and whether it may be
/// run. A started work item is returned only if a single runner started it and this runner reports
/// that it was not run. Not thread safe.
class handover_ledger {
public:
    /// Number of operations whose outcomes are kept.
    static constexpr std::size_t max_remembered_operations = 65'536;
    /// Number of work items that are kept after they were completed or went back to the old router.
    static constexpr std::size_t max_remembered_closed_work = 65'536;

    /// Applies one record.
    /// @param offset offset of the record; must be greater than offset()
    /// @param record the decoded record; empty for a damaged record, which changes nothing
    /// @throws error of kind internal if the offset is not greater
    void apply_record(std::uint64_t offset, const std::optional<handover_record>& record);

    /// @return offset of the last record applied or skipped; 0 before the first
    [[nodiscard]] std::uint64_t offset() const { return this->offset_; }

    /// Skips records that have expired in the stream.
    /// @param offset offset of the last expired record
    void skip_to(std::uint64_t offset);

    /// @param record a record
    /// @return the outcome that it would have as the next record
    [[nodiscard]] handover_outcome evaluate(const handover_record& record) const;

    /// @return outcome of an operation; null if it was not applied yet or is no longer kept
    [[nodiscard]] const handover_outcome* outcome_of(const std::string& operation_id) const;

    /// @return state of a work item; null if it is unknown or no longer kept
    [[nodiscard]] const handover_work* find(const std::string& work_id) const;

    /// @return sorted ids of the work items that the new router owns and has not completed
    [[nodiscard]] std::vector<std::string> open_work() const;

private:
    /// @return state after the record; empty if the current state does not allow the action
    [[nodiscard]] static std::optional<handover_work>
    next_state(const handover_work& before, std::uint64_t offset, const handover_record& record);
    void remember_closed_work(const std::string& work_id, std::uint64_t version);
    void remember_outcome(const std::string& operation_id, const handover_outcome& outcome);

    std::uint64_t offset_ = 0;
    std::map<std::string, handover_work> work_;
    /// Id and version of work items that were completed or went back to the old router; oldest
    /// first.
    std::deque<std::pair<std::string, std::uint64_t>> closed_work_by_age_;
    std::map<std::string, handover_outcome> outcomes_by_operation_;
    std::deque<std::string> operation_ids_by_age_; ///< oldest first
};

} // namespace medlaryoke::policy
