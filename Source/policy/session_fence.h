#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace medlaryoke::policy {

enum class session_opening {
    opened,      ///< the session is the current one of its entry
    fenced,      ///< a newer session of the entry was opened before
    no_capacity, ///< too many entry incarnations are remembered
};

/// Decides at an agent which frames of which session count. For each entry incarnation it keeps
/// the highest session number and the highest dispatch id received. Dispatch ids of an entry grow
/// in the order in which they are sent, and a connection keeps the order, so an id above the
/// highest one received was never received; once a newer session is open it never can be.
/// Entry incarnations are never forgotten, because a frame may arrive arbitrarily late.
/// Not thread safe.
class session_fence {
public:
    /// About 8 entries connect to an agent and each is replaced about once a day, so that this
    /// lasts for 20 years in 3 MB.
    static constexpr std::size_t default_max_entries = 65'536;

    /// @param max_entries entry incarnations that can be remembered
    explicit session_fence(std::size_t max_entries = default_max_entries);

    /// Opens a session and fences all lower ones of the same entry.
    /// @param entry_incarnation the entry
    /// @param number the session; opening the current one again is allowed
    /// @return whether the session is now the current one
    session_opening open(std::uint64_t entry_incarnation, std::uint32_t number);

    /// Decides whether a dispatch counts as received, and remembers that it was.
    /// @param entry_incarnation the entry
    /// @param number the session that the dispatch names
    /// @param dispatch_id the dispatch
    /// @return false for an unopened or fenced session and for a repeated dispatch
    bool receive(std::uint64_t entry_incarnation, std::uint32_t number, std::uint64_t dispatch_id);

    /// @param entry_incarnation the entry
    /// @param number a session
    /// @return whether it is the current session of its entry
    [[nodiscard]] bool is_current(std::uint64_t entry_incarnation, std::uint32_t number) const;

    /// @param entry_incarnation the entry
    /// @param dispatch_id a dispatch sent in a session that is fenced by now
    /// @return true if the dispatch was not received; this is final
    [[nodiscard]] bool never_received(std::uint64_t entry_incarnation,
                                      std::uint64_t dispatch_id) const;

    /// @return entry incarnations remembered
    [[nodiscard]] std::size_t size() const { return this->entries_.size(); }

private:
    struct entry_mark {
        std::uint32_t session = 0;
        std::uint64_t highest_dispatch = 0;
    };

    std::size_t max_entries_;
    std::unordered_map<std::uint64_t, entry_mark> entries_;
};

} // namespace medlaryoke::policy
