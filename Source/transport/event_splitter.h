#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace medlaryoke::transport {

/// Splits a `text/event-stream` body into complete events. If a stream ends in the middle of an
/// event, another upstream can then resume it with that event.
class event_splitter {
public:
    /// Adds bytes of the body.
    /// @param data the bytes
    /// @return the unchanged bytes of the events that are complete now and were not returned before
    std::string add(std::string_view data);

    /// @return id of the last complete event that had one, empty if there is none
    [[nodiscard]] const std::optional<std::string>& last_id() const { return this->last_id_; }

    /// @return whether the body ends with an incomplete event
    [[nodiscard]] bool has_partial_event() const { return !this->partial_.empty(); }

    /// @return bytes of the incomplete event
    [[nodiscard]] std::size_t partial_size() const { return this->partial_.size(); }

    /// @return number of complete events so far
    [[nodiscard]] std::size_t event_count() const { return this->event_count_; }

    /// Drops the incomplete event, before another upstream resumes the stream.
    void drop_partial_event() { this->partial_.clear(); }

private:
    void record_id(std::string_view event);

    std::string partial_;
    std::optional<std::string> last_id_;
    std::size_t event_count_ = 0;
};

} // namespace medlaryoke::transport
