#include "policy/claim_ledger.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds retention = 1000ms;

digest128 make_key(std::uint64_t n)
{
    return {.high = n, .low = n};
}

/// Reference implementation: keeps all records and computes each answer by replaying them.
struct reference_ledger {
    std::vector<wire::claim_entry> records;

    struct active_claim {
        std::uint64_t operation = 0;
        std::uint64_t request = 0;
        std::uint64_t created = 0;
        bool completed = false;
    };

    [[nodiscard]] bool was_released(const std::string& key, std::uint64_t operation,
                                    std::size_t before) const
    {
        return std::any_of(this->records.begin(),
                           this->records.begin() + static_cast<std::ptrdiff_t>(before),
                           [&](const auto& it) {
                               return it.has_release() && it.release().key_digest() == key &&
                                      it.release().operation_id() == operation;
                           });
    }

    [[nodiscard]] std::vector<active_claim> active_claims(const std::string& key) const
    {
        std::vector<active_claim> result;
        const auto same = [](std::uint64_t op) {
            return [op](const active_claim& it) { return it.operation == op; };
        };
        for (std::size_t n = 0; n < this->records.size(); ++n) {
            const auto& it = this->records[n];
            if (it.has_claim() && it.claim().key_digest() == key) {
                const auto op = it.claim().operation_id();
                const auto created = it.claim().created_unix_ms();
                if (!result.empty() &&
                    result.front().created + std::uint64_t{retention.count()} < created) {
                    result.clear();
                }
                if (std::ranges::none_of(result, same(op)) && !this->was_released(key, op, n)) {
                    result.push_back({op, it.claim().request_digest(), created, false});
                }
            }
            else if (it.has_completion() && it.completion().key_digest() == key) {
                if (!result.empty() && result.front().operation == it.completion().operation_id()) {
                    result.front().completed = true;
                }
            }
            else if (it.has_release() && it.release().key_digest() == key) {
                const auto op = it.release().operation_id();
                std::erase_if(result, [&](const active_claim& c) {
                    return c.operation == op && !c.completed;
                });
            }
        }
        return result;
    }

    [[nodiscard]] claim_state claim_state_of(const std::string& key, std::uint64_t operation) const
    {
        const auto claims = this->active_claims(key);
        const auto found = std::ranges::find(claims, operation, &active_claim::operation);
        if (found == claims.end()) {
            return claim_state::unknown;
        }
        if (found == claims.begin()) {
            return claim_state::won;
        }
        if (found->request != claims.front().request) {
            return claim_state::conflict;
        }
        return claims.front().completed ? claim_state::completed : claim_state::in_progress;
    }
};

wire::claim_entry random_entry(std::mt19937& random, std::uint64_t created)
{
    wire::claim_entry entry;
    const auto operation = 1 + random() % 6;
    const auto key = key_digest_bytes(make_key(operation % 2));
    switch (random() % 4) {
    case 0:
        entry.mutable_release()->set_key_digest(key);
        entry.mutable_release()->set_operation_id(operation);
        break;
    case 1:
        entry.mutable_completion()->set_key_digest(key);
        entry.mutable_completion()->set_operation_id(operation);
        break;
    default:
        entry.mutable_claim()->set_key_digest(key);
        entry.mutable_claim()->set_operation_id(operation);
        entry.mutable_claim()->set_request_digest(operation == 6 ? 2 : 1);
        entry.mutable_claim()->set_created_unix_ms(created);
    }
    return entry;
}

} // namespace

// Guards against two winners of one key: readers that read in different batches, read records twice
// or erase keys at different times must all agree with a replay of the whole log (P4).
Test(claim_ledger, agrees_with_the_reference_implementation)
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        std::mt19937 random(seed);
        reference_ledger reference;
        claim_ledger immediate_reader(retention);
        claim_ledger lagging_reader(retention);
        std::uint64_t created = 1'000'000;
        std::vector<wire::claim_batch> log;
        for (std::uint64_t offset = 1; offset <= 25; ++offset) {
            wire::claim_batch batch;
            for (auto n = 1 + random() % 3; n > 0; --n) {
                created += random() % 200;
                *batch.add_entries() = random_entry(random, created);
                reference.records.push_back(batch.entries(batch.entries_size() - 1));
            }
            log.push_back(batch);
            const unix_time now{std::chrono::milliseconds(created)};
            cr_assert(immediate_reader.apply_record(offset, batch, now));
            cr_assert(!immediate_reader.apply_record(offset, batch, now),
                      "a record must be applied only once");
            immediate_reader.erase_expired_keys(now);
            if (random() % 5 == 0) {
                for (std::uint64_t it = 1; it <= offset; ++it) {
                    lagging_reader.apply_record(it, log[it - 1], now);
                }
            }
            for (std::uint64_t op = 1; op <= 6; ++op) {
                const auto expected =
                    reference.claim_state_of(key_digest_bytes(make_key(op % 2)), op);
                cr_assert(immediate_reader.claim_state_of(make_key(op % 2), op) == expected,
                          "seed %u, offset %lu, operation %lu", seed, offset, op);
                cr_assert(lagging_reader.offset() != offset ||
                          lagging_reader.claim_state_of(make_key(op % 2), op) == expected);
            }
        }
    }
}

// Guards against a repeated request that gets the answer of another request or an expired answer.
Test(claim_ledger, completion_is_for_the_same_request_within_the_retention)
{
    claim_ledger ledger(retention);
    wire::claim_batch batch;
    auto* claim = batch.add_entries()->mutable_claim();
    claim->set_key_digest(key_digest_bytes(make_key(1)));
    claim->set_operation_id(5);
    claim->set_request_digest(9);
    claim->set_created_unix_ms(2'000);
    auto* completion = batch.add_entries()->mutable_completion();
    completion->set_key_digest(key_digest_bytes(make_key(1)));
    completion->set_operation_id(5);
    completion->set_status(201);
    const unix_time now(2'500ms);
    ledger.apply_record(1, batch, now);
    cr_assert_not_null(ledger.completion(make_key(1), 9, now));
    cr_assert_null(ledger.completion(make_key(1), 8, now));
    cr_assert_null(ledger.completion(make_key(1), 9, now + retention));
    ledger.erase_expired_keys(now + retention + 3h);
    cr_assert_eq(ledger.size(), 0);
}

// Guards against a request that runs again because the claim of its key has expired.
Test(claim_ledger, keys_with_a_creation_time_expire_with_the_retention)
{
    const unix_time now(1'700'000'000'000ms);
    const auto check = [&](const std::string& key) { return check_key(key, now, retention); };
    cr_assert(check("order-17") == key_check_result::accepted);
    cr_assert(check("mk1-1699999999000-x") == key_check_result::accepted);
    cr_assert(check("mk1-1699999998999-x") == key_check_result::expired);
    cr_assert(check("mk1-1700000300001-x") == key_check_result::expired);
    cr_assert(check("mk1-9223372036854775807-x") == key_check_result::expired);
    for (const auto* const key :
         {"mk1-", "mk1-x", "mk1-12", "mk1-12-", "mk1--1-x", "mk1-99999999999999999999-x"}) {
        cr_assert(check(key) == key_check_result::malformed, "%s", key);
    }
}
