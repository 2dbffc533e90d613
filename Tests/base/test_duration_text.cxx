#include "base/duration_text.h"

#include <criterion/criterion.h>

#include "base/error.h"

using namespace std::chrono_literals;
using medlaryoke::format_duration;
using medlaryoke::parse_duration;

namespace {

bool is_rejected(std::string_view text)
{
    try {
        parse_duration(text);
    }
    catch (const medlaryoke::error& e) {
        return e.kind() == medlaryoke::error_kind::invalid_argument && !e.remedy().empty();
    }
    return false;
}

} // namespace

// Guards against a unit being parsed as another one.
Test(duration_text, parses_each_unit)
{
    cr_assert(parse_duration("250ms") == 250ms);
    cr_assert(parse_duration("1.5s") == 1500ms);
    cr_assert(parse_duration("2m") == 2min);
    cr_assert(parse_duration("24h") == 24h);
    cr_assert(parse_duration("10us") == 10us);
}

// Guards against a duration with a wrong or missing unit being accepted.
Test(duration_text, rejects_malformed_text)
{
    for (const auto* text : {"", "5", "ms", "-1s", "1 s", "1sec", "nan s", "1e300h", "infs"}) {
        cr_assert(is_rejected(text), "accepted %s", text);
    }
}

// Guards against a formatted duration that cannot be parsed.
Test(duration_text, formats_what_it_parses)
{
    for (const auto* text : {"0s", "250ms", "90s", "2m", "24h", "10us"}) {
        cr_assert(parse_duration(format_duration(parse_duration(text))) == parse_duration(text));
    }
}
