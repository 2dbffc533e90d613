#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "experts/lockstep_engine.h"
#include "policy/rank_order.h"

namespace medlaryoke::experts {

/// A coordinator's request to a rank: an optional order and the data to read after it.
struct rank_request {
    std::uint64_t token = 0;                 ///< fencing token of the coordinator
    std::uint64_t epoch = 0;                 ///< epoch of the group; only used with an order
    std::optional<policy::rank_order> order; ///< empty: only read
    bool with_counts = false;                ///< whether to read the token counts
    bool with_experts = false;               ///< whether to read which experts the rank holds
    /// The order as encode_order() returns it, if the same order goes to several ranks; may be
    /// null.
    std::shared_ptr<const std::string> encoded_order{};
};

/// A rank's reply. Parts that were not requested or not available are empty.
struct rank_reply {
    policy::order_result result = policy::order_result::done;
    std::optional<policy::rank_report> report;        ///< read after the order
    std::optional<std::vector<std::uint64_t>> counts; ///< tokens by set and expert
    std::optional<held_experts> experts;              ///< experts that the rank holds
};

/// @return the request as protobuf bytes
std::string encode_rank_request(const rank_request& request);

/// @return the order as protobuf bytes, to be sent as part of a request
std::string encode_order(const policy::rank_order& order);

/// @return the request; empty if the bytes cannot be parsed
std::optional<rank_request> decode_rank_request(const std::string& bytes);

/// @return the reply as protobuf bytes
std::string encode_rank_reply(const rank_reply& reply);

/// @return the reply; empty if the bytes cannot be parsed
std::optional<rank_reply> decode_rank_reply(const std::string& bytes);

} // namespace medlaryoke::experts
