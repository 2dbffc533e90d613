#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/clock.h"
#include "transport/http_message.h"

namespace medlaryoke::standins {

/// A class of requests that callers send. The keys of the workload file are named after the
/// members.
struct workload_class {
    std::string name = "chat";
    bool is_chat = true; ///< false: service calls
    double rate = 0;     ///< requests per second of an open loop; 0: closed loop with `concurrency`
    std::size_t concurrency = 0;           ///< number of requests that a closed loop keeps open
    duration begin{};                      ///< time in the run when requests begin
    duration end = std::chrono::hours(24); ///< time in the run when requests end
    std::string credential;                ///< bearer token; empty: none
    std::string priority;                  ///< value of Medlaryoke-Priority; empty: none
    /// Bounds the wait for the head of the answer and between its bytes; sent as
    /// Medlaryoke-Timeout.
    duration timeout = std::chrono::seconds(60);
    std::string model = "model";         ///< model that chat requests name
    std::size_t prompt_characters = 400; ///< length of the prompt without the shared prefix
    std::size_t prefix_characters = 0;   ///< length of the start of the prompt that requests share
    std::size_t prefixes = 8;            ///< number of different shared prefixes
    std::size_t max_tokens = 32;         ///< length of the answers
    bool stream = true;                  ///< whether chat answers are streamed
    std::string service;                 ///< name of the service that is called
    std::string method = "POST";
    std::string path = "/call";
    bool keyed = false;            ///< whether requests carry an Idempotency-Key
    std::size_t duplicates = 0;    ///< further copies of each request, sent at the same time
    duration first_token_target{}; ///< longest time to the first token; 0: no target
    /// Longest mean time between the tokens of an answer; 0: no target.
    duration token_interval_target{};
};

/// @param body `{"classes":[{...}]}` with the members of workload_class; durations are in
/// milliseconds and end in `_ms`; `kind` is `chat` or `service`
/// @return the classes
/// @throws error of kind invalid_argument for an unknown key or a wrong type
std::vector<workload_class> parse_workload(const nlohmann::json& body);

/// A request and the answer that it must get.
struct prepared_request {
    transport::http_request request;
    std::string expected; ///< text of a chat answer, or body digest of a service call
};

/// Generates the requests of one class. Not thread safe.
class request_generator {
public:
    /// @param request_class the class of the requests
    /// @param direct whether requests go to the engine or service instead of an entry
    /// @param seed decides all texts, keys and arrival times
    request_generator(workload_class request_class, bool direct, std::uint64_t seed);

    /// @return the next request
    prepared_request generate();

    /// @return random time to the next request of an open loop with the rate of the class
    duration next_interarrival_time();

private:
    prepared_request generate_chat();
    prepared_request generate_service_call();
    std::string generate_text(std::uint64_t seed, std::size_t length) const;

    workload_class class_;
    bool direct_;
    std::uint64_t seed_;
    std::uint64_t count_ = 0;
    std::mt19937_64 random_;
};

} // namespace medlaryoke::standins
