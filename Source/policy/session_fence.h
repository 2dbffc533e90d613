#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace medlaryoke::policy {

/// Result of opening a session.
enum class session_opening {
    opened,      ///< the session is now the current session of its entry
    fenced,      ///< the entry has already opened a newer session
    no_capacity, ///< the maximum number of entry incarnations is reached
};

/// Decides at an agent which frames of entries are accepted: only new dispatches of the current
/// session of an entry. For each entry incarnation it stores the highest session number and the
/// highest dispatch id received. An entry sends dispatch ids in increasing order and a connection
/// preserves the order, so an id above the highest received id has not been received. Once a newer
/// session is open, such a dispatch of an older session is refused if it still arrives. Entry
/// incarnations are never removed, because a frame may arrive arbitrarily late. Not thread safe.
class session_fence {
public:
    /// Lasts for 20 years and takes 3 MB if 8 entries connect to an agent and each of them restarts
    /// once a day.
    static constexpr std::size_t default_max_entries = 65'536;

    /// @param max_entries maximum number of entry incarnations that are stored
    explicit session_fence(std::size_t max_entries = default_max_entries);

    /// Opens a session and fences all sessions of the entry with lower numbers.
    /// @param entry_incarnation incarnation of the entry
    /// @param session_number number of the session; the current session may be opened again
    /// @return whether the session is now the current session
    session_opening open(std::uint64_t entry_incarnation, std::uint32_t session_number);

    /// Decides whether a dispatch is accepted, and records its id if it is.
    /// @param entry_incarnation incarnation of the entry
    /// @param session_number session number in the dispatch
    /// @param dispatch_id id of the dispatch
    /// @return false if the session is not the current one or the dispatch is a duplicate
    bool receive(std::uint64_t entry_incarnation, std::uint32_t session_number,
                 std::uint64_t dispatch_id);

    /// @param entry_incarnation incarnation of the entry
    /// @param session_number number of a session
    /// @return whether the session is the current session of the entry
    [[nodiscard]] bool is_current(std::uint64_t entry_incarnation,
                                  std::uint32_t session_number) const;

    /// @param entry_incarnation incarnation of the entry
    /// @param dispatch_id id of a dispatch that was sent in a session that is now fenced
    /// @return whether the dispatch was not received; if so, it will not be accepted later either
    [[nodiscard]] bool never_received(std::uint64_t entry_incarnation,
                                      std::uint64_t dispatch_id) const;

    /// @return number of entry incarnations stored
    [[nodiscard]] std::size_t size() const { return this->entries_.size(); }

private:
    struct entry_state {
        std::uint32_t session = 0; ///< highest session number, which is the current session
        std::uint64_t highest_dispatch_id = 0;
    };

    std::size_t max_entries_;
    std::unordered_map<std::uint64_t, entry_state> entries_;
};

} // namespace medlaryoke::policy
