#include "StandIns/answer_check.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "transport/http_message.h"

namespace medlaryoke::standins {

namespace {

using json = nlohmann::json;

constexpr unsigned status_ok = 200;

/// Returns the text at a path of members and positions, empty if it is missing.
std::string text_at(const json& body, const std::string& pointer)
{
    const json::json_pointer path(pointer);
    return body.contains(path) && body[path].is_string() ? body[path].get<std::string>()
                                                         : std::string{};
}

} // namespace

answer_check::answer_check(std::string expected, bool is_chat, bool from_entry)
    : expected_(std::move(expected)), is_chat_(is_chat), from_entry_(from_entry),
      reader_(
          [this](const std::string& name, const std::string& data) { this->add_event(name, data); })
{
}

void answer_check::add_head(const transport::http_head& head)
{
    this->status_ = head.status;
    this->event_stream_ =
        transport::find_header(head.headers, "Content-Type").starts_with("text/event-stream");
    this->outcome_ = transport::find_header(head.headers, "Medlaryoke-Outcome");
    if (this->outcome_ == "streaming") {
        this->outcome_.clear();
    }
}

std::size_t answer_check::add_data(std::string_view data)
{
    this->new_tokens_ = 0;
    if (this->event_stream_ && this->status_ == status_ok) {
        this->reader_.add(data);
    }
    else {
        this->body_ += data;
    }
    return this->new_tokens_;
}

void answer_check::add_event(const std::string& name, const std::string& data)
{
    if (data == "[DONE]") {
        this->done_ = true;
        return;
    }
    const auto body = json::parse(data, nullptr, false);
    if (name == "outcome") {
        this->outcome_ = body.is_object() ? text_at(body, "/outcome") : data;
        return;
    }
    if (name == "error" && this->outcome_.empty()) {
        this->outcome_ = body.is_object() ? text_at(body, "/outcome") : "unknown";
        return;
    }
    auto token = body.is_object() ? text_at(body, "/choices/0/delta/content") : std::string{};
    if (!token.empty()) {
        ++this->new_tokens_;
        this->text_ += token;
    }
}

std::string answer_check::end() const
{
    if (this->outcome_ == "not-run" || this->outcome_ == "unknown") {
        return this->outcome_;
    }
    if (this->status_ != status_ok) {
        return fmt::format("status_{}", this->status_);
    }
    if (this->event_stream_) {
        if (!this->done_) {
            return "incomplete";
        }
        return this->compare(this->text_);
    }
    return this->end_body();
}

std::string answer_check::end_body() const
{
    const auto body = json::parse(this->body_, nullptr, false);
    if (!body.is_object()) {
        return "incomplete";
    }
    return this->compare(
        text_at(body, this->is_chat_ ? "/choices/0/message/content" : "/body_digest"));
}

std::string answer_check::compare(const std::string& answer) const
{
    if (answer != this->expected_) {
        return "wrong_answer";
    }
    return this->from_entry_ && this->outcome_ != "answered" ? "no_outcome" : "answered";
}

std::string answer_check::fail(const transport::http_failure& failure)
{
    if (!failure.maybe_sent) {
        return "not_sent";
    }
    return failure.kind == error_kind::deadline_exceeded ? "timeout" : "broken";
}

} // namespace medlaryoke::standins
