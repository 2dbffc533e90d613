#include "filters/filter_chain.h"

#include <exception>
#include <utility>

#include "filters/admission_filter.h"
#include "filters/authentication_filter.h"
#include "filters/deadline_filter.h"
#include "filters/idempotency_filter.h"
#include "filters/priority_filter.h"
#include "filters/syntax_filter.h"
#include "filters/target_filter.h"

namespace medlaryoke::filters {

filter_chain::filter_chain(std::vector<std::unique_ptr<request_filter>> filters)
    : filters_(std::move(filters))
{
}

filter_result filter_chain::apply(request_context& context) const
{
    try {
        for (const auto& it : this->filters_) {
            auto result = it->apply(context);
            if (std::holds_alternative<refuse>(result)) {
                return result;
            }
        }
        return proceed{};
    }
    catch (const error& e) {
        return refuse{e.kind(), e.what(), e.remedy()};
    }
    catch (const std::exception& e) {
        return refuse{error_kind::internal, e.what(),
                      "Report this error with the request id; the request was not run."};
    }
}

filter_chain make_filter_chain(filter_chain_options options)
{
    std::vector<std::unique_ptr<request_filter>> filters;
    filters.push_back(std::make_unique<syntax_filter>(options.max_body_bytes));
    filters.push_back(std::make_unique<authentication_filter>());
    filters.push_back(std::make_unique<priority_filter>());
    filters.push_back(std::make_unique<target_filter>());
    filters.push_back(std::make_unique<deadline_filter>(options.default_timeout));
    filters.push_back(std::make_unique<idempotency_filter>());
    filters.push_back(std::make_unique<admission_filter>(std::move(options.admission)));
    return filter_chain(std::move(filters));
}

} // namespace medlaryoke::filters
