#include "transport/event_splitter.h"

#include <utility>

namespace medlaryoke::transport {

namespace {

/// @return offset after the blank line that ends the first event, empty if it has not ended
std::optional<std::size_t> event_end(std::string_view text)
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
    this->partial_ += data;
    std::size_t done = 0;
    while (const auto end = event_end(std::string_view(this->partial_).substr(done))) {
        this->note_id(std::string_view(this->partial_).substr(done, *end));
        done += *end;
        ++this->events_;
    }
    if (done == this->partial_.size()) {
        return std::exchange(this->partial_, {});
    }
    auto whole = this->partial_.substr(0, done);
    this->partial_.erase(0, done);
    return whole;
}

void event_splitter::note_id(std::string_view event)
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
