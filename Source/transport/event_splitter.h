#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace medlaryoke::transport {

/// Cuts a `text/event-stream` body into whole events, so that a stream that breaks off in the
/// middle of an event can go on with that event from another upstream.
class event_splitter {
public:
    /// Adds bytes of the body.
    /// @param data the bytes
    /// @return the whole events that are now complete, unchanged; may be empty
    std::string add(std::string_view data);

    /// @return id of the last whole event that had one
    [[nodiscard]] const std::optional<std::string>& last_id() const { return this->last_id_; }

    /// @return whether an event has begun and not ended
    [[nodiscard]] bool has_partial() const { return !this->partial_.empty(); }

    /// @return whole events so far
    [[nodiscard]] std::size_t events() const { return this->events_; }

    /// Drops the event that has begun, before another upstream goes on.
    void drop_partial() { this->partial_.clear(); }

private:
    void note_id(std::string_view event);

    std::string partial_;
    std::optional<std::string> last_id_;
    std::size_t events_ = 0;
};

} // namespace medlaryoke::transport
