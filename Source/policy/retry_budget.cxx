#include "policy/retry_budget.h"

#include <algorithm>

namespace medlaryoke::policy {

retry_budget::retry_budget(double ratio, double burst)
    : ratio_(ratio), burst_(burst), tokens_(burst)
{
}

void retry_budget::on_request()
{
    this->tokens_ = std::min(this->burst_, this->tokens_ + this->ratio_);
}

bool retry_budget::try_retry()
{
    if (this->tokens_ < 1) {
        return false;
    }
    this->tokens_ -= 1;
    return true;
}

} // namespace medlaryoke::policy
