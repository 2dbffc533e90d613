#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "controllers/config_exchange.h"
#include "controllers/config_feed.h"
#include "controllers/config_store.h"
#include "controllers/config_writer.h"
#include "controllers/snapshot_writer.h"
#include "fakes/fake_log.h"
#include "fakes/hand_driven_time.h"
#include "policy/config_ledger.h"

using namespace std::chrono_literals;
using namespace medlaryoke;
using controllers::write_result;
using fakes::append_fate;

namespace {

/// The configuration of one entry.
struct site {
    explicit site(fakes::hand_driven_time& time, fakes::fake_log& log)
        : feed(log, store, time.timer()), writer(log, store, time.clock, time.timer())
    {
        store.subscribe([this](const auto& view) {
            cr_assert(view->offset > this->highest, "the offset went back");
            this->highest = view->offset;
        });
    }

    void submit(const std::string& id, const std::string& author, std::uint64_t expected_version)
    {
        this->result.reset();
        this->writer.submit({id,
                             author,
                             {{{"model_group", "g"},
                               expected_version,
                               fmt::format(R"({{"model":"{}"}})", author)}}},
                            [this](write_result it) {
                                cr_assert(!this->result, "answered twice");
                                this->result = std::move(it);
                            });
    }

    template <typename Result>
    const Result& expect()
    {
        cr_assert(this->result && std::holds_alternative<Result>(*this->result));
        return std::get<Result>(*this->result);
    }

    [[nodiscard]] std::uint64_t offset() const { return this->store.view()->offset; }

    std::uint64_t highest = 0;
    controllers::config_store store;
    controllers::config_feed feed;
    controllers::config_writer writer;
    std::optional<write_result> result;
};

void store_changes(fakes::fake_log& log, unsigned count)
{
    for (unsigned n = 0; n < count; ++n) {
        const auto name = fmt::format("g{}", log.records().size());
        log.store(policy::encode_record(policy::config_change{
            "op-" + name, "Zoë", {{{"model_group", name}, 0, R"({"model":"m"})"}}}));
    }
}

void send_update(const site& from, site& to)
{
    const auto frame = controllers::make_config_update(from.store, to.offset());
    if (frame) {
        controllers::answer_config_frame(to.store, *frame);
    }
}

} // namespace

// Guards against a lost answer that leads to no change, two changes or a wrong answer.
Test(config_log, lost_answer_gives_one_change_and_a_right_answer)
{
    struct expectation {
        append_fate fate;
        duration late_by;
        bool accepted;
    };
    const std::vector<expectation> cases{{append_fate::answered, 0s, true},
                                         {append_fate::stored_unanswered, 0s, true},
                                         {append_fate::stored_late, 500ms, true},
                                         {append_fate::stored_late, 5s, false},
                                         {append_fate::dropped_unanswered, 0s, false}};
    for (const auto& it : cases) {
        fakes::hand_driven_time time;
        fakes::fake_log log(time);
        site writing(time, log);
        site reading(time, log);
        reading.feed.start();
        log.fates = {it.fate};
        log.late_by = it.late_by;
        writing.submit("op-1", "anna", 0);
        time.run_for(20s);
        if (it.accepted) {
            cr_assert(writing.expect<policy::change_accepted>().version == 1);
            cr_assert(log.records().size() == 1);
        }
        else {
            writing.expect<controllers::write_refused>();
        }
        cr_assert(reading.store.view()->model_groups.size() == (it.accepted ? 1 : 0));
        // A repeat of the operation gets the same answer and changes nothing.
        const auto appends = log.appends;
        writing.submit("op-1", "anna", 0);
        time.run_for(20s);
        cr_assert(std::holds_alternative<policy::change_accepted>(*writing.result) == it.accepted);
        cr_assert(log.appends == appends);
    }
}

// Guards against a lost cancellation, and against an answer while nothing is known.
Test(config_log, unsettled_answers_are_reported_as_unknown)
{
    fakes::hand_driven_time time;
    fakes::fake_log log(time);
    site entry(time, log);
    log.fates = {append_fate::dropped_unanswered, append_fate::dropped_unanswered,
                 append_fate::dropped_unanswered};
    entry.submit("op-1", "anna", 0);
    time.run_for(20s);
    entry.expect<controllers::write_refused>();
    log.fates = {append_fate::stored_unanswered};
    entry.submit("op-2", "anna", 0);
    time.run_for(5ms);
    log.outage = true;
    time.run_for(20s);
    entry.expect<controllers::write_unknown>();
    log.outage = false;
    entry.submit("op-2", "anna", 0);
    time.run_for(1s);
    cr_assert(entry.expect<policy::change_accepted>().version == log.records().size());
}

// Guards against two winners, and against a loser who is not told who won.
Test(config_log, racing_operators_get_one_winner_and_one_conflict)
{
    fakes::hand_driven_time time;
    fakes::fake_log log(time);
    site first(time, log);
    site second(time, log);
    first.submit("op-1", "anna", 0);
    second.submit("op-2", "juma", 0);
    time.run_for(1s);
    cr_assert(log.records().size() == 2, "both changes must reach the log");
    cr_assert(first.expect<policy::change_accepted>().version == 1);
    const policy::change_conflict expected{{"model_group", "g"}, 0, 1, "anna"};
    cr_assert(second.expect<policy::change_conflict>() == expected);
}

