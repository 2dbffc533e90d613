#include "policy/config_ledger.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "base/error.h"
#include "model/resource.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;

namespace {

std::string priority_spec_text(unsigned order, double floor)
{
    return fmt::format(R"({{"first_token_target":"1s","floor":{},"later_key":1,"order":{},)"
                       R"("token_interval_target":"9ms"}})",
                       floor, order);
}

std::string caller_spec_text(const std::string& priority)
{
    return fmt::format(R"({{"credential_sha256":"{}","organisation":"o","priorities":["{}"]}})",
                       std::string(64, 'a'), priority);
}

/// Folds a history the obvious way: one pass over the records that knows only priorities and the
/// caller "c", written without the ledger.
struct naive_fold {
    struct row {
        std::uint64_t version = 0;
        std::string author;
        unsigned order = 0;
        double floor = 0;
        std::string priority;
    };

    std::map<resource_key, row> rows;
    std::map<std::string, bool> operations; ///< whether accepted

    void fold(std::uint64_t offset, const config_record& record)
    {
        if (const auto* cancel = std::get_if<change_cancel>(&record)) {
            this->operations.emplace(cancel->operation_id, false);
        }
        const auto* change = std::get_if<config_change>(&record);
        if (change == nullptr || this->operations.contains(change->operation_id)) {
            return;
        }
        auto next = this->rows;
        bool accepted = true;
        std::set<resource_key> seen;
        for (const auto& item : change->items) {
            const auto it = this->rows.find(item.key);
            const auto version = it == this->rows.end() ? 0 : it->second.version;
            accepted = accepted && version == item.expected_version && seen.insert(item.key).second;
            if (item.spec.empty()) {
                next.erase(item.key);
            }
            else {
                next[item.key] = parse(item, offset, change->author);
            }
        }
        accepted = accepted && is_consistent(next);
        this->operations.emplace(change->operation_id, accepted);
        if (accepted) {
            this->rows = next;
        }
    }

    static row parse(const change_item& item, std::uint64_t offset, const std::string& author)
    {
        row result{.version = offset, .author = author, .order = 0, .floor = 0, .priority = ""};
        const auto value_of = [&item](const std::string& key) {
            return item.spec.substr(item.spec.find(key) + key.size());
        };
        if (item.key.first == "priority") {
            result.order = static_cast<unsigned>(std::stoul(value_of("\"order\":")));
            result.floor = std::stod(value_of("\"floor\":"));
        }
        else {
            const auto rest = value_of("[\"");
            result.priority = rest.substr(0, rest.find('"'));
        }
        return result;
    }

    static bool is_consistent(const std::map<resource_key, row>& rows)
    {
        std::set<unsigned> orders;
        double floors = 0;
        for (const auto& [key, it] : rows) {
            if (key.first == "caller" && !rows.contains({"priority", it.priority})) {
                return false;
            }
            if (key.first == "priority") {
                floors += it.floor;
                if (!orders.insert(it.order).second || floors >= 1 || it.order > 15) {
                    return false;
                }
            }
        }
        return true;
    }
};

/// Writes random changes of operators that often hold an old version.
class history {
public:
    explicit history(unsigned seed) : random_(seed) {}

    std::string next(const naive_fold& state, const std::vector<std::string>& earlier)
    {
        const auto kind = this->random_() % 16;
        if (kind == 0) {
            return "{\"config_change\":{\"operation_id\":7}}";
        }
        if (kind == 1 && !earlier.empty()) {
            return earlier[this->random_() % earlier.size()].substr(this->random_() % 3);
        }
        if (kind <= 3 && !earlier.empty()) {
            return earlier[this->random_() % earlier.size()];
        }
        if (kind == 4) {
            return encode_record(change_cancel{this->make_id()});
        }
        if (kind == 5) {
            return encode_record(snapshot_chunk{"s", 1, 0, 2, "text"});
        }
        config_change change{this->make_id(), this->random_() % 2 == 0 ? "anna" : "juma", {}};
        for (auto n = 1 + this->random_() % 2; n > 0; --n) {
            change.items.push_back(this->make_item(state));
        }
        return encode_record(change);
    }

private:
    std::string make_id() { return fmt::format("op-{}", this->random_() % 400); }

    change_item make_item(const naive_fold& state)
    {
        change_item item;
        item.key = {"priority", fmt::format("p{}", this->random_() % 4)};
        item.spec = priority_spec_text(this->random_() % 6,
                                       0.125 * static_cast<double>(this->random_() % 5));
        if (this->random_() % 5 == 0) {
            item.key = {"caller", "c"};
            item.spec = caller_spec_text(fmt::format("p{}", this->random_() % 4));
        }
        if (this->random_() % 4 == 0) {
            item.spec.clear();
        }
        const auto it = state.rows.find(item.key);
        item.expected_version = it == state.rows.end() ? 0 : it->second.version;
        if (this->random_() % 5 == 0) {
            item.expected_version = this->random_() % 20;
        }
        return item;
    }

