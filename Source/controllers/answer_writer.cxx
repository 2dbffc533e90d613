#include "controllers/answer_writer.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace medlaryoke::controllers {

namespace {

constexpr unsigned status_ok = 200;
/// Answers that are not streamed are buffered whole; an entry has memory for a few hundred answers
/// of this size.
constexpr std::size_t max_buffered_bytes = 16U * 1024U * 1024U;
/// A caller with more unsent data is disconnected; at 100 bytes per token this is 10,000 tokens.
constexpr std::size_t max_unsent_bytes = 1024U * 1024U;

/// Returns whether a header is forwarded; headers about the connection with the upstream are not.
bool is_forwarded(const transport::http_header& header)
{
    constexpr std::array<std::string_view, 7> connection_headers{
        "connection", "content-length",    "keep-alive", "te",
        "trailer",    "transfer-encoding", "upgrade"};
    const std::vector<transport::http_header> single{header};
    return std::ranges::none_of(connection_headers, [&single](std::string_view name) {
        return !transport::find_header(single, name).empty();
    });
}

/// Adds the field `outcome` to the text of a JSON object; leaves other text unchanged.
void add_outcome_field(std::string& body)
{
    constexpr std::string_view space = " \t\r\n";
    const auto open = body.find_first_not_of(space);
    if (open == std::string::npos || body[open] != '{') {
        return;
    }
    const auto next = body.find_first_not_of(space, open + 1);
    const bool empty = next == std::string::npos || body[next] == '}';
    body.insert(open + 1, empty ? R"("outcome":"answered")" : R"("outcome":"answered",)");
}

} // namespace

answer_writer::answer_writer(std::shared_ptr<transport::response_stream> response,
                             std::string request_id, bool stream, bool json_answer)
    : response_(std::move(response)), request_id_(std::move(request_id)), stream_(stream),
      json_answer_(json_answer)
{
}

void answer_writer::set_head(const transport::http_head& head)
{
    this->head_.status = head.status;
    this->head_.headers.clear();
    std::ranges::copy_if(head.headers, std::back_inserter(this->head_.headers), is_forwarded);
}

std::string answer_writer::append_data(const std::string& data)
{
    this->buffer_ += data;
    if (this->buffer_.size() > max_buffered_bytes) {
        return fmt::format("the answer exceeds {} bytes", max_buffered_bytes);
    }
    if (!this->stream_ || this->head_.status != status_ok) {
        return {};
    }
    auto events = this->take_complete_events();
    if (events.empty()) {
        return {};
    }
    this->start();
    const auto unsent = this->response_->write(std::move(events));
    if (unsent > max_unsent_bytes) {
        return fmt::format("the caller reads too slowly, {} bytes are unsent", unsent);
    }
    return {};
}

void answer_writer::finish()
{
    if (this->stream_ && this->head_.status == status_ok) {
        this->start();
        if (!this->buffer_.empty()) {
            this->response_->write(std::exchange(this->buffer_, {}) + "\n\n");
        }
        this->write_outcome(outcome::answered);
        return;
    }
    if (this->json_answer_) {
        add_outcome_field(this->buffer_);
    }
    this->head_.headers.push_back({std::string(outcome_header), "answered"});
    this->head_.headers.push_back({std::string(request_id_header), this->request_id_});
    this->response_->respond({std::move(this->head_), std::move(this->buffer_)});
}

void answer_writer::fail(const request_failure& failure)
{
    if (!this->started_) {
        this->response_->respond(make_failure_response(failure, this->request_id_));
        return;
    }
    this->response_->write(
        fmt::format("event: error\ndata: {}\n\n", make_failure_body(failure, this->request_id_)));
    this->write_outcome(failure.result);
}

void answer_writer::reset()
{
    this->head_ = {};
    this->buffer_.clear();
}

void answer_writer::abort()
{
    this->response_->abort();
}

void answer_writer::start()
{
    if (std::exchange(this->started_, true)) {
        return;
    }
    auto head = this->head_;
    head.headers.push_back({std::string(outcome_header), "streaming"});
    head.headers.push_back({std::string(request_id_header), this->request_id_});
    this->response_->start(std::move(head));
}

void answer_writer::write_outcome(outcome value)
{
    this->response_->write(
        fmt::format("event: outcome\ndata: {{\"outcome\":\"{}\",\"request_id\":\"{}\"}}\n\n",
                    to_string(value), this->request_id_));
    this->response_->finish();
}

std::string answer_writer::take_complete_events()
{
    const std::string_view text = this->buffer_;
    const auto after = [text](std::string_view end) {
        const auto at = text.rfind(end);
        return at == std::string_view::npos ? 0 : at + end.size();
    };
    const auto length = std::max(after("\n\n"), after("\n\r\n"));
    auto events = this->buffer_.substr(0, length);
    this->buffer_.erase(0, length);
    return events;
}

} // namespace medlaryoke::controllers
