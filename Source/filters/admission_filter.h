#pragma once

#include <functional>
#include <utility>

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Refuses requests that the entry cannot take, before they cost a place in the queue.
class admission_filter final : public request_filter {
public:
    /// @param check decides from the state of the entry
    explicit admission_filter(std::function<filter_result(const request_context&)> check)
        : check_(std::move(check))
    {
    }

    filter_result apply(request_context& context) const override;

private:
    std::function<filter_result(const request_context&)> check_;
};

} // namespace medlaryoke::filters
