#pragma once

#include <functional>
#include <utility>

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Refuses requests that the entry cannot accept at the moment, before they are queued.
class admission_filter final : public request_filter {
public:
    /// @param check decides on a request from the state of the entry; if empty, all requests pass
    explicit admission_filter(std::function<filter_result(const request_context&)> check)
        : check_(std::move(check))
    {
    }

    filter_result apply(request_context& context) const override;

private:
    std::function<filter_result(const request_context&)> check_;
};

} // namespace medlaryoke::filters
