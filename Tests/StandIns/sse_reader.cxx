#include "StandIns/sse_reader.h"

namespace medlaryoke::standins {

void sse_reader::add(std::string_view bytes)
{
    this->unparsed_ += bytes;
    std::size_t begin = 0;
    for (auto end = this->unparsed_.find('\n'); end != std::string::npos;
         end = this->unparsed_.find('\n', begin)) {
        auto line = std::string_view(this->unparsed_).substr(begin, end - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        this->parse_line(line);
        begin = end + 1;
    }
    this->unparsed_.erase(0, begin);
}

void sse_reader::parse_line(std::string_view line)
{
    const auto field_value = [line](std::size_t prefix_length) {
        auto text = line.substr(prefix_length);
        if (text.starts_with(' ')) {
            text.remove_prefix(1);
        }
        return std::string(text);
    };
    constexpr std::string_view event_field = "event:";
    constexpr std::string_view data_field = "data:";
    if (line.empty()) {
        if (this->has_fields_) {
            this->on_event_(this->event_name_, this->event_data_);
        }
        this->has_fields_ = false;
        this->event_name_.clear();
        this->event_data_.clear();
    }
    else if (line.starts_with(event_field)) {
        this->has_fields_ = true;
        this->event_name_ = field_value(event_field.size());
    }
    else if (line.starts_with(data_field)) {
        this->event_data_ +=
            (this->event_data_.empty() ? "" : "\n") + field_value(data_field.size());
        this->has_fields_ = true;
    }
}

} // namespace medlaryoke::standins
