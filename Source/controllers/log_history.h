#pragma once

#include <cstdint>
#include <optional>

namespace medlaryoke::controllers {

/// Tells whether a log still has the history that was read from it. A log that was restored from an
/// older copy gives out offsets again, so its records cannot follow those that were read before.
/// Not thread safe.
class log_history {
public:
    /// @param epoch of the log, as stated in one of its answers
    /// @return whether the log has had this epoch since its first answer
    [[nodiscard]] bool continues(std::uint64_t epoch)
    {
        this->epoch_ = this->epoch_.value_or(epoch);
        this->is_lost_ = this->is_lost_ || *this->epoch_ != epoch;
        return !this->is_lost_;
    }

    /// @return whether an answer has shown that the log was restored
    [[nodiscard]] bool is_lost() const { return this->is_lost_; }

private:
    std::optional<std::uint64_t> epoch_; ///< empty before the first answer
    bool is_lost_ = false;
};

} // namespace medlaryoke::controllers
