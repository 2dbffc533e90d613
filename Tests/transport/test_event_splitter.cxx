#include "transport/event_splitter.h"

#include <string>

#include <criterion/criterion.h>

using medlaryoke::transport::event_splitter;

// Guards against events that are passed on in part, so that another upstream's continuation joins
// pieces of two runs.
Test(event_splitter, passes_only_whole_events_however_the_bytes_are_cut)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        event_splitter splitter;
        auto got = splitter.add(text.substr(0, cut));
        cr_assert(text.starts_with(got));
        cr_assert(got.empty() || got.ends_with("\n\n") || got.ends_with("\r\n\r\n"));
        got += splitter.add(text.substr(cut));
        cr_assert(got == text);
        cr_assert(splitter.events() == 3);
        cr_assert(splitter.last_id() == "2");
        cr_assert(!splitter.has_partial());
    }
}

// Guards against a continuation that starts after an event whose end never came.
Test(event_splitter, an_unfinished_event_has_no_id_yet)
{
    event_splitter splitter;
    cr_assert(splitter.add("id: 7\ndata: x\n\nid: 8\nda") == "id: 7\ndata: x\n\n");
    cr_assert(splitter.last_id() == "7");
    cr_assert(splitter.has_partial());
    splitter.drop_partial();
    cr_assert(splitter.add("id: 8\ndata: y\n\n") == "id: 8\ndata: y\n\n");
    cr_assert(splitter.last_id() == "8");
}
