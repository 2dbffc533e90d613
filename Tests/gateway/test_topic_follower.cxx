#include "gateway/topic_follower.h"

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "gateway/followed_topic.h"

using namespace medlaryoke;
using namespace medlaryoke::gateway;
using namespace std::chrono_literals;

// Guards against the end of an outage that is detected only with the next record. An upstream that
// leaves long after the outage would then be treated as expired by it and still get requests.
Test(topic_follower, detects_the_end_of_an_outage_at_once)
{
    followed_topic topic;
    topic.answer("list", keyed_records{{{"a", "1", 0}}, 1});
    cr_assert(topic.answer("read", keyed_unavailable{"down"}).wait > 0ms);
    cr_assert(topic.answer("read", keyed_unavailable{"down"}).wait == 0ms);
    cr_assert(topic.answer("read", keyed_records{{}, 1}).wait == 0ms);
    const auto next = topic.store.next();
    cr_assert(next.wait > 0ms && next.from == 1);
    const std::scoped_lock lock(topic.mutex);
    cr_assert(topic.changes == std::vector<std::string>({"a=1", "away", "back"}));
}

// Guards against changes that are missed when the store deletes records before they were read.
Test(topic_follower, lists_again_when_records_were_deleted)
{
    followed_topic topic;
    topic.answer("list", keyed_records{{{"a", "1", 0}, {"b", "1", 1}}, 2});
    topic.answer("read", keyed_expired{});
    topic.answer("list", keyed_records{{{"b", "2", 9}}, 10});
    cr_assert(topic.store.next().from == 10);
    const std::scoped_lock lock(topic.mutex);
    cr_assert(topic.changes == std::vector<std::string>({"a=1", "b=1", "b=2", "a="}));
}

// Guards against a connection to the store that went silent while peers still receive records.
Test(topic_follower, reads_again_when_a_peer_is_ahead)
{
    followed_topic topic;
    topic.answer("list", keyed_records{{}, 3});
    const auto silent = topic.store.next();
    topic.context.post([&topic] { topic.follower->catch_up({0, 3}); });
    topic.context.post([&topic] { topic.follower->catch_up({0, 4}); });
    topic.answer("read", keyed_records{{{"a", "1", 3}}, 4});
    cr_assert(topic.store.next().from == 4);
    topic.context.post([&silent] { silent.done(keyed_unavailable{"timed out"}); });
    topic.context.post([&topic] { topic.follower->catch_up({0, 5}); });
    topic.answer("read", keyed_records{{}, 4}); // the late failure of the silent read is ignored
    const std::scoped_lock lock(topic.mutex);
    cr_assert(topic.changes == std::vector<std::string>({"a=1"}));
}

// Guards against a process that follows the store no more after one change that it cannot use.
Test(topic_follower, goes_on_after_a_change_that_cannot_be_used)
{
    followed_topic topic;
    topic.answer("list", keyed_records{{{"a", "1", 0}}, 1});
    topic.answer("read", keyed_records{{{"poison", "1", 1}}, 2});
    cr_assert(topic.answer("read", keyed_records{{{"b", "2", 2}}, 3}).from == 2);
    cr_assert(topic.store.next().from == 3);
    const std::scoped_lock lock(topic.mutex);
    cr_assert(topic.changes == std::vector<std::string>({"a=1", "b=2"}));
}

// Guards against a connection to the store that goes silent and is noticed only when the read times
// out: a change is missed for as long.
Test(topic_follower, reads_again_when_an_answer_is_overdue)
{
    followed_topic topic(100ms);
    topic.answer("list", keyed_records{{}, 3});
    const auto silent = topic.store.next();
    cr_assert(silent.operation == "read" && silent.wait > 0ms);
    const auto second = topic.answer("read", keyed_records{{{"a", "1", 3}}, 4});
    cr_assert(second.wait == 0ms && second.from == 3);
    cr_assert(topic.store.next().from == 4);
    cr_assert(topic.store.renewals() >= 1);
    topic.context.post([&silent] { silent.done(keyed_unavailable{"timed out"}); });
    const std::scoped_lock lock(topic.mutex);
    cr_assert(topic.changes == std::vector<std::string>({"a=1"}));
}

// Guards against an outage that is reported although one of two reads is answered, and against one
// that is not reported because the other read is still open.
Test(topic_follower, the_first_answer_of_two_reads_counts)
{
    followed_topic topic;
    topic.answer("list", keyed_records{{}, 3});
    const auto slow = topic.store.next();
    topic.context.post([&topic] { topic.follower->catch_up({0, 4}); });
    topic.answer("read", keyed_unavailable{"refused"});
    topic.context.post([&slow] { slow.done(keyed_records{{{"a", "1", 3}}, 4}); });
    topic.answer("read", keyed_unavailable{"refused"});
    cr_assert(topic.store.next().wait == 0ms);
    const std::scoped_lock lock(topic.mutex);
    cr_assert(topic.changes == std::vector<std::string>({"a=1", "away"}));
}
