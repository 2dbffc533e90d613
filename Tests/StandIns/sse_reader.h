#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace medlaryoke::standins {

/// Parses a stream of server-sent events. Not thread safe.
class sse_reader {
public:
    /// Called with the name of an event, empty if it has none, and its data.
    using event_handler = std::function<void(const std::string& name, const std::string& data)>;

    /// @param on_event called for each whole event
    explicit sse_reader(event_handler on_event) : on_event_(std::move(on_event)) {}

    /// @param bytes the next bytes of the stream, split at any position
    void add(std::string_view bytes);

private:
    void parse_line(std::string_view line);

    event_handler on_event_;
    std::string unparsed_; ///< start of a line whose end was not yet received
    std::string event_name_;
    std::string event_data_;
    bool has_fields_ = false;
};

} // namespace medlaryoke::standins
