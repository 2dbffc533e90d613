#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

/// Options of engine_standin.
struct engine_options {
    std::string address = "127.0.0.1:0";    ///< IP address and port; port 0 picks a free one
    std::size_t slots = 16;                 ///< largest number of requests in the batch
    std::size_t max_queued_requests = 1000; ///< further requests are refused with status 429
    duration step_time = std::chrono::milliseconds(10); ///< base duration of a step
    /// Added to a step for each request in the batch.
    duration step_time_per_request = std::chrono::microseconds(200);
    /// Added to a step for each uncached prompt token that it handles.
    duration prefill_time_per_token = std::chrono::microseconds(20);
    /// Largest number of prompt tokens handled in a step.
    std::size_t prefill_tokens_per_step = 2048;
    std::size_t cache_blocks = 4096; ///< prefix cache capacity in blocks of characters_per_block
    std::size_t max_answer_tokens = 4096;   ///< bounds `max_tokens` of a request
    std::size_t default_answer_tokens = 32; ///< answer length without `max_tokens`
    duration load_lag{};                    ///< age of the load that `GET /load` reports
    duration cache_event_lag{};             ///< time before a cache event becomes visible
    double cache_event_loss_fraction = 0;   ///< fraction of cache events that are never reported
    bool checks_fences = true; ///< refuses orders whose fence is lower than an earlier one
    std::uint64_t seed = 1;    ///< decides which cache events are lost
};

/// Stand-in for a model engine with continuous batching. In each step every request of the batch
/// whose prompt is prefilled gets one token. Waiting requests join the batch by the body field
/// `priority` (0 first), then in order of arrival.
///
/// - `POST /v1/chat/completions`: JSON, or server-sent events with `stream`; the answer has
///   `max_tokens` tokens and depends on the prompt only. The request id is the header
///   `X-Request-Id`, if there is one. A client that disconnects cancels its request.
/// - `POST /cancel/<id>`; `GET /load`; `GET /cache-events?from=N`; `POST /orders`.
/// - `GET /control/stats`, `GET /control/orders`, and `PUT /control/faults` with `stall`,
///   `slow_factor`, `fail_status` (0: none) and `break_after_tokens` (0: never).
class engine_standin {
public:
    /// @param context runs the server and the timers
    /// @param options address, capacities and durations
    engine_standin(transport::runtime& context, engine_options options);
    engine_standin(const engine_standin&) = delete;
    engine_standin& operator=(const engine_standin&) = delete;
    engine_standin(engine_standin&&) = delete;
    engine_standin& operator=(engine_standin&&) = delete;
    ~engine_standin();

    /// @return the bound IP address and port
    [[nodiscard]] std::string address() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::standins
