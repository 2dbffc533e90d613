#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "transport/http_server.h"

namespace medlaryoke::fakes {

/// Records a reply so that a test can inspect it.
class fake_response_stream final : public transport::response_stream {
public:
    void respond(transport::http_response response) override
    {
        this->start(std::move(response.head));
        this->body += response.body;
        this->finish();
    }

    void start(transport::http_head started) override { this->head = std::move(started); }

    std::size_t write(std::string data) override
    {
        this->body += data;
        return this->unsent_bytes;
    }

    void finish() override { ++this->finish_count; }

    void abort() override { this->aborted = true; }

    void on_closed(std::function<void()> fn) override { this->closed = std::move(fn); }

    /// @return the value of the `Medlaryoke-Outcome` header; empty if there is none
    [[nodiscard]] std::string outcome() const
    {
        return this->head
                   ? std::string(transport::find_header(this->head->headers, "Medlaryoke-Outcome"))
                   : "";
    }

    std::optional<transport::http_head> head;
    std::string body;
    int finish_count = 0; ///< number of calls of finish()
    bool aborted = false;
    std::size_t unsent_bytes = 0; ///< bytes that write() reports as not yet sent
    /// Set by on_closed(); a test calls it to simulate that the caller closed the connection.
    std::function<void()> closed;
};

} // namespace medlaryoke::fakes
