#include "policy/keyed_topic.h"

#include <criterion/criterion.h>

using namespace medlaryoke::policy;

// Guards against a listing from a lagging replica that restores an older value.
Test(keyed_topic, ignores_a_lagging_listing)
{
    keyed_topic topic;
    topic.apply_listing({{"config", "one", 3}}, {1, 4});
    topic.apply_records({{"config", "two", 4}, {"gone", "", 5}}, 6);
    cr_assert(topic.apply_listing({{"config", "one", 3}, {"gone", "old", 2}}, {1, 4}).empty());
    cr_assert(topic.position().offset == 6);
}

// Guards against a key that remains although its records were deleted unseen by the reader.
Test(keyed_topic, listing_removes_missing_keys)
{
    keyed_topic topic;
    topic.apply_listing({{"a", "1", 0}, {"b", "1", 1}}, {1, 2});
    const auto changes = topic.apply_listing({{"b", "2", 7}}, {1, 9});
    cr_assert(changes.size() == 2);
    cr_assert(changes[0].key == "b" && changes[0].value == "2");
    cr_assert(changes[1].key == "a" && changes[1].value.empty());
    cr_assert(topic.position().offset == 9);
}

// Guards against a change for every record when many records of one key arrive together.
Test(keyed_topic, reports_only_the_newest_record_of_a_key)
{
    keyed_topic topic;
    topic.apply_listing({}, {1, 0});
    const auto changes = topic.apply_records({{"a", "1", 0}, {"a", "2", 1}, {"a", "3", 2}}, 3);
    cr_assert(changes.size() == 1);
    cr_assert(changes[0].value == "3");
}
