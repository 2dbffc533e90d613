#include "policy/waiting_policy.h"

#include <algorithm>

namespace medlaryoke::policy {

namespace {

duration part_of(duration whole, double part)
{
    return std::chrono::duration_cast<duration>(whole * part);
}

} // namespace

time_point waiting_policy::wait_until(time_point arrived, duration target, time_point deadline,
                                      bool is_stream) const
{
    const auto limit = is_stream ? part_of(target, this->options_.stream_wait)
                                 : part_of(deadline - arrived, this->options_.plain_wait);
    return std::min(arrived + limit, deadline);
}

duration waiting_policy::retry_after(duration left)
{
    const auto most =
        std::max(part_of(left, this->options_.return_within), this->options_.shortest_return);
    std::uniform_int_distribution<duration::rep> pick(this->options_.shortest_return.count(),
                                                      most.count());
    return duration(pick(this->random_));
}

} // namespace medlaryoke::policy
