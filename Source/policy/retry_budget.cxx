#include "policy/retry_budget.h"

#include <algorithm>

namespace medlaryoke::policy {

retry_budget::retry_budget(double tokens_per_request, double max_tokens)
    : tokens_per_request_(tokens_per_request), max_tokens_(max_tokens), tokens_(max_tokens)
{
}

void retry_budget::on_request()
{
    this->tokens_ = std::min(this->max_tokens_, this->tokens_ + this->tokens_per_request_);
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
