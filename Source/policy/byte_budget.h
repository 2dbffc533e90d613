#pragma once

#include <cstddef>

namespace medlaryoke::policy {

/// Limits how many bytes the requests of a process hold together, so that a few servers that send
/// without end do not fill its memory. Not thread safe.
class byte_budget {
public:
    /// @param limit bytes that may be held at the same time
    explicit byte_budget(std::size_t limit) : limit_(limit) {}

    /// Takes bytes from the budget.
    /// @param bytes number of bytes
    /// @return whether they were left; if not, nothing was taken
    [[nodiscard]] bool try_take(std::size_t bytes);

    /// Returns bytes that were taken.
    /// @param bytes number of bytes; at most as many as are held
    void give_back(std::size_t bytes);

    /// @return bytes that are held
    [[nodiscard]] std::size_t held() const { return this->held_; }

private:
    std::size_t limit_;
    std::size_t held_ = 0;
};

} // namespace medlaryoke::policy
