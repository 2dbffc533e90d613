#include "policy/waiting_policy.h"

#include <algorithm>

namespace medlaryoke::policy {

namespace {

duration fraction_of(duration whole, double fraction)
{
    return std::chrono::duration_cast<duration>(whole * fraction);
}

} // namespace

time_point waiting_policy::wait_until(time_point arrived, duration target, time_point deadline,
                                      bool is_stream) const
{
    const auto limit = is_stream
                           ? fraction_of(target, this->options_.stream_wait_fraction)
                           : fraction_of(deadline - arrived, this->options_.plain_wait_fraction);
    return std::min(arrived + limit, deadline);
}

duration waiting_policy::retry_after(duration remaining)
{
    const auto max_retry_after =
        std::max(fraction_of(remaining, this->options_.retry_after_fraction),
                 this->options_.min_retry_after);
    std::uniform_int_distribution<duration::rep> pick(this->options_.min_retry_after.count(),
                                                      max_retry_after.count());
    return duration(pick(this->random_));
}

} // namespace medlaryoke::policy
