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

/// Wall-clock time, as written into claims and keys.
using unix_time = std::chrono::sys_time<std::chrono::milliseconds>;

enum class key_verdict {
    accepted,
    expired,   ///< created longer ago than claims are remembered, or too far in the future
    malformed, ///< starts with `mk1-` but is not of the form `mk1-<unix ms>-<random>`
};

/// Reads the creation time of a key of the form `mk1-<unix ms>-<random>`.
/// @param key the idempotency key
/// @return the time; empty for other keys
std::optional<unix_time> creation_time_of_key(std::string_view key);

/// Decides whether a key may be claimed at all. Keys of other forms are always accepted.
/// @param key the idempotency key
/// @param now the current time
/// @param retention how long claims are remembered
/// @return the verdict
key_verdict check_key(std::string_view key, unix_time now, std::chrono::milliseconds retention);

/// How a claim stands after the records read so far.
enum class claim_standing {
    unknown,     ///< the claim was not read yet, or was released
    won,         ///< it may run the request
    in_progress, ///< another claim holds the key and has not completed
    completed,   ///< the key was completed under another claim, see completion()
    conflict,    ///< the key is held for a different request
};

/// Folds the records of one claim partition. For each key the first claim in log order that was
/// not released wins; every reader of the same records gets the same result. A claim is forgotten
/// when a claim of the same key is created more than the retention later. Clocks of agents may
/// differ by up to half an hour. Not thread safe.
class claim_ledger {
public:
    /// @param retention how long a claim is remembered
    explicit claim_ledger(std::chrono::milliseconds retention);

    /// Folds one record; records that were folded before are skipped.
    /// @param offset offset of the record in the partition
    /// @param batch content of the record
    /// @param now the current time, only used to free memory
    /// @return false if the record was skipped
    bool fold(std::uint64_t offset, const wire::claim_batch& batch, unix_time now);

    /// @param key digest of the key
    /// @param operation_id the claim
    /// @return how the claim stands
    [[nodiscard]] claim_standing standing(const digest128& key, std::uint64_t operation_id) const;

    /// @param key digest of the key
    /// @param request_digest digest of the request that repeats the key
    /// @param now the current time
    /// @return the completion, if the key was completed for the same request and is remembered
    [[nodiscard]] const wire::completion*
    completion(const digest128& key, std::uint64_t request_digest, unix_time now) const;

    /// Frees the memory of keys that no claim can meet any more.
    /// @param now the current time
    void trim(unix_time now);

    /// @return offset of the last record folded; 0 before the first
    [[nodiscard]] std::uint64_t offset() const { return this->offset_; }

    /// @return keys remembered
    [[nodiscard]] std::size_t size() const { return this->keys_.size(); }

private:
    struct live_claim {
        std::uint64_t operation_id = 0;
        std::uint64_t request_digest = 0;
        unix_time created{};
    };

    struct key_state {
        std::deque<live_claim> claims; ///< not released, in log order; the first one holds the key
        std::optional<wire::completion> completion;
        std::unordered_set<std::uint64_t> released; ///< also of claims that were not read yet
        unix_time touched{};                        ///< latest time at which it mattered
    };

    void fold_claim(const wire::claim& claim);
    void fold_completion(const wire::completion& completion);
    void fold_release(const wire::release& release, unix_time now);

    std::chrono::milliseconds retention_;
    std::uint64_t offset_ = 0;
    std::unordered_map<digest128, key_state> keys_;
    unix_time trimmed_{};
};

/// @param digest digest of a key
/// @return the 16 bytes written into records
std::string key_digest_bytes(const digest128& digest);

/// @param bytes 16 bytes from a record
/// @return the digest; empty if the length is wrong
std::optional<digest128> key_digest_from_bytes(std::string_view bytes);

} // namespace medlaryoke::policy
