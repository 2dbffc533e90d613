#pragma once

namespace medlaryoke {

/// @return whether a number is the status of a final HTTP answer. RFC 9110, 15: the status is from
/// 100 to 599, and 1xx announces that the final answer follows.
constexpr bool is_final_status(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

} // namespace medlaryoke
