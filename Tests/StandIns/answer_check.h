#pragma once

#include <string>
#include <string_view>

#include "StandIns/sse_reader.h"
#include "transport/http_client.h"

namespace medlaryoke::standins {

/// Collects one answer, compares it with the expected one and names the outcome of the request.
class answer_check {
public:
    /// @param expected text of a chat answer, or body digest of a service call
    /// @param is_chat true for a chat answer, false for a service call
    /// @param must_state_outcome whether the reply must state its outcome, as entries do
    answer_check(std::string expected, bool is_chat, bool must_state_outcome);
    answer_check(const answer_check&) = delete;
    answer_check& operator=(const answer_check&) = delete;
    answer_check(answer_check&&) = delete;
    answer_check& operator=(answer_check&&) = delete;
    ~answer_check() = default;

    /// @param head status and headers of the reply
    void add_head(const transport::http_head& head);

    /// @param data the next bytes of the body
    /// @return number of tokens in these bytes
    std::size_t add_data(std::string_view data);

    /// Called when the reply has ended.
    /// @return `answered`, `not-run`, `unknown`, `wrong_answer` for a whole answer with the wrong
    /// text, `incomplete` for a reply that ended properly without its whole answer, `no_outcome`
    /// for a whole answer of an entry that does not state its outcome, or `status_<n>`
    [[nodiscard]] std::string outcome() const;

    /// @param failure what the client reported
    /// @return `not_sent`, `timeout` or `broken`
    [[nodiscard]] static std::string failure_outcome(const transport::http_failure& failure);

    /// @return HTTP status of the reply; 0 before its head
    [[nodiscard]] unsigned status() const { return this->status_; }

private:
    void add_event(const std::string& name, const std::string& data);
    [[nodiscard]] std::string body_outcome() const;
    [[nodiscard]] std::string compare_answer(const std::string& answer) const;

    std::string expected_;
    bool is_chat_;
    bool must_state_outcome_;
    unsigned status_ = 0;
    bool is_event_stream_ = false;
    std::string stated_outcome_; ///< from the header or the outcome event
    std::string body_;
    std::string streamed_text_;
    bool received_done_ = false; ///< the event stream ended with `[DONE]`
    std::size_t new_tokens_ = 0; ///< tokens since add_data was called
    sse_reader reader_;
};

} // namespace medlaryoke::standins
