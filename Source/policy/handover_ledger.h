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

/// Which system is responsible for a piece of work.
enum class work_owner { old_router, new_router };

enum class handover_action {
    offer,     ///< the old router hands the work over
    withdraw,  ///< the old router takes back work that was not started
    start,     ///< an entry is about to run the work
    give_back, ///< the new router hands the work back; `return` in records and paths
    complete,  ///< the owner reports the result
    cancel,    ///< voids an operation whose append was not answered
};

/// @param action an action
/// @return its name in records and paths
std::string_view to_string(handover_action action);

/// @param name a name in a record or a path
/// @return the action
std::optional<handover_action> parse_handover_action(std::string_view name);

/// One record of the stream `handover`.
struct handover_record {
    std::string operation_id;
    std::string work_id;
    handover_action action = handover_action::offer;
    work_owner by = work_owner::old_router;
    std::string content;              ///< JSON: the payload of an offer, the result of a completion
    std::string runner;               ///< incarnation of the entry that starts or gives back
    std::uint64_t previous_start = 0; ///< start that is taken over; 0: the first start
};

/// @param record the record
/// @return the bytes to append; JSON
std::string encode_record(const handover_record& record);

/// @param data the bytes; unknown keys are ignored
/// @return the record; empty if the bytes are damaged
std::optional<handover_record> decode_handover(std::string_view data);

enum class work_state {
    with_old,  ///< owned by the old router
    offered,   ///< owned by the new router, not started
    started,   ///< owned by the new router, may have run
    completed, ///< ended; the owner ran it
};

/// @param state a state
/// @return its name in replies
std::string_view to_string(work_state state);

/// One piece of work.
struct handover_work {
    work_owner owner = work_owner::old_router;
    work_state state = work_state::with_old;
    std::uint64_t version = 0; ///< offset of the record that set the state
    std::string content;       ///< payload, or the result when completed
    std::string runner;
    std::uint64_t started_at = 0; ///< offset of the valid start
    unsigned starts = 0;          ///< valid starts since the offer

    bool operator==(const handover_work&) const = default;
};

struct handover_accepted {
    std::uint64_t version = 0;
    work_owner owner = work_owner::old_router;
    work_state state = work_state::with_old;

    bool operator==(const handover_accepted&) const = default;
};

/// The action does not fit the state at its place in the stream.
struct handover_refused {
    work_owner owner = work_owner::old_router;
    work_state state = work_state::with_old;
    std::uint64_t version = 0; ///< offset of the record that came first; 0: work never seen

    bool operator==(const handover_refused&) const = default;
};

struct handover_cancelled {
    bool operator==(const handover_cancelled&) const = default;
};

using handover_outcome = std::variant<handover_accepted, handover_refused, handover_cancelled>;

/// Deterministic fold of the stream `handover`: the order of records decides who owns a piece of
/// work and whether it may be run. Work that has been started is never handed back, unless its
/// only runner says that it was not run.
class handover_ledger {
public:
    /// Operations, and work that is completed or back with the old router, remembered.
    static constexpr std::size_t remembered_operations = 65'536;
    static constexpr std::size_t remembered_work = 65'536;

    /// Folds one record; damaged records change nothing.
    /// @param offset must be greater than offset()
    /// @param record the record, as decoded
    void fold(std::uint64_t offset, const std::optional<handover_record>& record);

    /// @return last offset folded
    [[nodiscard]] std::uint64_t offset() const { return this->offset_; }

    /// Leaves out records that have expired.
    /// @param offset last expired record
    void skip_to(std::uint64_t offset);

    /// @param record a record
    /// @return its outcome if it were folded next
    [[nodiscard]] handover_outcome evaluate(const handover_record& record) const;

    /// @return the outcome of an operation; null if it is not known
    [[nodiscard]] const handover_outcome* outcome_of(const std::string& operation_id) const;

    /// @return a piece of work; null if it is not known
    [[nodiscard]] const handover_work* find(const std::string& work_id) const;

    /// @return ids, in order, of the work that the new router owns and has not completed
    [[nodiscard]] std::vector<std::string> open_work() const;

private:
    [[nodiscard]] static std::optional<handover_work>
    apply(const handover_work& before, std::uint64_t offset, const handover_record& record);
    void forget_old_work(const std::string& work_id, std::uint64_t version);
    void remember(const std::string& operation_id, const handover_outcome& outcome);

    std::uint64_t offset_ = 0;
    std::map<std::string, handover_work> work_;
    std::deque<std::pair<std::string, std::uint64_t>> closed_order_; ///< work and version
    std::map<std::string, handover_outcome> operations_;
    std::deque<std::string> operation_order_;
};

} // namespace medlaryoke::policy
