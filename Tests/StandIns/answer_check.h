#pragma once

#include <string>
#include <string_view>

#include "StandIns/sse_reader.h"
#include "transport/http_client.h"

namespace medlaryoke::standins {

/// Collects one answer and decides how the request went.
class answer_check {
public:
    /// @param expected text of a chat answer, or body digest of a service call
    /// @param is_chat which of the two
    /// @param from_entry whether the reply must state its outcome
    answer_check(std::string expected, bool is_chat, bool from_entry);
    answer_check(const answer_check&) = delete;
    answer_check& operator=(const answer_check&) = delete;
    answer_check(answer_check&&) = delete;
    answer_check& operator=(answer_check&&) = delete;
    ~answer_check() = default;

    /// @param head status and headers of the reply
    void add_head(const transport::http_head& head);

    /// @param data the next bytes of the body
    /// @return tokens that came with these bytes
    std::size_t add_data(std::string_view data);

    /// @return `answered`, `not-run`, `unknown`, `wrong_answer` for a whole answer with the wrong
    /// text, `incomplete` for a reply that ended properly without its whole answer, `no_outcome`
    /// for a whole answer of an entry that does not state its outcome, or `status_<n>`
    [[nodiscard]] std::string end() const;

    /// @param failure what the client reported
    /// @return `not_sent`, `timeout` or `broken`
    [[nodiscard]] static std::string fail(const transport::http_failure& failure);

    [[nodiscard]] unsigned status() const { return this->status_; }

private:
    void add_event(const std::string& name, const std::string& data);
    [[nodiscard]] std::string end_body() const;
    [[nodiscard]] std::string compare(const std::string& answer) const;

    std::string expected_;
    bool is_chat_;
    bool from_entry_;
    unsigned status_ = 0;
    bool event_stream_ = false;
    std::string outcome_; ///< from the header or the outcome event
    std::string body_;
    std::string text_;
    bool done_ = false;
    std::size_t new_tokens_ = 0;
    sse_reader reader_;
};

} // namespace medlaryoke::standins
