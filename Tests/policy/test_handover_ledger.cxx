#include "policy/handover_ledger.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace medlaryoke::policy;

namespace {

using action = handover_action;

constexpr auto old_router = work_owner::old_router;
constexpr auto new_router = work_owner::new_router;

handover_record make_record(const std::string& id, action what, work_owner by,
                            const std::string& runner = "", std::uint64_t previous_start = 0)
{
    return {id, "w", what, by, R"({"n":1})", runner, previous_start};
}

/// Reference implementation: decides about each record by searching all accepted records of the
/// same work item.
class reference_ledger {
public:
    bool apply_record(std::uint64_t offset, const handover_record& record)
    {
        if (!this->operation_ids_.insert(record.operation_id).second) {
            return false;
        }
        if (record.action == action::cancel || !this->is_allowed(record)) {
            return false;
        }
        this->accepted_[record.work_id].emplace_back(offset, record);
        return true;
    }

    /// @return whether the new router owns the work item and has not completed it
    [[nodiscard]] bool is_open(const std::string& work_id) const
    {
        const auto it = this->accepted_.find(work_id);
        return it != this->accepted_.end() && (it->second.back().second.action == action::offer ||
                                               it->second.back().second.action == action::start);
    }

private:
    [[nodiscard]] bool is_allowed(const handover_record& record) const
    {
        const auto it = this->accepted_.find(record.work_id);
        static const std::vector<std::pair<std::uint64_t, handover_record>> none;
        const auto& history = it == this->accepted_.end() ? none : it->second;
        const auto last_action = history.empty() ? action::withdraw : history.back().second.action;
        const bool with_old = last_action == action::withdraw || last_action == action::give_back;
        unsigned starts = 0;
        for (auto n = history.rbegin(); n != history.rend() && n->second.action == action::start;
             ++n) {
            ++starts;
        }
        const bool by_old = record.by == old_router;
        switch (record.action) {
        case action::offer:
            return with_old && by_old;
        case action::withdraw:
            return last_action == action::offer && by_old;
        case action::start:
            return !by_old && !record.runner.empty() &&
                   ((last_action == action::offer && record.previous_start == 0) ||
                    (last_action == action::start &&
                     record.previous_start == history.back().first));
        case action::give_back:
            return !by_old && (last_action == action::offer ||
                               (starts == 1 && history.back().second.runner == record.runner));
        case action::complete:
            return by_old ? with_old : last_action == action::start;
        case action::cancel:
            break;
        }
        return false;
    }

    std::set<std::string> operation_ids_;
    std::map<std::string, std::vector<std::pair<std::uint64_t, handover_record>>> accepted_;
};

bool is_accepted(const handover_ledger& ledger, const std::string& id)
{
    const auto* outcome = ledger.outcome_of(id);
    return outcome != nullptr && std::holds_alternative<handover_accepted>(*outcome);
}

} // namespace

