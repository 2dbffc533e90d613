#include "StandIns/sse_reader.h"

namespace medlaryoke::standins {

void sse_reader::add(std::string_view bytes)
{
    this->rest_ += bytes;
    std::size_t begin = 0;
    for (auto end = this->rest_.find('\n'); end != std::string::npos;
         end = this->rest_.find('\n', begin)) {
        auto line = std::string_view(this->rest_).substr(begin, end - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        this->take_line(line);
        begin = end + 1;
    }
    this->rest_.erase(0, begin);
}

void sse_reader::take_line(std::string_view line)
{
    const auto value = [line](std::size_t prefix) {
        auto text = line.substr(prefix);
        if (text.starts_with(' ')) {
            text.remove_prefix(1);
        }
        return std::string(text);
    };
    constexpr std::string_view event_field = "event:";
    constexpr std::string_view data_field = "data:";
    if (line.empty()) {
        if (this->any_) {
            this->on_event_(this->name_, this->data_);
        }
        this->any_ = false;
        this->name_.clear();
        this->data_.clear();
    }
    else if (line.starts_with(event_field)) {
        this->any_ = true;
        this->name_ = value(event_field.size());
    }
    else if (line.starts_with(data_field)) {
        this->data_ += (this->data_.empty() ? "" : "\n") + value(data_field.size());
        this->any_ = true;
    }
}

} // namespace medlaryoke::standins
