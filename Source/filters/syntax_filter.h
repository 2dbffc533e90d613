#pragma once

#include <cstddef>

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Checks the size and the syntax of a request and reads the values that routing uses: path, model,
/// stream, and the size and prefix hashes of the prompt.
class syntax_filter final : public request_filter {
public:
    /// @param max_body_bytes largest body that is accepted
    explicit syntax_filter(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

    filter_result apply(request_context& context) const override;

private:
    std::size_t max_body_bytes_;
};

} // namespace medlaryoke::filters
