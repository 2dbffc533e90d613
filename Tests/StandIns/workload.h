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

/// One kind of request that callers send.
struct workload_class {
    std::string name = "chat";
    bool is_chat = true;
    double rate = 0;             ///< new requests per second; 0: by concurrency
    std::size_t concurrency = 0; ///< requests open at once
    duration begin{};            ///< since the start of the run
    duration end = std::chrono::hours(24);
    std::string credential;
    std::string priority;
    duration timeout = std::chrono::seconds(60);
    std::string model = "model";
    std::size_t prompt_characters = 400; ///< without the shared prefix
    std::size_t prefix_characters = 0;   ///< start of the prompt shared with other requests
    std::size_t prefixes = 8;            ///< number of different shared prefixes
    std::size_t max_tokens = 32;
    bool stream = true;
    std::string service;
    std::string method = "POST";
    std::string path = "/call";
    bool keyed = false;               ///< sends an Idempotency-Key
    std::size_t duplicates = 0;       ///< copies of each request sent at the same time
    duration first_token_target{};    ///< 0: none
    duration token_interval_target{}; ///< 0: none; for the mean of an answer
};

/// @param body `{"classes":[{...}]}` with the members of workload_class; times in `_ms`
/// @return the classes
/// @throws error of kind invalid_argument for an unknown key or a wrong type
std::vector<workload_class> parse_workload(const nlohmann::json& body);

/// A request with what its answer must be.
struct prepared_request {
    transport::http_request request;
    std::string expected; ///< text of a chat answer, or body digest of a service call
};

/// Makes the requests of one class. Not thread safe.
class request_maker {
public:
    /// @param source the class
    /// @param direct whether requests go to the engine or service instead of an entry
    /// @param seed decides all texts and keys
    request_maker(workload_class source, bool direct, std::uint64_t seed);

    /// @return the next request
    prepared_request make();

    /// @return random time to the next request of an open loop with the rate of the class
    duration next_gap();

private:
    prepared_request make_chat();
    prepared_request make_call();
    std::string make_text(std::uint64_t seed, std::size_t length) const;

    workload_class source_;
    bool direct_;
    std::uint64_t seed_;
    std::uint64_t count_ = 0;
    std::mt19937_64 random_;
};

} // namespace medlaryoke::standins
