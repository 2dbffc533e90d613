#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Session/session_site.h"

using namespace medlaryoke;
using nlohmann::json;
using session::http_response;
using session::session_site;

namespace {

constexpr int caller_count = 6;

/// How the calls of a load ended. An outcome is the `Medlaryoke-Outcome` header, such as
/// `answered`, `not-run` or `unknown`, or `broken` if no reply with that header came.
struct load_result {
    std::map<std::string, std::string> orders; ///< outcome by idempotency key
    std::map<std::string, int> completions;    ///< number of calls by outcome
};

/// Sends orders and completions to both entries from several threads until stop().
class background_load {
public:
    explicit background_load(session_site& site) : site_(site)
    {
        for (int n = 0; n < caller_count; ++n) {
            this->threads_.emplace_back([this, n] { this->run(n); });
        }
    }

    /// Waits until a number of further orders have ended; fails the test if they do not.
    void wait_for_orders(std::size_t count)
    {
        const auto target_count = this->ended_order_count_ + count;
        cr_assert(session_site::wait_until(
                      [this, target_count] { return this->ended_order_count_ >= target_count; }),
                  "the orders did not end in time");
    }

    /// Ends the load.
    /// @return the outcomes of all calls
    load_result stop()
    {
        this->stopping_ = true;
        for (auto& it : this->threads_) {
            it.join();
        }
        return std::move(this->result_);
    }

private:
    void run(int caller_index)
    {
        for (int n = 0; !this->stopping_; ++n) {
            const auto& entry = this->site_.entries()[(caller_index + n) % 2];
            const auto key = fmt::format("order-{}-{}", caller_index, n);
            const auto order = this->site_.call(entry, "POST", "/v1/services/desk/reorder",
                                                {{"Idempotency-Key", key}}, "{\"count\":1}");
            const auto chat = this->site_.call(
                entry, "POST", "/v1/chat/completions", {{"Medlaryoke-Timeout", "60000"}},
                R"({"model":"boba-8b","max_tokens":3,"messages":[{"role":"user","content":"Hi"}]})");
            const std::scoped_lock lock(this->mutex_);
            this->result_.orders[key] = outcome_of(order);
            ++this->result_.completions[outcome_of(chat)];
            ++this->ended_order_count_;
        }
    }

    static std::string outcome_of(const http_response& reply)
    {
        const auto value = transport::find_header(reply.head.headers, "Medlaryoke-Outcome");
        return value.empty() ? "broken" : std::string(value);
    }

    session_site& site_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> ended_order_count_ = 0;
    std::mutex mutex_;
    load_result result_;
    std::vector<std::thread> threads_;
};

/// Checks that no order ran twice and that its outcome agrees with what the services ran.
void check_orders(session_site& site, const load_result& result)
{
    for (const auto& [key, outcome] : result.orders) {
        const auto runs = site.run_count(key);
        cr_assert(runs <= 1, "%s ran %d times", key.c_str(), static_cast<int>(runs));
        if (outcome == "answered") {
            cr_assert(runs == 1, "%s was answered but did not run", key.c_str());
        }
        if (outcome == "not-run") {
            cr_assert(runs == 0, "%s ran but was reported as not run", key.c_str());
        }
    }
}

} // namespace

// Guards against a request that runs twice because its agent was killed (P4), a request that ran
// but is reported as not run (P3), and idempotent work that is lost although another agent could do
// it.
Test(failures, killed_agent_under_load)
{
    session_site site;
    site.configure();
    background_load load(site);
    load.wait_for_orders(50);
    for (const std::size_t agent_index : {3U, 1U}) {
        site.agents()[agent_index].process->signal(SIGKILL);
        site.agents()[agent_index].process->wait();
        load.wait_for_orders(50);
        site.restart_agent(site.agents()[agent_index]);
        load.wait_for_orders(50);
    }
    auto result = load.stop();
    check_orders(site, result);
    cr_assert(result.completions["unknown"] == 0 && result.completions["broken"] == 0);
}

// Guards against work that hangs, runs twice (P4), is wrongly reported as not run (P3) or reaches
// the wrong caller (P2) when connections become silent without being closed.
Test(failures, silent_connections_under_load)
{
    session_site site;
    site.configure();
    background_load load(site);
    load.wait_for_orders(50);
    for (const std::size_t agent_index : {2U, 0U, 3U}) {
        site.agents()[agent_index].proxy->silence_open_connections();
        load.wait_for_orders(100);
    }
    auto result = load.stop();
    check_orders(site, result);
    cr_assert(result.completions["broken"] == 0);
}

// Guards against a request that runs twice because its entry was killed, and against another entry
// that stops serving for that reason.
Test(failures, killed_entry_under_load)
{
    session_site site;
    site.configure();
    background_load load(site);
    load.wait_for_orders(50);
    site.entries()[1].process->signal(SIGKILL);
    site.entries()[1].process->wait();
    load.wait_for_orders(100);
    const auto result = load.stop();
    check_orders(site, result);
    const auto broken = std::ranges::count(result.orders, std::string("broken"),
                                           [](const auto& it) { return it.second; });
    cr_assert(static_cast<std::size_t>(broken) < result.orders.size());
    cr_assert(session_site::wait_until([&] {
        const auto reply = site.send(site.entries()[0].caller_address, "GET", "/v1/entries");
        return json::parse(reply.body)["entries"].size() == 1;
    }));
}
