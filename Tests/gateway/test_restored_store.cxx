#include <mutex>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "gateway/followed_topic.h"

using namespace medlaryoke;
using namespace medlaryoke::gateway;

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