// Guards against a change that is accepted during an outage, or appended without being asked for.
Test(config_log, outage_refuses_changes)
{
    fakes::hand_driven_time time;
    fakes::fake_log log(time);
    site entry(time, log);
    entry.feed.start();
    log.outage = true;
    entry.submit("op-1", "anna", 0);
    time.run_for(10s);
    entry.expect<controllers::write_refused>();
    cr_assert(!entry.feed.is_log_available());
    log.outage = false;
    time.run_for(10s);
    cr_assert(entry.feed.is_log_available());
    cr_assert(log.records().empty() && log.appends == 0);
}

// Guards against a process that starts in an outage without a configuration, and against one that
// goes back when the log or an older peer returns (P7).
Test(config_log, start_in_outage_takes_peer_state_and_never_goes_back)
{
    fakes::hand_driven_time time;
    fakes::fake_log log(time);
    site old_peer(time, log);
    site peer(time, log);
    store_changes(log, 20);
    old_peer.feed.start();
    time.run_for(1s);
    log.outage = true;
    time.run_for(2s);
    send_update(old_peer, peer);
    log.outage = false;
    store_changes(log, 5);
    peer.feed.start();
    time.run_for(10ms);
    log.outage = true;
    time.run_for(5s);
    site fresh(time, log);
    fresh.feed.start();
    time.run_for(2s);
    cr_assert(fresh.offset() == 0);
    send_update(peer, fresh);
    send_update(old_peer, fresh);
    cr_assert(fresh.offset() == 25);
    log.outage = false;
    store_changes(log, 5);
    time.run_for(5s);
    cr_assert(fresh.offset() == 30);
    cr_assert(fresh.store.ledger().to_snapshot() == peer.store.ledger().to_snapshot());
}

// Guards against a reader that cannot start, or starts wrongly, after records have expired.
Test(config_log, expired_records_are_replaced_by_the_newest_snapshot)
{
    fakes::hand_driven_time time;
    fakes::fake_log log(time);
    site writing(time, log);
    writing.feed.start();
    controllers::snapshot_writer snapshots(log, writing.store, time.clock, time.timer(), "entry-1",
                                           [] { return std::vector<std::string>{}; },
                                           {.max_changes = 50, .chunk_bytes = 1000});
    snapshots.start();
    store_changes(log, 60);
    time.run_for(15s);
    store_changes(log, 60);
    // Changes arrive while the second snapshot is being written.
    time.run_for(5s + 6ms);
    store_changes(log, 3);
    time.run_for(10s);
    store_changes(log, 7);
    const auto need = writing.store.need_of_snapshot();
    cr_assert(need.covered_upto > 60 && need.changes_since < 50);
    log.expire_before(need.first_needed);
    site late(time, log);
    late.feed.start();
    time.run_for(5s);
    cr_assert(late.offset() == log.records().size());
    cr_assert(late.store.ledger().to_snapshot() == writing.store.ledger().to_snapshot());

    // Without a usable snapshot the reader waits for a peer instead of guessing.
    log.expire_before(log.records().size() - 2);
    site stuck(time, log);
    stuck.feed.start();
    time.run_for(5s);
    cr_assert(stuck.offset() == 0);
    send_update(writing, stuck);
    store_changes(log, 1);
    time.run_for(5s);
    cr_assert(stuck.offset() == log.records().size());
}

// Guards against no entry or all entries writing snapshots, by age as well as by count, and
// against an entry whose turn it is but which does not write.
Test(config_log, one_live_entry_writes_each_snapshot)
{
    fakes::hand_driven_time time;
    fakes::fake_log log(time);
    log.latency = 100ms;
    std::vector<std::string> names{"entry-1", "entry-2", "entry-3", "broken"};
    std::vector<std::unique_ptr<site>> sites;
    std::vector<std::unique_ptr<controllers::snapshot_writer>> writers;
    for (unsigned n = 0; n < 3; ++n) {
        sites.push_back(std::make_unique<site>(time, log));
        sites.back()->feed.start();
        writers.push_back(std::make_unique<controllers::snapshot_writer>(
            log, sites.back()->store, time.clock, time.timer(), names[n],
            [&names] { return names; }));
        writers.back()->start();
    }
    store_changes(log, 10);
    time.run_for(29min);
    cr_assert(log.records().size() == 10);
    std::size_t last = 10;
    for (int round = 0; round < 8; ++round) {
        time.run_for(40min);
        const auto written = log.records().size() - last;
        cr_assert(written == 1 || written == 2, "%zu snapshots in round %d", written, round);
        last = log.records().size();
    }
    store_changes(log, 200);
    time.run_for(10min);
    cr_assert(log.records().size() - last - 200 == 1);
}
