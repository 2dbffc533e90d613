#pragma once

#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "controllers/outcome.h"

namespace medlaryoke::controllers {

/// Result and latencies of one request, for statistics.
struct request_record {
    std::string target; ///< model group or service
    std::string priority;
    std::string organisation;
    outcome result = outcome::not_run;
    error_kind kind = error_kind::internal; ///< error of a request that got no answer
    bool cancelled = false;     ///< caller disconnected or too slow, or answer too large
    bool within_target = false; ///< answered within the targets of its priority
    unsigned attempts = 0;      ///< number of dispatches to agents
    duration queue_wait{};      ///< time in the queue of this entry
    duration first_data{};      ///< from receipt to the first part of the answer
    duration total{};           ///< from receipt to the end
};

/// Receives a record of each request that has ended. Called on worker threads.
class request_observer {
public:
    request_observer() = default;
    request_observer(const request_observer&) = delete;
    request_observer& operator=(const request_observer&) = delete;
    request_observer(request_observer&&) = delete;
    request_observer& operator=(request_observer&&) = delete;
    virtual ~request_observer() = default;

    /// @param record result and latencies of the request
    virtual void on_request_ended(const request_record& record) = 0;
};

} // namespace medlaryoke::controllers
