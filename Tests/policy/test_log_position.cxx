#include "policy/log_position.h"

#include <criterion/criterion.h>

using namespace medlaryoke::policy;

// Guards against a coordinator whose token is lower than, or equal to, one that was issued before
// the store was restored, whose offsets are given out again.
Test(log_position, fencing_tokens_rise_over_restores)
{
    cr_assert(fencing_token({0, 0}) > 0);
    cr_assert(fencing_token({1, 7}) < fencing_token({1, 8}));
    cr_assert(fencing_token({1, 1'000'000}) < fencing_token({2, 0}));
    cr_assert(fencing_token({2, 5}) < fencing_token({3, 2}));
    const log_position before{1, 9};
    const log_position after{2, 3};
    cr_assert(before < after && fencing_token(before) < fencing_token(after));
}
