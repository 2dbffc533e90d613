#include "controllers/config_store.h"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "policy/config_ledger.h"

using namespace medlaryoke;
using controllers::config_store;

namespace {

wire::config_records make_records(std::uint64_t first, std::uint64_t last)
{
    wire::config_records records;
    records.set_from_offset(first);
    for (auto offset = first; offset <= last; ++offset) {
        auto* record = records.add_records();
        record->set_offset(offset);
        record->set_data(policy::encode_record(policy::config_change{
            fmt::format("op-{}", offset),
            "anna",
            {{{"model_group", fmt::format("g{}", offset)}, 0, R"({"model":"m"})"}}}));
    }
    return records;
}

} // namespace

// Guards against an offset that decreases or skips a record when old or incomplete updates arrive
// (P7).
Test(config_store, offset_never_decreases_and_skips_no_record)
{
    config_store store;
    config_store outdated;
    outdated.fold(make_records(1, 2));
    cr_assert(store.fold(make_records(1, 5)));
    cr_assert(!store.fold(make_records(2, 4)));
    cr_assert(!store.fold(make_records(8, 9)));
    wire::config_records old_snapshot;
    old_snapshot.set_snapshot(outdated.ledger().to_snapshot());
    old_snapshot.set_snapshot_offset(2);
    cr_assert(!store.fold(old_snapshot));
    old_snapshot.set_snapshot_offset(99);
    cr_assert(!store.fold(old_snapshot), "the offset inside the snapshot must be used");
    old_snapshot.set_snapshot("damaged");
    cr_assert(!store.fold(old_snapshot));
    cr_assert(store.view()->offset == 5 && store.view()->model_groups.size() == 5);
    cr_assert(store.fold(make_records(3, 7)), "records already folded must be skipped");
    cr_assert(store.view()->offset == 7 && store.view()->model_groups.size() == 7);
}

// Guards against a peer whose configuration differs after an update, both when the records that
// it is missing are still retained and when it gets a snapshot.
Test(config_store, peers_catch_up)
{
    config_store store;
    store.fold(make_records(1, 1500));
    for (const std::uint64_t peer_offset : {0, 10, 1400, 1500}) {
        config_store peer;
        peer.fold(make_records(1, peer_offset));
        const auto update = store.records_from(peer_offset + 1);
        cr_assert(update.snapshot().empty() == (peer_offset >= 1400));
        peer.fold(update);
        cr_assert(peer.view()->offset == 1500);
        cr_assert(peer.ledger().to_snapshot() == store.ledger().to_snapshot());
    }
}

// Guards against subscribers that get views out of offset order when several threads fold at the
// same time, and against a deadlock when a subscriber calls fold().
Test(config_store, subscribers_see_each_view_in_order)
{
    config_store store;
    std::vector<std::uint64_t> offsets;
    store.subscribe([&](const auto& view) {
        offsets.push_back(view->offset);
        if (view->offset == 400) {
            store.fold(make_records(401, 401));
        }
    });
    const auto fold_all = [&store] {
        for (std::uint64_t offset = 1; offset <= 400; ++offset) {
            store.fold(make_records(offset, offset));
        }
    };
    std::thread second_thread(fold_all);
    fold_all();
    second_thread.join();
    store.fold(make_records(401, 401));
    cr_assert(offsets.size() == 401);
    cr_assert(std::ranges::is_sorted(offsets));
}
