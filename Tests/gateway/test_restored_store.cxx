#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "gateway/followed_topic.h"
#include "gateway/gateway_metrics.h"
#include "gateway/prompt_guard.h"
#include "gateway/quarantine_store.h"

using namespace medlaryoke;
using namespace medlaryoke::gateway;
using namespace std::chrono_literals;

namespace {

/// A gateway's quarantines and the fake store that keeps them.
class stored_quarantines {
public:
    stored_quarantines()
        : guard_(this->context_, this->clock_, {}, this->metrics_,
                 [this](const auto& parts) { this->kept_->save(parts); }),
          kept_(std::make_shared<quarantine_store>(this->context_, this->clock_, this->store, "q",
                                                   this->guard_, [] { return 0U; }))
    {
        this->context_.start();
    }
    stored_quarantines(const stored_quarantines&) = delete;
    stored_quarantines& operator=(const stored_quarantines&) = delete;
    stored_quarantines(stored_quarantines&&) = delete;
    stored_quarantines& operator=(stored_quarantines&&) = delete;
    ~stored_quarantines() { this->context_.stop(); }

    /// Takes over a quarantine from a peer.
    /// @param stored_epoch epoch in which the peer says that it was stored
    void hear(const std::string& part, std::optional<std::uint64_t> stored_epoch)
    {
        this->run([&] {
            policy::quarantine_report report;
            report.quarantined.push_back({part, 1s, 60s, stored_epoch, false});
            this->guard_.merge(report);
        });
    }

    void notice_epoch(std::uint64_t epoch)
    {
        this->run([&] { this->kept_->on_store_epoch(epoch); });
    }

    /// @return whether the store has acknowledged as many records within 2 s, and no more
    [[nodiscard]] bool has_stored(std::size_t count) const
    {
        for (int n = 0; n < 200 && this->store.accepted().size() < count; ++n) {
            std::this_thread::sleep_for(10ms);
        }
        std::this_thread::sleep_for(20ms);
        return this->store.accepted().size() == count;
    }

    fakes::fake_keyed_log store;

private:
    /// Runs a function on the gateway's thread.
    void run(const std::function<void()>& function)
    {
        std::promise<void> done;
        this->context_.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    transport::runtime context_{1};
    system_clock_source clock_;
    gateway_metrics metrics_;
    prompt_guard guard_;
    std::shared_ptr<quarantine_store> kept_;
};

} // namespace

// Guards against a follower that waits at an offset which the restored store does not have, and
// misses what is written below it.
Test(restored_store, follows_offsets_that_are_given_out_again)
{
    followed_topic topic;
    topic.answer("list", keyed_records{{{"config", "11", 3}}, 4, 1});
    topic.answer("read", keyed_expired{2});
    topic.answer("list", keyed_records{{{"config", "11", 2}}, 3, 2});
    cr_assert(topic.answer("read", keyed_records{{{"config", "14", 3}}, 4, 2}).from == 3);
    cr_assert(topic.store.next().from == 4);
    const std::scoped_lock lock(topic.mutex);
    cr_assert(topic.changes == std::vector<std::string>({"config=11", "config=14"}));
}

// Guards against a read that continues in another history: records below its offset would be
// missed, and older ones taken for theirs.
Test(restored_store, lists_when_a_read_continues_in_another_history)
{
    followed_topic topic;
    topic.answer("list", keyed_records{{{"a", "1", 0}, {"b", "1", 3}}, 4, 1});
    topic.answer("read", keyed_records{{{"c", "1", 4}}, 5, 2});
    topic.answer("list", keyed_records{{{"a", "2", 2}, {"b", "2", 3}, {"c", "1", 4}}, 5, 2});
    cr_assert(topic.store.next().from == 5);
    const std::scoped_lock lock(topic.mutex);
    cr_assert(topic.changes ==
              std::vector<std::string>({"a=1", "b=1", "copy a=2", "copy b=2", "copy c=1"}));
}

// Guards against a second restore during the listing that follows the first one.
Test(restored_store, follows_after_two_restores_in_a_row)
{
    followed_topic topic;
    topic.answer("list", keyed_records{{{"a", "1", 0}, {"b", "1", 7}}, 8, 1});
    topic.answer("read", keyed_expired{2});
    topic.answer("list", keyed_unavailable{"restored again"});
    topic.answer("list", keyed_records{{{"a", "1", 0}}, 1, 3});
    topic.answer("read", keyed_records{{{"b", "2", 1}}, 2, 3});
    topic.answer("read", keyed_records{{}, 2, 4});
    topic.answer("list", keyed_records{{{"a", "1", 0}}, 1, 4});
    cr_assert(topic.answer("read", keyed_records{{{"b", "3", 1}}, 2, 4}).from == 1);
    cr_assert(topic.store.next().from == 2);
    const std::scoped_lock lock(topic.mutex);
    cr_assert(topic.changes == std::vector<std::string>({"a=1", "b=1", "away", "back",
                                                         "copy b=", "b=2", "copy b=", "b=3"}));
}

// Guards against quarantines that a restart of all gateways forgets, because their records were
// lost in a restore, and against a peer's word on a record of the lost history.
Test(restored_store, quarantines_are_stored_again)
{
    stored_quarantines site;
    site.store.accept_puts(1);
    site.notice_epoch(1);
    site.hear("part", std::nullopt);
    cr_assert(site.has_stored(1));
    site.store.accept_puts(2);
    site.notice_epoch(2);
    site.hear("part", 1);
    cr_assert(site.has_stored(2));
    site.hear("part", 2);
    site.notice_epoch(2);
    cr_assert(site.has_stored(2));
}

// Guards against a record that was acknowledged before a restore of which the gateway knows when
// the acknowledgement arrives.
Test(restored_store, late_acknowledgement_does_not_count_after_a_restore)
{
    stored_quarantines site;
    site.store.accept_puts(1);
    site.notice_epoch(2);
    site.hear("part", 1);
    cr_assert(site.has_stored(1));
    site.store.accept_puts(2);
    cr_assert(site.has_stored(2));
}
