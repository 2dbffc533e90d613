#pragma once

#include <chrono>
#include <mutex>

namespace medlaryoke {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of monotonic time. An interface, so that tests can control the time.
class clock_source {
public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    clock_source(clock_source&&) = delete;
    clock_source& operator=(clock_source&&) = delete;
    virtual ~clock_source() = default;

    /// @return the current monotonic time
    [[nodiscard]] virtual time_point now() const = 0;
};

/// Reads the monotonic clock of the operating system that also counts the time for which the
/// machine was suspended.
class system_clock_source final : public clock_source {
public:
    [[nodiscard]] time_point now() const override;
};

/// Clock for tests that only moves when advance() is called; thread safe.
class manual_clock final : public clock_source {
public:
    [[nodiscard]] time_point now() const override;

    /// Moves the clock forward.
    /// @param step how far; must not be negative
    void advance(duration step);

private:
    mutable std::mutex mutex_;
    time_point now_{};
};

} // namespace medlaryoke
