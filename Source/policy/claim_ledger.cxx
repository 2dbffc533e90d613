#include "policy/claim_ledger.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace medlaryoke::policy {

namespace {

constexpr std::string_view key_prefix = "mk1-";

/// A key is still accepted if its clock is ahead by at most this much.
constexpr std::chrono::minutes max_clock_lead{5};

/// A key is erased this long after its retention, so that an agent whose clock is behind still
/// finds it.
constexpr std::chrono::hours clock_skew_margin{1};
constexpr std::chrono::minutes erase_interval{1};

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t half_digest_bytes = 8;

unix_time from_unix_ms(std::uint64_t ms)
{
    constexpr auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return unix_time(std::chrono::milliseconds(static_cast<std::int64_t>(std::min(ms, largest))));
}

} // namespace

std::optional<unix_time> creation_time_of_key(std::string_view key)
{
    if (!key.starts_with(key_prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(key_prefix.size());
    std::int64_t ms = 0;
    const auto* const last = key.data() + key.size();
    const auto [end, ec] = std::from_chars(key.data(), last, ms);
    if (ec != std::errc() || ms < 0 || end == last || *end != '-' || end + 1 == last) {
        return std::nullopt;
    }
    return unix_time(std::chrono::milliseconds(ms));
}

key_check_result check_key(std::string_view key, unix_time now, std::chrono::milliseconds retention)
{
    if (!key.starts_with(key_prefix)) {
        return key_check_result::accepted;
    }
    const auto created = creation_time_of_key(key);
    if (!created) {
        return key_check_result::malformed;
    }
    // Adding to the key's creation time could overflow, so only `now` is shifted.
    if (*created > now + max_clock_lead || *created < now - retention) {
        return key_check_result::expired;
    }
    return key_check_result::accepted;
}

claim_ledger::claim_ledger(std::chrono::milliseconds retention) : retention_(retention) {}

bool claim_ledger::apply_record(std::uint64_t offset, const wire::claim_batch& batch, unix_time now)
{
    if (offset <= this->offset_) {
        return false;
    }
    this->offset_ = offset;
    for (const auto& entry : batch.entries()) {
        switch (entry.kind_case()) {
        case wire::claim_entry::kClaim:
            this->apply_claim(entry.claim());
            break;
        case wire::claim_entry::kCompletion:
            this->apply_completion(entry.completion());
            break;
        case wire::claim_entry::kRelease:
            this->apply_release(entry.release(), now);
            break;
        default:
            break;
        }
    }
    if (now - this->last_erase_ >= erase_interval) {
        this->erase_expired_keys(now);
    }
    return true;
}

claim_state claim_ledger::claim_state_of(const digest128& key, std::uint64_t operation_id) const
{
    const auto it = this->keys_.find(key);
    if (it == this->keys_.end()) {
        return claim_state::unknown;
    }
    const auto& claims = it->second.claims;
    const auto found = std::ranges::find(claims, operation_id, &active_claim::operation_id);
    if (found == claims.end()) {
        return claim_state::unknown;
    }
    if (found == claims.begin()) {
        return claim_state::won;
    }
    if (found->request_digest != claims.front().request_digest) {
        return claim_state::conflict;
    }
    return it->second.completion ? claim_state::completed : claim_state::in_progress;
}

const wire::completion* claim_ledger::completion(const digest128& key, std::uint64_t request_digest,
                                                 unix_time now) const
{
    const auto it = this->keys_.find(key);
    if (it == this->keys_.end() || it->second.claims.empty()) {
        return nullptr;
    }
    const auto& holder = it->second.claims.front();
    if (holder.request_digest != request_digest || holder.created < now - this->retention_) {
        return nullptr;
    }
    const auto& completion = it->second.completion;
    return completion ? &*completion : nullptr;
}

void claim_ledger::erase_expired_keys(unix_time now)
{
    this->last_erase_ = now;
    const auto oldest = now - this->retention_ - clock_skew_margin;
    std::erase_if(this->keys_, [&](const auto& item) { return item.second.last_used < oldest; });
}

void claim_ledger::apply_claim(const wire::claim& claim)
{
    const auto key = key_digest_from_bytes(claim.key_digest());
    if (!key) {
        return;
    }
    auto& state = this->keys_[*key];
    const auto created = from_unix_ms(claim.created_unix_ms());
    if (!state.claims.empty() && state.claims.front().created < created - this->retention_) {
        state.claims.clear();
        state.completion.reset();
    }
    if (state.released.contains(claim.operation_id()) ||
        std::ranges::find(state.claims, claim.operation_id(), &active_claim::operation_id) !=
            state.claims.end()) {
        return;
    }
    state.last_used = std::max(state.last_used, created);
    state.claims.push_back({.operation_id = claim.operation_id(),
                            .request_digest = claim.request_digest(),
                            .created = created});
}

void claim_ledger::apply_completion(const wire::completion& completion)
{
    const auto key = key_digest_from_bytes(completion.key_digest());
    const auto it = key ? this->keys_.find(*key) : this->keys_.end();
    if (it == this->keys_.end() || it->second.completion || it->second.claims.empty() ||
        it->second.claims.front().operation_id != completion.operation_id()) {
        return;
    }
    it->second.completion = completion;
}

void claim_ledger::apply_release(const wire::release& release, unix_time now)
{
    const auto key = key_digest_from_bytes(release.key_digest());
    if (!key) {
        return;
    }
    auto& state = this->keys_[*key];
    state.released.insert(release.operation_id());
    state.last_used = std::max(state.last_used, now);
    if (state.completion && state.claims.front().operation_id == release.operation_id()) {
        return;
    }
    std::erase_if(state.claims, [&](const active_claim& claim) {
        return claim.operation_id == release.operation_id();
    });
}

std::string key_digest_bytes(const digest128& digest)
{
    std::string bytes;
    for (const auto half : {digest.high, digest.low}) {
        for (std::size_t n = 0; n < half_digest_bytes; ++n) {
            const auto shift = bits_per_byte * (half_digest_bytes - 1 - n);
            bytes.push_back(static_cast<char>((half >> shift) & 0xffU));
        }
    }
    return bytes;
}

std::optional<digest128> key_digest_from_bytes(std::string_view bytes)
{
    if (bytes.size() != 2 * half_digest_bytes) {
        return std::nullopt;
    }
    const auto half = [&](std::size_t from) {
        std::uint64_t value = 0;
        for (const auto byte : bytes.substr(from, half_digest_bytes)) {
            value = (value << bits_per_byte) | static_cast<unsigned char>(byte);
        }
        return value;
    };
    return digest128{.high = half(0), .low = half(half_digest_bytes)};
}

} // namespace medlaryoke::policy