// Guards against two owners of one work item: for random streams with repeated operations and
// damaged records, the ledger must agree with the reference.
Test(handover_ledger, agrees_with_the_reference_implementation)
{
    unsigned accepted_count = 0;
    for (unsigned seed = 0; seed < 300; ++seed) {
        std::mt19937 random(seed);
        handover_ledger ledger;
        reference_ledger reference;
        std::vector<std::string> records;
        std::map<std::string, std::uint64_t> starts;
        for (std::uint64_t offset = 1; offset <= 120; ++offset) {
            handover_record record;
            record.operation_id = fmt::format("op-{}", offset);
            record.work_id = fmt::format("w{}", random() % 3);
            record.action = static_cast<action>(random() % 6);
            record.by = random() % 3 == 0 ? new_router : old_router;
            if (record.action == action::start || record.action == action::give_back) {
                record.by = random() % 5 == 0 ? old_router : new_router;
                record.runner = fmt::format("e{}", random() % 2);
                record.previous_start = random() % 3 == 0 ? 0 : starts[record.work_id];
            }
            auto data = encode_record(record);
            if (random() % 8 == 0 && !records.empty()) {
                data = records[random() % records.size()];
            }
            if (random() % 12 == 0) {
                data = data.substr(random() % data.size());
            }
            records.push_back(data);
            const auto decoded = decode_handover(data);
            ledger.apply_record(offset, decoded);
            if (!decoded) {
                continue;
            }
            if (reference.apply_record(offset, *decoded)) {
                ++accepted_count;
                cr_assert(is_accepted(ledger, decoded->operation_id), "seed %u record %lu", seed,
                          offset);
                starts[decoded->work_id] = decoded->action == action::start ? offset : 0;
                cr_assert(ledger.find(decoded->work_id)->version == offset);
            }
            const auto* item = ledger.find(decoded->work_id);
            cr_assert(item == nullptr || item->version <= offset);
            std::set<std::string> open;
            for (const auto& id : ledger.open_work()) {
                open.insert(id);
            }
            for (const auto* id : {"w0", "w1", "w2"}) {
                cr_assert(open.contains(id) == reference.is_open(id), "seed %u record %lu", seed,
                          offset);
            }
        }
    }
    cr_assert(accepted_count > 1500, "only %u records were accepted", accepted_count);
}

// Guards against a work item that is withdrawn while it runs, or runs after it was withdrawn.
Test(handover_ledger, first_record_decides_between_start_and_withdrawal)
{
    handover_ledger first;
    first.apply_record(1, make_record("a", action::offer, old_router));
    first.apply_record(2, make_record("b", action::start, new_router, "e1"));
    first.apply_record(3, make_record("c", action::withdraw, old_router));
    cr_assert(*first.outcome_of("c") ==
              handover_outcome(handover_refused{new_router, work_state::started, 2}));
    handover_ledger second;
    second.apply_record(1, make_record("a", action::offer, old_router));
    second.apply_record(2, make_record("c", action::withdraw, old_router));
    second.apply_record(3, make_record("b", action::start, new_router, "e1"));
    cr_assert(*second.outcome_of("b") ==
              handover_outcome(handover_refused{old_router, work_state::with_old, 2}));
}

// Guards against a work item that is returned to the old router although a lost runner may have run
// it.
Test(handover_ledger, no_return_after_a_second_start)
{
    handover_ledger ledger;
    ledger.apply_record(1, make_record("a", action::offer, old_router));
    ledger.apply_record(2, make_record("b", action::start, new_router, "e1"));
    ledger.apply_record(3, make_record("c", action::start, new_router, "e2", 2));
    ledger.apply_record(4, make_record("d", action::give_back, new_router, "e2"));
    cr_assert(!is_accepted(ledger, "d"));
    ledger.apply_record(5, make_record("e", action::complete, new_router));
    cr_assert(is_accepted(ledger, "e"));
    ledger.apply_record(6, make_record("f", action::offer, old_router));
    cr_assert(!is_accepted(ledger, "f"), "completed work must not be offered again");
    ledger.apply_record(7, make_record("a", action::offer, old_router));
    cr_assert(is_accepted(ledger, "a"), "a repeat keeps the first outcome");
    cr_assert(ledger.find("w")->state == work_state::completed);
}

// Guards against damaged records that terminate the process.
Test(handover_ledger, tolerates_random_mutations)
{
    std::mt19937 random(20261204);
    const auto sample = encode_record(make_record("a", action::start, new_router, "e1", 7));
    handover_ledger ledger;
    for (std::uint64_t offset = 1; offset <= 20000; ++offset) {
        auto text = sample;
        for (auto n = 1 + random() % 3; n > 0; --n) {
            static constexpr std::string_view alphabet = "{}[]\":,0-a\xff\x01";
            text[random() % text.size()] = alphabet[random() % alphabet.size()];
        }
        ledger.apply_record(offset, decode_handover(text));
    }
    cr_assert(!decode_handover("{\"handover\":" + std::string(1'000'000, '[')));
}
