#include "policy/lease_ledger.h"

#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

wire::lease make_record(const std::string& holder, std::uint64_t previous)
{
    wire::lease record;
    record.set_name("group/pearl");
    record.set_holder(holder);
    record.set_ttl_ms(1000);
    record.set_previous_offset(previous);
    return record;
}

} // namespace

// Guards against two instances that write at the same time and both believe that they hold a lease.
Test(lease_ledger, first_record_in_log_order_wins)
{
    lease_ledger ledger;
    cr_assert(ledger.apply(5, make_record("a", 0), {}));
    cr_assert_not(ledger.apply(6, make_record("b", 0), {}));
    cr_assert(ledger.apply(7, make_record("a", 5), {}));
    cr_assert_not(ledger.apply(8, make_record("b", 5), {}));
    cr_assert(ledger.find("group/pearl").offset == 7);
}

// Guards against a takeover of a lease before its holder has stopped.
Test(lease_ledger, is_available_only_after_duration_and_margin)
{
    lease_ledger ledger;
    const time_point read_at{10s};
    ledger.apply(5, make_record("a", 0), read_at);
    cr_assert_not(ledger.is_available("group/pearl", read_at + 1199ms));
    cr_assert(ledger.is_available("group/pearl", read_at + 1200ms));
    cr_assert(ledger.is_available("group/other", read_at));
}

// Guards against different holders at readers that started at different offsets.
Test(lease_ledger, readers_of_a_truncated_log_agree_with_full_readers)
{
    std::mt19937 random(7);
    for (int round = 0; round < 2000; ++round) {
        lease_ledger full_reader;
        std::vector<wire::lease> records;
        for (std::uint64_t offset = 1; offset <= 30; ++offset) {
            const auto last = full_reader.find("group/pearl");
            // A writer that lost a race names the predecessor of the record that won.
            const bool lost_race = last.offset != 0 && random() % 3 == 0;
            records.push_back(make_record("x", lost_race ? last.previous_offset : last.offset));
            full_reader.apply(offset, records.back(), {});
        }
        lease_ledger late_reader;
        const auto start = 1 + random() % 20;
        for (auto offset = start; offset <= records.size(); ++offset) {
            late_reader.apply(offset, records[offset - 1], {});
        }
        const auto seen = late_reader.find("group/pearl");
        // A tentative state may still be replaced by a later record.
        cr_assert(seen.tentative || seen.offset == full_reader.find("group/pearl").offset,
                  "round %d, start %zu", round, static_cast<std::size_t>(start));
    }
}
