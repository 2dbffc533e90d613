#include "transport/event_splitter.h"

#include <string>

#include <criterion/criterion.h>

using medlaryoke::transport::event_splitter;

// Guards against partial events that are forwarded. If another upstream resumed the stream, one
// event would then consist of parts of two runs.
Test(event_splitter, returns_only_complete_events_for_any_split)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        event_splitter splitter;
        auto got = splitter.add(text.substr(0, split));
        cr_assert(text.starts_with(got));
        cr_assert(got.empty() || got.ends_with("\n\n") || got.ends_with("\r\n\r\n"));
        got += splitter.add(text.substr(split));
        cr_assert(got == text);
        cr_assert(splitter.event_count() == 3);
        cr_assert(splitter.last_id() == "2");
        cr_assert(!splitter.has_partial_event());
    }
}

// Guards against a stream that is resumed after an event that was never received completely.
Test(event_splitter, ignores_the_id_of_an_incomplete_event)
{
    event_splitter splitter;
    cr_assert(splitter.add("id: 7\ndata: x\n\nid: 8\nda") == "id: 7\ndata: x\n\n");
    cr_assert(splitter.last_id() == "7");
    cr_assert(splitter.has_partial_event());
    splitter.drop_partial_event();
    cr_assert(splitter.add("id: 8\ndata: y\n\n") == "id: 8\ndata: y\n\n");
    cr_assert(splitter.last_id() == "8");
}
