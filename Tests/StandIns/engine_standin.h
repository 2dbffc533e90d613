#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

struct engine_options {
    std::string address = "127.0.0.1:0";
    std::size_t slots = 16;                             ///< requests in a batch
    std::size_t max_queue = 1000;                       ///< waiting requests; further ones get 429
    duration step_time = std::chrono::milliseconds(10); ///< of a step with an empty batch
    duration step_time_per_request = std::chrono::microseconds(200);
    duration prefill_time_per_token = std::chrono::microseconds(20);
    std::size_t prefill_tokens_per_step = 2048;
    std::size_t cache_blocks = 4096; ///< of characters_per_block characters each
    std::size_t max_tokens = 4096;   ///< longest answer
    std::size_t default_tokens = 32; ///< answer of a request without `max_tokens`
    duration load_lag{};
    duration cache_event_lag{};
    double cache_event_loss = 0; ///< fraction of cache events that are never told
    bool checks_fences = true;
    std::uint64_t seed = 1;
};

/// Stand-in of a model engine: continuous batching in steps, in which every running request gets
/// one token; waiting requests are admitted by the body field `priority` (0 first), then by order.
///
/// - `POST /v1/chat/completions`: JSON, or server-sent events with `stream`; the answer has
///   `max_tokens` tokens and depends on the prompt only. The id is the header `X-Request-Id`, if
///   there is one. A client that disconnects cancels its request.
/// - `POST /cancel/<id>`; `GET /load`; `GET /cache-events?from=N`; `POST /orders`.
/// - `GET /control/stats`, `GET /control/orders`, and `PUT /control/faults` with `stall`,
///   `slow_factor`, `fail_status` (0: none) and `break_after_tokens` (0: never).
class engine_standin {
public:
    /// @param context runs the service
    /// @param options address, sizes and times
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
