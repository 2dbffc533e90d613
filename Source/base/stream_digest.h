#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace medlaryoke {

/// Computes XXH3-64 over data that arrives in parts. The result equals hash64() of the joined parts
/// and is not cryptographic.
class stream_digest {
public:
    stream_digest();

    /// @param data the next part
    void update(std::string_view data);

    /// @return the hash of all parts so far
    [[nodiscard]] std::uint64_t value() const;

private:
    struct state_type;
    struct state_deleter {
        void operator()(state_type* state) const;
    };
    std::unique_ptr<state_type, state_deleter> state_;
};

} // namespace medlaryoke
