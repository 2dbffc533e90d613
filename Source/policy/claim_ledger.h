#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "base/digest.h"
#include "model/wire.pb.h"

namespace medlaryoke::policy {

/// Wall-clock time with the resolution that claims and keys use.
using unix_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Whether an idempotency key may be claimed.
enum class key_check_result {
    accepted,  ///< may be claimed
    expired,   ///< created longer ago than the retention, or too far in the future
    malformed, ///< starts with `mk1-` but is not of the form `mk1-<unix ms>-<random>`
};

/// Reads the creation time of a key of the form `mk1-<unix ms>-<random>`.
/// @param key the idempotency key
/// @return the creation time; empty for keys of other forms
std::optional<unix_time> creation_time_of_key(std::string_view key);

/// Checks whether a key may be claimed. Keys that don't start with `mk1-` are always accepted.
/// @param key the idempotency key
/// @param now the current time
/// @param retention how long claims are kept
/// @return the result of the check
key_check_result check_key(std::string_view key, unix_time now,
                           std::chrono::milliseconds retention);

/// State of a claim after the records applied so far.
enum class claim_state {
    unknown,     ///< the claim was not read yet, was released, or has expired
    won,         ///< the claim holds the key; its owner may run the request
    in_progress, ///< another claim holds the key and has not completed
    completed,   ///< another claim holds the key and has completed; see completion()
    conflict,    ///< another claim holds the key for a different request
};

/// State of one claim partition, built by applying its records in log order. For each key the first
/// claim in log order that was not released wins, so every reader of the same records gets the same
/// result. The claims of a key expire when the key is claimed again more than the retention later.
/// The clocks of agents may differ by up to half an hour. Not thread safe.
class claim_ledger {
public:
    /// @param retention how long a claim is kept
    explicit claim_ledger(std::chrono::milliseconds retention);

    /// Applies one record; records that were applied before are skipped.
    /// @param offset offset of the record in the partition
    /// @param batch content of the record
    /// @param now the current time; only decides which memory is freed
    /// @return false if the record was skipped
    bool apply_record(std::uint64_t offset, const wire::claim_batch& batch, unix_time now);

    /// @param key digest of the key
    /// @param operation_id id of the operation that made the claim
    /// @return state of the claim
    [[nodiscard]] claim_state claim_state_of(const digest128& key,
                                             std::uint64_t operation_id) const;

    /// @param key digest of the key
    /// @param request_digest digest of the request that repeats the key
    /// @param now the current time
    /// @return the completion; null unless the key was completed for the same request within the
    /// retention
    [[nodiscard]] const wire::completion*
    completion(const digest128& key, std::uint64_t request_digest, unix_time now) const;

    /// Frees the memory of keys whose claims have expired for every agent, whatever its clock.
    /// @param now the current time
    void erase_expired_keys(unix_time now);

    /// @return offset of the last record applied; 0 before the first
    [[nodiscard]] std::uint64_t offset() const { return this->offset_; }

    /// @return number of keys in memory
    [[nodiscard]] std::size_t size() const { return this->keys_.size(); }

private:
    struct active_claim {
        std::uint64_t operation_id = 0;
        std::uint64_t request_digest = 0;
        unix_time created{};
    };

    struct key_state {
        /// Claims that were not released, in log order; the first one holds the key.
        std::deque<active_claim> claims;
        std::optional<wire::completion> completion;
        std::unordered_set<std::uint64_t> released; ///< operation ids, also of claims not read yet
        unix_time last_used{}; ///< creation of the newest claim or time of the last release
    };

    void apply_claim(const wire::claim& claim);
    void apply_completion(const wire::completion& completion);
    void apply_release(const wire::release& release, unix_time now);

    std::chrono::milliseconds retention_;
    std::uint64_t offset_ = 0;
    std::unordered_map<digest128, key_state> keys_;
    unix_time last_erase_{};
};

/// @param digest digest of a key
/// @return the 16 bytes that records contain, most significant first
std::string key_digest_bytes(const digest128& digest);

/// @param bytes 16 bytes from a record
/// @return the digest; empty if the length is wrong
std::optional<digest128> key_digest_from_bytes(std::string_view bytes);

} // namespace medlaryoke::policy
