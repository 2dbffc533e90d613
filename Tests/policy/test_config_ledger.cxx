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

/// Reference implementation that shares no code with the ledger. It knows only priorities and the
/// caller "c".
struct reference_ledger {
    struct resource_state {
        std::uint64_t version = 0;
        std::string author;
        unsigned order = 0;
        double floor = 0;
        std::string priority;
    };

    std::map<resource_key, resource_state> resources;
    std::map<std::string, bool> operations; ///< operation id to whether the change was accepted

    void apply_record(std::uint64_t offset, const config_record& record)
    {
        if (const auto* cancel = std::get_if<change_cancel>(&record)) {
            this->operations.emplace(cancel->operation_id, false);
        }
        const auto* change = std::get_if<config_change>(&record);
        if (change == nullptr || this->operations.contains(change->operation_id)) {
            return;
        }
        auto next = this->resources;
        bool accepted = true;
        std::set<resource_key> seen;
        for (const auto& item : change->items) {
            const auto it = this->resources.find(item.key);
            const auto version = it == this->resources.end() ? 0 : it->second.version;
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
            this->resources = next;
        }
    }

    static resource_state parse(const change_item& item, std::uint64_t offset,
                                const std::string& author)
    {
        resource_state result{
            .version = offset, .author = author, .order = 0, .floor = 0, .priority = ""};
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

    static bool is_consistent(const std::map<resource_key, resource_state>& resources)
    {
        std::set<unsigned> orders;
        double floors = 0;
        for (const auto& [key, it] : resources) {
            if (key.first == "caller" && !resources.contains({"priority", it.priority})) {
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

/// Generates random records: changes whose expected version is often stale, repeats, cancellations,
/// snapshot chunks and damaged records.
class record_generator {
public:
    explicit record_generator(unsigned seed) : random_(seed) {}

    std::string next(const reference_ledger& state, const std::vector<std::string>& earlier)
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
            return encode_record(change_cancel{this->random_operation_id()});
        }
        if (kind == 5) {
            return encode_record(snapshot_chunk{"s", 1, 0, 2, "text"});
        }
        config_change change{
            this->random_operation_id(), this->random_() % 2 == 0 ? "anna" : "juma", {}};
        for (auto n = 1 + this->random_() % 2; n > 0; --n) {
            change.items.push_back(this->random_item(state));
        }
        return encode_record(change);
    }

private:
    std::string random_operation_id() { return fmt::format("op-{}", this->random_() % 400); }

    change_item random_item(const reference_ledger& state)
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
        const auto it = state.resources.find(item.key);
        item.expected_version = it == state.resources.end() ? 0 : it->second.version;
        if (this->random_() % 5 == 0) {
            item.expected_version = this->random_() % 20;
        }
        return item;
    }

    std::mt19937 random_;
};

bool states_match(const config_ledger& ledger, const reference_ledger& reference)
{
    if (ledger.entries().size() != reference.resources.size()) {
        return false;
    }
    for (const auto& [key, entry] : ledger.entries()) {
        const auto it = reference.resources.find(key);
        if (it == reference.resources.end() || it->second.version != entry->version ||
            it->second.author != entry->author) {
            return false;
        }
        const auto* priority = std::get_if<model::priority_spec>(&entry->value.spec);
        if (priority != nullptr &&
            (priority->order != it->second.order || priority->floor != it->second.floor)) {
            return false;
        }
    }
    for (const auto& [id, accepted] : reference.operations) {
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

// Guards against readers with different states. For streams with concurrent operators, repeated
// operation ids, cancellations and damaged records, the ledger must agree with the reference, and a
// reader that starts from a snapshot must agree with one that read all records.
Test(config_ledger, agrees_with_the_reference_implementation)
{
    unsigned accepted = 0;
    for (unsigned seed = 0; seed < 150; ++seed) {
        record_generator generator(seed);
        reference_ledger reference;
        config_ledger ledger;
        std::optional<config_ledger> snapshot_reader;
        std::vector<std::string> records;
        const auto snapshot_offset = 20 + seed % 60;
        for (std::uint64_t offset = 1; offset <= 120; ++offset) {
            records.push_back(generator.next(reference, records));
            const auto record = decode_record(records.back());
            reference.apply_record(offset, record);
            accepted += ledger.apply_record(offset, record) ? 1 : 0;
            cr_assert(states_match(ledger, reference), "seed %u, record %lu: %s", seed, offset,
                      records.back().c_str());
            if (snapshot_reader) {
                snapshot_reader->apply_record(offset, record);
            }
            if (offset == snapshot_offset) {
                snapshot_reader = config_ledger::from_snapshot(ledger.to_snapshot());
            }
        }
        cr_assert(snapshot_reader->to_snapshot() == ledger.to_snapshot(), "seed %u", seed);
    }
    cr_assert(accepted > 2000, "only %u changes were accepted", accepted);
}

// Guards against a conflict that does not report the version and author of the winning change, also
// if that change was a deletion.
Test(config_ledger, conflict_names_the_winning_change)
{
    config_ledger ledger;
    ledger.apply_record(1, make_change("a", "anna", 0, priority_spec_text(0, 0.5)));
    ledger.apply_record(2, make_change("b", "juma", 0, priority_spec_text(1, 0.5)));
    cr_assert(*ledger.outcome_of("b") ==
              change_outcome(change_conflict{{"priority", "urgent"}, 0, 1, "anna"}));
    ledger.apply_record(3, make_change("c", "juma", 1, ""));
    ledger.apply_record(4, make_change("d", "anna", 1, priority_spec_text(1, 0.5)));
    cr_assert(*ledger.outcome_of("d") ==
              change_outcome(change_conflict{{"priority", "urgent"}, 1, 3, "juma"}));
}

// Guards against a repeated append that restores a deleted resource.
Test(config_ledger, repeated_operation_is_ignored_after_deletion)
{
    config_ledger ledger;
    const auto change = make_change("a", "anna", 0, priority_spec_text(0, 0.5));
    ledger.apply_record(1, change);
    ledger.apply_record(2, make_change("b", "juma", 1, ""));
    cr_assert(!ledger.apply_record(3, change));
    cr_assert(ledger.entries().empty());
    cr_assert(*ledger.outcome_of("a") == change_outcome(change_accepted{1}));
}

// Guards against memory use that grows with the stream, and against snapshots that lose JSON keys
// written by a newer release.
Test(config_ledger, state_is_bounded_and_keeps_unknown_keys)
{
    config_ledger ledger;
    std::uint64_t version = 0;
    for (std::uint64_t offset = 1; offset <= 3000; ++offset) {
        ledger.apply_record(offset, make_change(fmt::format("op-{}", offset), "anna", version,
                                                priority_spec_text(0, 0.5)));
        version = offset;
    }
    cr_assert(ledger.outcome_of("op-1") == nullptr);
    cr_assert(ledger.outcome_of("op-3000") != nullptr);
    const auto snapshot = ledger.to_snapshot();
    cr_assert(snapshot.size() < 200'000);
    cr_assert(snapshot.find("later_key") != std::string::npos);
}

// Guards against damaged records and snapshots that terminate the process.
Test(config_ledger, tolerates_random_mutations)
{
    std::mt19937 random(20261204);
    config_ledger initial;
    initial.apply_record(1, make_change("a", "anna", 0, priority_spec_text(0, 0.5)));
    const std::vector<std::string> samples{
        encode_record(make_change("b", "juma", 1, priority_spec_text(1, 0.25))),
        encode_record(snapshot_chunk{"s", 1, 0, 2, "text"}), initial.to_snapshot()};
    unsigned damaged = 0;
    for (int round = 0; round < 20000; ++round) {
        auto text = samples[random() % samples.size()];
        for (auto n = random() % 4; n > 0; --n) {
            static constexpr std::string_view alphabet = "{}[]\":,0-a\xff\x01";
            text[random() % text.size()] = alphabet[random() % alphabet.size()];
        }
        auto ledger = initial;
        const auto record = decode_record(text);
        damaged += std::holds_alternative<damaged_record>(record) ? 1 : 0;
        ledger.apply_record(2, record);
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