    std::mt19937 random_;
};

bool same(const config_ledger& ledger, const naive_fold& naive)
{
    if (ledger.entries().size() != naive.rows.size()) {
        return false;
    }
    for (const auto& [key, entry] : ledger.entries()) {
        const auto it = naive.rows.find(key);
        if (it == naive.rows.end() || it->second.version != entry->version ||
            it->second.author != entry->author) {
            return false;
        }
        const auto* priority = std::get_if<model::priority_spec>(&entry->value.spec);
        if (priority != nullptr &&
            (priority->order != it->second.order || priority->floor != it->second.floor)) {
            return false;
        }
    }
    for (const auto& [id, accepted] : naive.operations) {
        const auto* outcome = ledger.outcome_of(id);
        if (outcome == nullptr || std::holds_alternative<change_accepted>(*outcome) != accepted) {
            return false;
        }
    }
    return true;
}

config_change make_change(const std::string& id, const std::string& author,
                          std::uint64_t expected_version, const std::string& spec)
{
    return {id, author, {{{"priority", "urgent"}, expected_version, spec}}};
}

} // namespace

// Guards against readers that disagree: over histories with racing operators, repeated operation
// ids, cancellations and damaged records, the ledger equals the naive fold, and a reader that
// starts from a snapshot at any point equals one that read everything.
Test(config_ledger, equals_naive_fold)
{
    unsigned accepted = 0;
    for (unsigned seed = 0; seed < 150; ++seed) {
        history source(seed);
        naive_fold naive;
        config_ledger ledger;
        std::optional<config_ledger> late;
        std::vector<std::string> records;
        const auto join = 20 + seed % 60;
        for (std::uint64_t offset = 1; offset <= 120; ++offset) {
            records.push_back(source.next(naive, records));
            const auto record = decode_record(records.back());
            naive.fold(offset, record);
            accepted += ledger.fold(offset, record) ? 1 : 0;
            cr_assert(same(ledger, naive), "seed %u, record %lu: %s", seed, offset,
                      records.back().c_str());
            if (late) {
                late->fold(offset, record);
            }
            if (offset == join) {
                late = config_ledger::from_snapshot(ledger.to_snapshot());
            }
        }
        cr_assert(late->to_snapshot() == ledger.to_snapshot(), "seed %u", seed);
    }
    cr_assert(accepted > 2000, "only %u changes were accepted", accepted);
}

// Guards against a loser of a race that is not told who won, also after a deletion.
Test(config_ledger, conflict_names_the_winner)
{
    config_ledger ledger;
    ledger.fold(1, make_change("a", "anna", 0, priority_spec_text(0, 0.5)));
    ledger.fold(2, make_change("b", "juma", 0, priority_spec_text(1, 0.5)));
    cr_assert(*ledger.outcome_of("b") ==
              change_outcome(change_conflict{{"priority", "urgent"}, 0, 1, "anna"}));
    ledger.fold(3, make_change("c", "juma", 1, ""));
    ledger.fold(4, make_change("d", "anna", 1, priority_spec_text(1, 0.5)));
    cr_assert(*ledger.outcome_of("d") ==
              change_outcome(change_conflict{{"priority", "urgent"}, 1, 3, "juma"}));
}

// Guards against a repeated append that brings a deleted resource back.
Test(config_ledger, repeated_operation_is_ignored_after_deletion)
{
    config_ledger ledger;
    const auto change = make_change("a", "anna", 0, priority_spec_text(0, 0.5));
    ledger.fold(1, change);
    ledger.fold(2, make_change("b", "juma", 1, ""));
    cr_assert(!ledger.fold(3, change));
    cr_assert(ledger.entries().empty());
    cr_assert(*ledger.outcome_of("a") == change_outcome(change_accepted{1}));
}

// Guards against memory that grows with the stream, and against snapshots that drop keys which a
// newer release has written.
Test(config_ledger, state_is_bounded_and_keeps_unknown_keys)
{
    config_ledger ledger;
    std::uint64_t version = 0;
    for (std::uint64_t offset = 1; offset <= 3000; ++offset) {
        ledger.fold(offset, make_change(fmt::format("op-{}", offset), "anna", version,
                                        priority_spec_text(0, 0.5)));
        version = offset;
    }
    cr_assert(ledger.outcome_of("op-1") == nullptr);
    cr_assert(ledger.outcome_of("op-3000") != nullptr);
    const auto snapshot = ledger.to_snapshot();
    cr_assert(snapshot.size() < 200'000);
    cr_assert(snapshot.find("later_key") != std::string::npos);
}

// Guards against damaged records and snapshots ending the process.
Test(config_ledger, survives_random_mutations)
{
    std::mt19937 random(20261204);
    config_ledger source;
    source.fold(1, make_change("a", "anna", 0, priority_spec_text(0, 0.5)));
    const std::vector<std::string> samples{
        encode_record(make_change("b", "juma", 1, priority_spec_text(1, 0.25))),
        encode_record(snapshot_chunk{"s", 1, 0, 2, "text"}), source.to_snapshot()};
    unsigned damaged = 0;
    for (int round = 0; round < 20000; ++round) {
        auto text = samples[random() % samples.size()];
        for (auto n = random() % 4; n > 0; --n) {
            static constexpr std::string_view alphabet = "{}[]\":,0-a\xff\x01";
            text[random() % text.size()] = alphabet[random() % alphabet.size()];
        }
        auto ledger = source;
        const auto record = decode_record(text);
        damaged += std::holds_alternative<damaged_record>(record) ? 1 : 0;
        ledger.fold(2, record);
        cr_assert(ledger.offset() == 2);
        try {
            config_ledger::from_snapshot(text);
        }
        catch (const error& e) {
            cr_assert(e.kind() == error_kind::invalid_argument);
        }
    }
    cr_assert(damaged > 1000);
    const auto deep = "{\"config_change\":" + std::string(1'000'000, '[');
    cr_assert(std::holds_alternative<damaged_record>(decode_record(deep)));
}
