#include "transport/log_client.h"

#include <future>
#include <string>

#include <criterion/criterion.h>

#include "StandIns/platform_standin.h"
#include "transport/http_pair.h"
#include "transport/instance_list_client.h"

using namespace medlaryoke;
using namespace medlaryoke::transport;

namespace {

constexpr auto short_timeout = std::chrono::milliseconds(300);
constexpr auto long_wait = std::chrono::seconds(30);

/// A stand-in for the platform and a client of its log.
struct log_setup {
    explicit log_setup(standins::platform_options options = {}, duration timeout = long_wait)
        : platform(context, std::move(options)), control(context, platform.address()),
          log(context, platform.address(), timeout)
    {
        context.start();
    }
    log_setup(const log_setup&) = delete;
    log_setup& operator=(const log_setup&) = delete;
    log_setup(log_setup&&) = delete;
    log_setup& operator=(log_setup&&) = delete;
    ~log_setup() { context.stop(); }

    append_result append(const std::string& data)
    {
        std::promise<append_result> result;
        log.append("s", data,
                   [&result](append_result value) { result.set_value(std::move(value)); });
        return result.get_future().get();
    }

    std::future<read_result> start_read(std::uint64_t from, duration wait = {})
    {
        const auto result = std::make_shared<std::promise<read_result>>();
        log.read("s", from, 1000, wait,
                 [result](read_result value) { result->set_value(std::move(value)); });
        return result->get_future();
    }

    std::vector<stored_record> records(std::uint64_t from, duration wait = {})
    {
        auto result = this->start_read(from, wait).get();
        cr_assert(std::holds_alternative<read_records>(result));
        return std::get<read_records>(std::move(result)).records;
    }

    void put(const std::string& path, const std::string& body)
    {
        cr_assert(reply(control, {"PUT", path, {}, body}).head.status == 200);
    }

    runtime context{2};
    standins::platform_standin platform;
    http_client control;
    log_client log;
};

} // namespace

// Guards against records whose bytes or offsets change between append and read.
Test(log_client, reads_appended_records_unchanged)
{
    log_setup setup;
    std::string all_bytes;
    for (int n = 0; n < 256; ++n) {
        all_bytes += static_cast<char>(n);
        cr_assert(std::get<append_done>(setup.append(all_bytes)).offset ==
                  static_cast<std::uint64_t>(n) + 1);
    }
    const auto records = setup.records(1);
    cr_assert(records.size() == 256);
    for (std::size_t n = 0; n < records.size(); ++n) {
        cr_assert(records[n].offset == n + 1);
        cr_assert(records[n].data == all_bytes.substr(0, n + 1));
    }
}

// Guards against a lost reply that is reported as "not stored" and leads to a second append.
Test(log_client, reports_a_lost_append_reply_as_ambiguous)
{
    log_setup setup;
    setup.put("/control/faults", R"({"lose_append_answers":1})");
    cr_assert(std::holds_alternative<append_ambiguous>(setup.append("lost")));
    const auto records = setup.records(1);
    cr_assert(records.size() == 1 && records[0].data == "lost");
}

// Guards against an append that is reported as rejected but takes effect after the timeout.
Test(log_client, reports_a_late_append_as_ambiguous)
{
    log_setup setup({}, short_timeout);
    setup.put("/control/faults", R"({"delay_ms":900})");
    cr_assert(std::holds_alternative<append_ambiguous>(setup.append("late")));
    setup.put("/control/faults", R"({"delay_ms":0})");
    const auto records = setup.records(1, long_wait);
    cr_assert(records.size() == 1 && records[0].data == "late");
}

// Guards against a rejected append that is reported as ambiguous.
Test(log_client, reports_rejected_appends)
{
    log_setup setup;
    setup.put("/control/faults", R"({"reject_appends":true})");
    cr_assert(std::holds_alternative<append_rejected>(setup.append("a")));
    setup.put("/control/faults", R"({"reject_appends":false,"outage":true})");
    cr_assert(std::holds_alternative<append_rejected>(setup.append("a")));
    cr_assert(std::holds_alternative<read_unavailable>(setup.start_read(1).get()));
}

// Guards against an unanswered append that is reported as rejected.
Test(log_client, reports_an_unanswered_append_as_ambiguous)
{
    log_setup setup({}, short_timeout);
    setup.put("/control/faults", R"({"silent":true})");
    cr_assert(std::holds_alternative<append_ambiguous>(setup.append("a")));
    cr_assert(std::holds_alternative<read_unavailable>(setup.start_read(1).get()));
    setup.put("/control/faults", R"({"silent":false})");
    cr_assert(setup.records(1).empty());
}

// Guards against records that expired before they were read without the reader being told.
Test(log_client, reports_expired_offsets)
{
    standins::platform_options options;
    options.max_records = 2;
    log_setup setup(options);
    for (int n = 0; n < 5; ++n) {
        setup.append("x");
    }
    const auto result = setup.start_read(1).get();
    cr_assert(std::get<read_expired>(result).earliest == 4);
    cr_assert(setup.records(4).size() == 2);
}

// Guards against waiting reads that block other requests or miss a new record.
Test(log_client, waiting_reads_do_not_block_appends)
{
    log_setup setup;
    std::vector<std::future<read_result>> waiting(20);
    for (auto& read : waiting) {
        read = setup.start_read(1, long_wait);
    }
    cr_assert(std::holds_alternative<append_done>(setup.append("x")));
    for (auto& read : waiting) {
        const auto result = read.get();
        cr_assert(std::get<read_records>(result).records.size() == 1);
    }
}

// Guards against polls that exceed the bandwidth for control traffic in a large fleet: at 1,720
// instances, one poll a second would read 191 KB/s where 5 KB/s are allowed. Also guards against
// slow polls in a small fleet.
Test(instance_list_client, reads_long_lists_less_often)
{
    using namespace std::chrono_literals;
    constexpr std::size_t bytes_per_instance = 111;
    cr_assert(choose_poll_delay(1s, 23 * bytes_per_instance) <= 1s);
    cr_assert(choose_poll_delay(1s, 1720 * bytes_per_instance) >= 90s);
    cr_assert(choose_poll_delay(1s, 0) == 1s);
}

// Guards against listed instances that are dropped or whose leaving state is lost.
Test(instance_list_client, reads_every_field_of_the_list)
{
    log_setup setup;
    std::promise<std::vector<listed_instance>> received;
    const instance_list_client list(
        setup.context, {setup.platform.address(), std::chrono::milliseconds(10)},
        [&, received_once = false](const auto& instances) mutable {
            if (!instances.empty() && !std::exchange(received_once, true)) {
                received.set_value(instances);
            }
        });
    setup.put("/control/instances", R"({"instances":[
        {"instance":"e1","role":"entry","data_centre":"d","address":"127.0.0.1:1","state":"live"},
        {"instance":"a1","role":"agent","data_centre":"d","address":"127.0.0.1:2",
         "state":"leaving"}]})");
    const auto instances = received.get_future().get();
    cr_assert(instances.size() == 2);
    cr_assert(instances[0].role == instance_role::entry && !instances[0].leaving);
    cr_assert(instances[1].role == instance_role::agent && instances[1].leaving);
}
