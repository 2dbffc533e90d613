#include "StandIns/answer_check.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "transport/http_message.h"

namespace medlaryoke::standins {

namespace {

using json = nlohmann::json;

constexpr unsigned status_ok = 200;

/// @return the string at a JSON pointer; empty if there is none
std::string text_at(const json& body, const std::string& pointer)
{
    const json::json_pointer path(pointer);
    return body.contains(path) && body[path].is_string() ? body[path].get<std::string>()
                                                         : std::string{};
}

} // namespace

answer_check::answer_check(std::string expected, bool is_chat, bool must_state_outcome)
    : expected_(std::move(expected)), is_chat_(is_chat), must_state_outcome_(must_state_outcome),
      reader_(
          [this](const std::string& name, const std::string& data) { this->add_event(name, data); })
{
}

void answer_check::add_head(const transport::http_head& head)
{
    this->status_ = head.status;
    this->is_event_stream_ =
        transport::find_header(head.headers, "Content-Type").starts_with("text/event-stream");
    this->stated_outcome_ = transport::find_header(head.headers, "Medlaryoke-Outcome");
    if (this->stated_outcome_ == "streaming") {
        this->stated_outcome_.clear();
    }
}

std::size_t answer_check::add_data(std::string_view data)
{
    this->new_tokens_ = 0;
    if (this->is_event_stream_ && this->status_ == status_ok) {
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
        this->received_done_ = true;
        return;
    }
    const auto body = json::parse(data, nullptr, false);
    if (name == "outcome") {
        this->stated_outcome_ = body.is_object() ? text_at(body, "/outcome") : data;
        return;
    }
    if (name == "error" && this->stated_outcome_.empty()) {
        this->stated_outcome_ = body.is_object() ? text_at(body, "/outcome") : "unknown";
        return;
    }
    auto token = body.is_object() ? text_at(body, "/choices/0/delta/content") : std::string{};
    if (!token.empty()) {
        ++this->new_tokens_;
        this->streamed_text_ += token;
    }
}

std::string answer_check::outcome() const
{
    if (this->stated_outcome_ == "not-run" || this->stated_outcome_ == "unknown") {
        return this->stated_outcome_;
    }
    if (this->status_ != status_ok) {
        return fmt::format("status_{}", this->status_);
    }
    if (this->is_event_stream_) {
        if (!this->received_done_) {
            return "incomplete";
        }
        return this->compare_answer(this->streamed_text_);
    }
    return this->body_outcome();
}

std::string answer_check::body_outcome() const
{
    const auto body = json::parse(this->body_, nullptr, false);
    if (!body.is_object()) {
        return "incomplete";
    }
    return this->compare_answer(
        text_at(body, this->is_chat_ ? "/choices/0/message/content" : "/body_digest"));
}

std::string answer_check::compare_answer(const std::string& answer) const
{
    if (answer != this->expected_) {
        return "wrong_answer";
    }
    return this->must_state_outcome_ && this->stated_outcome_ != "answered" ? "no_outcome"
                                                                            : "answered";
}

std::string answer_check::failure_outcome(const transport::http_failure& failure)
{
    if (!failure.maybe_sent) {
        return "not_sent";
    }
    return failure.kind == error_kind::deadline_exceeded ? "timeout" : "broken";
}

} // namespace medlaryoke::standins
