#include "policy/rate_limit_table.h"

namespace medlaryoke::policy {

bool rate_limit_table::add(const rate_limit_statement& statement)
{
    const auto [found, is_new] = this->statements_.try_emplace(statement.upstream, statement);
    if (is_new) {
        this->limited_count_ += statement.per_second ? 1 : 0;
        return statement.per_second.has_value();
    }
    auto& known = found->second;
    if (statement.stated_at < known.stated_at) {
        return false;
    }
    const bool has_changed = known.per_second != statement.per_second;
    this->limited_count_ -= known.per_second ? 1 : 0;
    this->limited_count_ += statement.per_second ? 1 : 0;
    known = statement;
    return has_changed;
}

std::optional<double> rate_limit_table::limit(std::uint64_t upstream) const
{
    if (!this->has_limits()) {
        return std::nullopt;
    }
    const auto found = this->statements_.find(upstream);
    return found == this->statements_.end() ? std::nullopt : found->second.per_second;
}

void rate_limit_table::erase(std::uint64_t upstream)
{
    const auto found = this->statements_.find(upstream);
    if (found != this->statements_.end()) {
        this->limited_count_ -= found->second.per_second ? 1 : 0;
        this->statements_.erase(found);
    }
}

} // namespace medlaryoke::policy
