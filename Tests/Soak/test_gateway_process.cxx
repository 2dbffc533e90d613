#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fakes/product_program.h"
#include "Soak/gateway_child.h"
#include "Soak/soak_caller.h"
#include "Soak/soak_store.h"
#include "Soak/soak_upstream.h"

using namespace medlaryoke;
using namespace medlaryoke::soak;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// One gateway as a process before one upstream.
class small_site {
public:
    explicit small_site(int output = -1)
        : directory(fakes::make_temporary_directory()), store(context),
          upstream(context, witness, "upstream-0"), gateway(directory, 0, 1, store.address())
    {
        this->context.start();
        this->store.list(this->upstream, "ready");
        this->store.configure(1, {{"safe", "safe", 2, false},
                                  {"unsafe", "unsafe", 1, false},
                                  {"stream", "streaming", 1, false}});
        this->gateway.start(output);
        for (int n = 0; n < 500 && get_status(this->gateway.readiness_address(), "/ready") != 200;
             ++n) {
            std::this_thread::sleep_for(10ms);
        }
    }
    small_site(const small_site&) = delete;
    small_site& operator=(const small_site&) = delete;
    small_site(small_site&&) = delete;
    small_site& operator=(small_site&&) = delete;
    ~small_site()
    {
        std::error_code ec;
        std::filesystem::remove_all(this->directory, ec);
    }

    unsigned call(const std::string& target, const std::string& id) const
    {
        return get_status(this->gateway.caller_address(), target, id);
    }

    /// Waits for the line that ends a request.
    /// @param id of the request
    /// @return the lines that name it, in their order
    [[nodiscard]] std::vector<json> lines_of(const std::string& id) const
    {
        std::vector<json> found;
        for (int n = 0; n < 300; ++n) {
            found.clear();
            std::istringstream in(this->gateway.log());
            for (std::string line; std::getline(in, line);) {
                const auto fields = json::parse(line, nullptr, false);
                if (fields.is_object() && fields.value("id", "") == id) {
                    found.push_back(fields);
                }
            }
            if (!found.empty() && found.back().value("event", "") == "request ended") {
                break;
            }
            std::this_thread::sleep_for(10ms);
        }
        return found;
    }

    std::string directory;
    transport::runtime context{1};
    soak_store store;
    run_witness witness;
    soak_upstream upstream;
    gateway_child gateway;
};

} // namespace

// Guards against a failed request whose cause is in no log: for the three kinds that
// docs/OPERATIONS.md walks through, its steps must lead from the id to the cause.
Test(gateway_process, the_cause_of_a_failed_request_is_in_the_log)
{
    small_site site;

    site.upstream.refuses = true;
    cr_assert(site.call("/unsafe/refused", "refused") == 503);
    const auto refused = site.lines_of("refused");
    cr_assert(!refused.empty() && refused.back()["outcome"] == "refused");
    cr_assert(refused.back()["status"] == 503);
    cr_assert(!refused.back()["reason"].get<std::string>().empty());
    site.upstream.refuses = false;

    site.upstream.work_ms = 500;
    std::thread breaker([&site] {
        while (site.witness.runs_of("lost") == 0) {
            std::this_thread::sleep_for(5ms);
        }
        site.upstream.proxy().reset_open_connections();
    });
    cr_assert(site.call("/unsafe/lost", "lost") == 502);
    breaker.join();
    const auto lost = site.lines_of("lost");
    cr_assert(lost.size() >= 2 && lost.back()["outcome"] == "failed");
    cr_assert(lost.front()["event"] == "attempt failed" && lost.front()["run"] == "unknown");
    cr_assert(lost.front()["reason"].get<std::string>().find(site.upstream.address()) !=
              std::string::npos);

    site.upstream.work_ms = 0;
    std::thread cutter([&site] {
        while (site.witness.runs_of("cut") == 0) {
            std::this_thread::sleep_for(5ms);
        }
        std::this_thread::sleep_for(50ms); // some of the events have gone out
        site.upstream.proxy().reset_open_connections();
    });
    cr_assert(site.call("/stream/cut", "cut") == 0);
    cutter.join();
    const auto cut = site.lines_of("cut");
    cr_assert(!cut.empty() && cut.back()["outcome"] == "broken_off");
    cr_assert(cut.back()["events"].get<int>() > 0);
}

// Guards against requests that wait for a reader of the log, and against a process that cannot end
// because its last lines cannot be written.
Test(gateway_process, a_blocked_output_delays_nothing)
{
    std::array<int, 2> ends{};
    cr_assert(::pipe(ends.data()) == 0);
    ::fcntl(ends[1], F_SETPIPE_SZ, 4096); // a few lines; nobody reads them
    small_site site(ends[1]);
    site.upstream.fails = true; // each call writes lines
    const auto started = std::chrono::steady_clock::now();
    constexpr unsigned calls = 200;
    for (unsigned n = 0; n < calls; ++n) {
        cr_assert(site.call("/safe/x", fmt::format("c-{}", n)) == 500);
    }
    // 200 calls of a few milliseconds each; a wait for the output would last for ever.
    cr_assert(std::chrono::steady_clock::now() - started < 10s);
    site.gateway.signal(SIGTERM);
    std::optional<int> status;
    for (int n = 0; n < 400 && !status; ++n) {
        std::this_thread::sleep_for(10ms);
        status = site.gateway.take_end();
    }
    cr_assert(status.has_value(), "the process does not end");
    cr_assert(WIFEXITED(*status) && WEXITSTATUS(*status) == 0);
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against a reload that ends a process which has just started: the signal came before its
// handler stood.
Test(gateway_process, a_reload_at_the_start_is_harmless)
{
    small_site site;
    const auto settings = site.directory + "/gateway-0.json";
    const auto moved = settings + ".saved";
    site.gateway.signal(SIGKILL);
    while (!site.gateway.take_end()) {
        std::this_thread::sleep_for(5ms);
    }
    // A pipe in place of the settings file keeps the process in its start.
    std::filesystem::rename(settings, moved);
    cr_assert(::mkfifo(settings.c_str(), S_IRUSR | S_IWUSR) == 0);
    site.gateway.start();
    int pipe = -1;
    for (int n = 0; n < 300 && pipe < 0; ++n) {
        std::this_thread::sleep_for(10ms);
        pipe = ::open(settings.c_str(), O_WRONLY | O_NONBLOCK); // fails until it is read
    }
    cr_assert(pipe >= 0);
    site.gateway.signal(SIGHUP);
    std::this_thread::sleep_for(100ms);
    cr_assert(!site.gateway.take_end().has_value());
    ::close(pipe);
}
