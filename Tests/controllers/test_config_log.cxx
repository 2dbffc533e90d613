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
#include "fakes/manual_time.h"
#include "policy/config_ledger.h"

using namespace std::chrono_literals;
using namespace medlaryoke;
using controllers::write_result;
using fakes::append_outcome;

namespace {

/// The store, feed and writer of one entry.
struct entry_config {
    explicit entry_config(fakes::manual_time& time, fakes::fake_log& log)
        : feed(log, store, time.timer()), writer(log, store, time.clock, time.timer())
    {
        store.subscribe([this](const auto& view) {
            cr_assert(view->offset > this->highest_offset, "the offset did not increase");
            this->highest_offset = view->offset;
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

    /// Checks that the last change was answered with a result of one type.
    /// @return the result
    template <typename Result>
    const Result& expect()
    {
        cr_assert(this->result && std::holds_alternative<Result>(*this->result));
        return std::get<Result>(*this->result);
    }

    [[nodiscard]] std::uint64_t offset() const { return this->store.view()->offset; }

    std::uint64_t highest_offset = 0;
    controllers::config_store store;
    controllers::config_feed feed;
    controllers::config_writer writer;
    std::optional<write_result> result;
};

/// Stores changes in the log directly, one new model group each.
void store_changes(fakes::fake_log& log, unsigned count)
{
    for (unsigned n = 0; n < count; ++n) {
        const auto name = fmt::format("g{}", log.records().size());
        log.store(policy::encode_record(policy::config_change{
            "op-" + name, "Zoë", {{{"model_group", name}, 0, R"({"model":"m"})"}}}));
    }
}

/// Sends the records that one entry is missing from another one.
void send_update(const entry_config& from, entry_config& to)
{
    const auto frame = controllers::make_config_update(from.store, to.offset());
    if (frame) {
        controllers::handle_config_frame(to.store, *frame);
    }
}

} // namespace

// Guards against a change that is lost, applied twice or answered wrongly because the log's reply
// to its append was lost.
Test(config_log, change_is_applied_at_most_once_if_append_reply_is_lost)
{
    struct expectation {
        append_outcome outcome;
        duration late_store_delay;
        bool accepted;
    };
    const std::vector<expectation> cases{{append_outcome::answered, 0s, true},
                                         {append_outcome::stored_unanswered, 0s, true},
                                         {append_outcome::stored_late, 500ms, true},
                                         {append_outcome::stored_late, 5s, false},
                                         {append_outcome::dropped_unanswered, 0s, false}};
    for (const auto& it : cases) {
        fakes::manual_time time;
        fakes::fake_log log(time);
        entry_config writer_entry(time, log);
        entry_config reader_entry(time, log);
        reader_entry.feed.start();
        log.append_outcomes = {it.outcome};
        log.late_store_delay = it.late_store_delay;
        writer_entry.submit("op-1", "anna", 0);
        time.run_for(20s);
        if (it.accepted) {
            cr_assert(writer_entry.expect<policy::change_accepted>().version == 1);
            cr_assert(log.records().size() == 1);
        }
        else {
            writer_entry.expect<controllers::write_refused>();
        }
        cr_assert(reader_entry.store.view()->model_groups.size() == (it.accepted ? 1 : 0));
        // A repeated operation id gets the same answer and appends nothing.
        const auto appends = log.appends;
        writer_entry.submit("op-1", "anna", 0);
        time.run_for(20s);
        cr_assert(std::holds_alternative<policy::change_accepted>(*writer_entry.result) ==
                  it.accepted);
        cr_assert(log.appends == appends);
    }
}

// Guards against a cancellation that is not retried after its reply was lost, and against a
// definite answer while the log cannot be read and the outcome is unknown.
Test(config_log, unresolved_append_is_reported_as_unknown)
{
    fakes::manual_time time;
    fakes::fake_log log(time);
    entry_config entry(time, log);
    log.append_outcomes = {append_outcome::dropped_unanswered, append_outcome::dropped_unanswered,
                           append_outcome::dropped_unanswered};
    entry.submit("op-1", "anna", 0);
    time.run_for(20s);
    entry.expect<controllers::write_refused>();
    log.append_outcomes = {append_outcome::stored_unanswered};
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

// Guards against two concurrent changes of one resource that are both accepted, and against a
// conflict that does not name the version and author of the accepted change.
Test(config_log, one_of_two_concurrent_changes_is_accepted)
{
    fakes::manual_time time;
    fakes::fake_log log(time);
    entry_config first(time, log);
    entry_config second(time, log);
    first.submit("op-1", "anna", 0);
    second.submit("op-2", "juma", 0);
    time.run_for(1s);
    cr_assert(log.records().size() == 2, "both changes must reach the log");
    cr_assert(first.expect<policy::change_accepted>().version == 1);
    const policy::change_conflict expected{{"model_group", "g"}, 0, 1, "anna"};
    cr_assert(second.expect<policy::change_conflict>() == expected);
}

// Guards against a change that is accepted while the log is unavailable, and against a refused
// change that is appended after the outage.
Test(config_log, changes_are_refused_during_log_outage)
{
    fakes::manual_time time;
    fakes::fake_log log(time);
    entry_config entry(time, log);
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

// Guards against a process that starts during a log outage and gets no configuration from its
// peers, and against an offset that decreases when an outdated peer sends its state or the log is
// available again (P7).
Test(config_log, start_during_outage_loads_peer_state_without_regression)
{
    fakes::manual_time time;
    fakes::fake_log log(time);
    entry_config outdated_peer(time, log);
    entry_config peer(time, log);
    store_changes(log, 20);
    outdated_peer.feed.start();
    time.run_for(1s);
    log.outage = true;
    time.run_for(2s);
    send_update(outdated_peer, peer);
    log.outage = false;
    store_changes(log, 5);
    peer.feed.start();
    time.run_for(10ms);
    log.outage = true;
    time.run_for(5s);
    entry_config new_entry(time, log);
    new_entry.feed.start();
    time.run_for(2s);
    cr_assert(new_entry.offset() == 0);
    send_update(peer, new_entry);
    send_update(outdated_peer, new_entry);
    cr_assert(new_entry.offset() == 25);
    log.outage = false;
    store_changes(log, 5);
    time.run_for(5s);
    cr_assert(new_entry.offset() == 30);
    cr_assert(new_entry.store.ledger().to_snapshot() == peer.store.ledger().to_snapshot());
}

// Guards against a reader that cannot start, or starts with a wrong configuration, after records
// that it needs have expired from the log.
Test(config_log, newest_snapshot_replaces_expired_records)
{
    fakes::manual_time time;
    fakes::fake_log log(time);
    entry_config writer_entry(time, log);
    writer_entry.feed.start();
    controllers::snapshot_writer snapshots(log, writer_entry.store, time.clock, time.timer(),
                                           "entry-1", [] { return std::vector<std::string>{}; },
                                           {.max_changes = 50, .max_chunk_bytes = 1000});
    snapshots.start();
    store_changes(log, 60);
    time.run_for(15s);
    store_changes(log, 60);
    // Changes arrive while the second snapshot is being written.
    time.run_for(5s + 6ms);
    store_changes(log, 3);
    time.run_for(10s);
    store_changes(log, 7);
    const auto coverage = writer_entry.store.coverage();
    cr_assert(coverage.covered_offset > 60 && coverage.change_count < 50);
    log.expire_before(coverage.oldest_needed_offset);
    entry_config late_reader(time, log);
    late_reader.feed.start();
    time.run_for(5s);
    cr_assert(late_reader.offset() == log.records().size());
    cr_assert(late_reader.store.ledger().to_snapshot() ==
              writer_entry.store.ledger().to_snapshot());

    // Without a complete snapshot the reader waits for the state of a peer.
    log.expire_before(log.records().size() - 2);
    entry_config waiting(time, log);
    waiting.feed.start();
    time.run_for(5s);
    cr_assert(waiting.offset() == 0);
    send_update(writer_entry, waiting);
    store_changes(log, 1);
    time.run_for(5s);
    cr_assert(waiting.offset() == log.records().size());
}

// Guards against snapshots that no entry or every entry writes, whether they are due by age or by
// number of changes, and against a selected entry ("broken") that never writes.
Test(config_log, one_live_entry_writes_each_snapshot)
{
    fakes::manual_time time;
    fakes::fake_log log(time);
    log.latency = 100ms;
    std::vector<std::string> names{"entry-1", "entry-2", "entry-3", "broken"};
    std::vector<std::unique_ptr<entry_config>> entries;
    std::vector<std::unique_ptr<controllers::snapshot_writer>> writers;
    for (unsigned n = 0; n < 3; ++n) {
        entries.push_back(std::make_unique<entry_config>(time, log));
        entries.back()->feed.start();
        writers.push_back(std::make_unique<controllers::snapshot_writer>(
            log, entries.back()->store, time.clock, time.timer(), names[n],
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

// Guards against a configuration that is made of two histories, when offsets are given out again
// after a restore of the log.
Test(config_log, records_of_a_restored_log_are_not_taken_for_later_ones)
{
    fakes::manual_time time;
    fakes::fake_log log(time);
    entry_config entry(time, log);
    entry.feed.start();
    store_changes(log, 3);
    time.run_for(5s);
    cr_assert(entry.offset() == 3);
    log.restore(1);
    log.store("another history");
    log.store("another history");
    store_changes(log, 2);
    time.run_for(20s);
    cr_assert(entry.offset() == 3 && entry.store.view()->model_groups.size() == 3);
    cr_assert(!entry.feed.is_log_available());
    entry.submit("op-1", "anna", 0);
    time.run_for(20s);
    cr_assert(entry.result && !std::holds_alternative<policy::change_accepted>(*entry.result));
    cr_assert(entry.offset() == 3);
}
