#include "filters/handover_executor.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/document_fields.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "base/json_text.h"
#include "controllers/outcome.h"
#include "filters/deadline_filter.h"
#include "filters/idempotency_filter.h"
#include "filters/priority_filter.h"
#include "filters/syntax_filter.h"
#include "filters/target_filter.h"
#include "model/json_document.h"

namespace medlaryoke::filters {

namespace {

using controllers::work_result;
using nlohmann::json;

constexpr std::uint64_t max_timeout_ms = 24ULL * 3600 * 1000;
/// Of a longer reply body, only the size and the digest are recorded.
constexpr std::size_t max_recorded_body_bytes = 64U * 1024U;

struct work_payload {
    std::string caller;
    std::string priority;
    std::uint64_t timeout_ms = 0;
    transport::http_request request;
};

/// @return the body of the request: a JSON string as its text, any other value as JSON
std::string read_body(const document_node* node, const std::string& payload)
{
    if (node == nullptr) {
        return "";
    }
    return node->form == scalar_form::text && node->shape == document_node::node_shape::scalar
               ? node->scalar
               : json::parse(payload).at("body").dump();
}

work_payload parse_payload(const std::string& payload)
{
    const auto document = model::read_json(payload, "payload");
    document_fields fields(document, "");
    work_payload work;
    fields.text("caller", work.caller, text_rule::name, presence::required);
    fields.text("method", work.request.method, text_rule::name, presence::required);
    fields.text("path", work.request.target, text_rule::any, presence::required);
    fields.text("priority", work.priority, text_rule::name, presence::optional);
    fields.whole("timeout_ms", work.timeout_ms, {1, max_timeout_ms}, presence::optional);
    work.request.body = read_body(fields.find("body", presence::optional), payload);
    fields.finish();
    return work;
}

/// Collects a reply and converts it to the result of the work.
class result_collector final : public transport::response_stream {
public:
    explicit result_collector(std::function<void(work_result)> done) : done_(std::move(done)) {}

    void respond(transport::http_response response) override
    {
        this->start(std::move(response.head));
        this->write(std::move(response.body));
        this->finish();
    }

    void start(transport::http_head head) override
    {
        const std::scoped_lock lock(this->mutex_);
        this->head_ = std::move(head);
    }

    std::size_t write(std::string data) override
    {
        const std::scoped_lock lock(this->mutex_);
        this->body_ += data;
        return 0;
    }

    void finish() override
    {
        if (!this->ended_.exchange(true)) {
            this->done_(this->make_result());
        }
    }

    void abort() override
    {
        if (!this->ended_.exchange(true)) {
            this->done_(controllers::work_unknown{"the answer was broken off"});
        }
    }

    /// Does nothing: there is no client whose disconnect could cancel the work.
    void on_closed(std::function<void()> fn) override { (void)fn; }

private:
    work_result make_result()
    {
        const std::scoped_lock lock(this->mutex_);
        const auto outcome =
            transport::find_header(this->head_.headers, controllers::outcome_header);
        if (outcome == controllers::to_string(controllers::outcome::not_run)) {
            return controllers::work_not_run{this->body_};
        }
        if (outcome != controllers::to_string(controllers::outcome::answered)) {
            return controllers::work_unknown{this->body_};
        }
        json result{{"outcome", outcome},
                    {"status", this->head_.status},
                    {"content_type", transport::find_header(this->head_.headers, "Content-Type")}};
        if (this->body_.size() <= max_recorded_body_bytes) {
            result["body"] = this->body_;
        }
        else {
            result["body_bytes"] = this->body_.size();
            result["body_sha256"] = sha256_hex(this->body_);
        }
        return controllers::work_done{to_json_text(result)};
    }

    std::function<void(work_result)> done_;
    std::atomic<bool> ended_ = false;
    std::mutex mutex_;
    transport::http_head head_;
    std::string body_;
};

/// Makes the filter chain of a caller's request without authentication, because the old router
/// names the caller, and without admission.
filter_chain make_chain(const handover_executor_options& options)
{
    std::vector<std::unique_ptr<request_filter>> filters;
    filters.push_back(std::make_unique<syntax_filter>(options.max_body_bytes));
    filters.push_back(std::make_unique<priority_filter>());
    filters.push_back(std::make_unique<target_filter>());
    filters.push_back(std::make_unique<deadline_filter>(options.default_timeout));
    filters.push_back(std::make_unique<idempotency_filter>());
    return filter_chain(std::move(filters));
}

} // namespace

handover_executor::handover_executor(const clock_source& clock, handover_executor_options options)
    : clock_(clock), options_(std::move(options)), chain_(make_chain(this->options_))
{
}

void handover_executor::check(const std::string& payload)
{
    parse_payload(payload);
}

void handover_executor::execute(const std::string& work_id, const std::string& payload,
                                const std::function<void(work_result)>& done) const
{
    request_context context;
    context.config = this->options_.config();
    context.now = this->clock_.now();
    context.work.request_id = make_unique_id("req");
    context.work.received = context.now;
    try {
        auto work = parse_payload(payload);
        const auto caller = context.config->callers.find(work.caller);
        if (caller == context.config->callers.end()) {
            done(controllers::work_not_run{fmt::format("unknown caller \"{}\"", work.caller)});
            return;
        }
        context.work.caller = caller->first;
        context.work.organisation = caller->second.spec.organisation;
        context.work.share = caller->second.spec.share;
        context.request = std::move(work.request);
        context.request.headers.push_back({"Content-Type", "application/json"});
        // The prefix keeps these keys apart from the keys that callers choose.
        context.request.headers.push_back({"Idempotency-Key", "handover/" + work_id});
        if (!work.priority.empty()) {
            context.request.headers.push_back({"Medlaryoke-Priority", work.priority});
        }
        if (work.timeout_ms > 0) {
            context.request.headers.push_back(
                {"Medlaryoke-Timeout", fmt::to_string(work.timeout_ms)});
        }
    }
    catch (const error& e) {
        done(controllers::work_not_run{e.what()});
        return;
    }
    const auto result = this->chain_.apply(context);
    if (const auto* refusal = std::get_if<refuse>(&result)) {
        done(controllers::work_not_run{refusal->message});
        return;
    }
    if (context.work.stream) {
        done(controllers::work_not_run{"the work asks for a stream"});
        return;
    }
    this->options_.submit(std::move(context.work), std::make_shared<result_collector>(done));
}

} // namespace medlaryoke::filters
