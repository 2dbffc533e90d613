#include "transport/event_splitter.h"

#include <algorithm>
#include <utility>

namespace medlaryoke::transport {

namespace {

/// @return offset behind the blank line that ends the first event, empty if the event is incomplete
std::optional<std::size_t> find_event_end(std::string_view text)
{
    for (auto at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (text.substr(at + 1).starts_with('\n')) {
            return at + 2;
        }
        if (text.substr(at + 1).starts_with("\r\n")) {
            return at + 3;
        }
    }
    return std::nullopt;
}

} // namespace

std::string event_splitter::add(std::string_view data)
{
    // The blank line may begin in the bytes that came before.
    constexpr std::size_t blank_line_overlap = 2;
    auto searched = this->partial_.size() - std::min(this->partial_.size(), blank_line_overlap);
    this->partial_ += data;
    std::size_t end_of_events = 0;
    while (const auto end = find_event_end(std::string_view(this->partial_).substr(searched))) {
        const auto event_end = searched + *end;
        this->record_id(
            std::string_view(this->partial_).substr(end_of_events, event_end - end_of_events));
        end_of_events = event_end;
        searched = event_end;
        ++this->event_count_;
    }
    if (end_of_events == this->partial_.size()) {
        return std::exchange(this->partial_, {});
    }
    auto complete = this->partial_.substr(0, end_of_events);
    this->partial_.erase(0, end_of_events);
    return complete;
}

void event_splitter::record_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        this->last_id_ = std::string(line);
    }
}

} // namespace medlaryoke::transport
