#include "policy/byte_budget.h"

#include <algorithm>

namespace medlaryoke::policy {

bool byte_budget::try_take(std::size_t bytes)
{
    if (bytes > this->limit_ - this->held_) {
        return false;
    }
    this->held_ += bytes;
    return true;
}

void byte_budget::give_back(std::size_t bytes)
{
    this->held_ -= std::min(bytes, this->held_);
}

} // namespace medlaryoke::policy
