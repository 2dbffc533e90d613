// Clients that do not stay inside the limits. Each test starts the product's own process with
// little memory and few descriptors in its settings, lets a crowd hold what it can, and checks that
// the process lives within these and answers one ordinary request afterwards. Nothing depends on
// the speed of the machine.

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>

#include "fakes/product_program.h"
#include "fakes/raw_socket.h"
#include "Soak/crowd.h"
#include "Soak/gateway_child.h"
#include "Soak/soak_caller.h"
#include "Soak/soak_store.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

using namespace medlaryoke;
using namespace medlaryoke::soak;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

// What the settings of the tested process state.
constexpr std::size_t memory_megabytes = 64;
constexpr std::size_t max_descriptors = 300;
constexpr std::size_t max_body_bytes = 2 * megabyte;

constexpr std::size_t large_answer_bytes = 3 * megabyte;

// How far the clients stop short of the end of their bodies.
constexpr std::size_t missing_bytes = 4096;

constexpr std::size_t large_chunk_bytes = 64 * 1024;

json small_machine()
{
    return {{"limits", {{"memoryMb", memory_megabytes}, {"maxFds", max_descriptors}}}};
}

/// An upstream with small and large answers, and ones without end.
class answering_upstream {
public:
    explicit answering_upstream(transport::runtime& runtime)
        : server_(runtime, {.address = "127.0.0.1:0", .max_body_bytes = 2 * max_body_bytes},
                  [this](const transport::http_request& request,
                         const std::shared_ptr<transport::response_stream>& reply) {
                      this->handle(request, reply);
                  })
    {
    }

    [[nodiscard]] std::string address() const { return this->server_.address(); }

private:
    void handle(const transport::http_request& request,
                const std::shared_ptr<transport::response_stream>& reply) const
    {
        transport::http_response response;
        response.head.status = 200;
        response.head.headers = {
            {"Medlaryoke-Server-Stamp", "s"},
            {"Medlaryoke-Request-Id",
             std::string(transport::find_header(request.headers, "Medlaryoke-Request-Id"))}};
        const bool is_large = request.target.find("large") != std::string::npos;
        const bool is_endless = request.target.find("endless") != std::string::npos;
        const auto size = is_endless ? 4 * large_answer_bytes : is_large ? large_answer_bytes : 3;
        response.body.assign(size, 'x');
        reply->respond(std::move(response));
    }

    transport::http_server server_;
};

/// A site with one gateway process on a small machine.
struct small_site {
    small_site()
        : directory(fakes::make_temporary_directory()), store(runtime), upstream(runtime),
          gateway(directory, 0, 1, store.address(), small_machine())
    {
        this->runtime.start();
        this->store.put("keyed.servers", "upstream-0",
                        json{{"service", "desk"},
                             {"address", this->upstream.address()},
                             {"zone", "dc-0"},
                             {"version", "v1"},
                             {"coldRemainingMs", 0},
                             {"sequence", 1},
                             {"born", 1},
                             {"slots", 100},
                             {"state", "ready"}}
                            .dump());
        const json route{{"name", "safe"},    {"host", "desk.example"}, {"pathPrefix", "/safe/"},
                         {"kind", "safe"},    {"timeoutMs", 8000},      {"maxAttempts", 1},
                         {"service", "desk"}, {"public", true}};
        const json limits{{"maxHeaderBytes", 16384},
                          {"maxBodyBytes", max_body_bytes},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", 15000}};
        this->store.put("keyed.op", "config",
                        json{{"version", 1},
                             {"routes", {route}},
                             {"services", {{{"name", "desk"}}}},
                             {"limits", limits}}
                            .dump());
        this->gateway.start();
        for (int n = 0; n < 1000 && get_status(this->gateway.readiness_address(), "/ready") != 200;
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
        // Timers of the store and the upstreams refer to them.
        this->runtime.stop();
        this->runtime.wait();
        std::error_code ec;
        std::filesystem::remove_all(this->directory, ec);
    }

    /// Checks the bounds while the crowd is still connected, and then an ordinary request.
    void expect_sound() const
    {
        expect_within_bounds(this->gateway.pid());
        expect_answer(this->gateway.caller_address(), "/safe/small");
    }

    static void expect_within_bounds(pid_t process)
    {
        wait_until_idle(process);
        cr_expect(is_alive(process), "the process has ended");
        const auto memory = peak_memory(process);
        cr_expect(memory <= memory_megabytes * megabyte, "%zu kB of memory", memory / 1024);
        const auto descriptors = open_descriptors(process);
        cr_expect(descriptors <= max_descriptors, "%zu descriptors", descriptors);
    }

    /// A caller that is refused comes back, so a few attempts are allowed.
    static void expect_answer(const std::string& address, const std::string& target)
    {
        unsigned status = 0;
        for (int n = 0; n < 100 && status != 200; ++n) {
            status = get_status(address, target, fmt::format("ordinary-{}", n));
            std::this_thread::sleep_for(status == 200 ? 0ms : 100ms);
        }
        cr_expect(status == 200, "status %u", status);
    }

    std::string directory;
    transport::runtime runtime{1};
    soak_store store;
    answering_upstream upstream;
    gateway_child gateway;
};

std::string head_of(const std::string& method, const std::string& target,
                    const std::string& headers = {})
{
    return method + " " + target +
           " HTTP/1.1\r\nHost: desk.example\r\nMedlaryoke-Request-Id: crowd\r\n" + headers;
}

std::string chunk_of(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

/// @param body_bytes size of the part of the body that is sent
/// @param chunk_bytes size of each chunk
crowd_message unfinished_body(std::size_t body_bytes, std::size_t chunk_bytes)
{
    return {head_of("POST", "/safe/x", "Transfer-Encoding: chunked\r\n\r\n"), chunk_of(chunk_bytes),
            body_bytes / chunk_bytes};
}

} // namespace

// Guards against a process that ends because bodies which never end fill its memory.
Test(crowds, bodies_in_large_chunks_that_stay_open, .timeout = 100)
{
    const small_site site;
    crowd clients(site.gateway.caller_address(), 60);
    clients.send(unfinished_body(max_body_bytes - missing_bytes, large_chunk_bytes));
    site.expect_sound();
}

// As above, in chunks of one byte.
Test(crowds, bodies_in_tiny_chunks_that_stay_open, .timeout = 100)
{
    const small_site site;
    crowd clients(site.gateway.caller_address(), 60);
    clients.send(unfinished_body(1'200'000, 1));
    site.expect_sound();
}

// As above, with bodies of an announced length.
Test(crowds, bodies_with_a_length_that_stay_open, .timeout = 100)
{
    const small_site site;
    crowd clients(site.gateway.caller_address(), 60);
    const auto length = fmt::format("Content-Length: {}\r\n\r\n", max_body_bytes);
    clients.send({head_of("POST", "/safe/x", length), std::string(missing_bytes, 'x'),
                  max_body_bytes / missing_bytes - 1});
    site.expect_sound();
}

// Guards against bodies far over the limit that fill the memory before they are refused.
Test(crowds, bodies_far_over_the_limit, .timeout = 100)
{
    const small_site site;
    crowd announced(site.gateway.caller_address(), 30);
    announced.send({head_of("POST", "/safe/x", "Content-Length: 1000000000\r\n\r\n"),
                    std::string(large_chunk_bytes, 'x'), 50});
    crowd sent(site.gateway.caller_address(), 60);
    sent.send(unfinished_body(3 * max_body_bytes, large_chunk_bytes));
    site.expect_sound();
}

// Guards against heads, chunk extensions and trailers without end.
Test(crowds, heads_extensions_and_trailers_without_end, .timeout = 100)
{
    const small_site site;
    const std::string filler(1000, 'x');
    crowd heads(site.gateway.caller_address(), 40);
    heads.send({head_of("GET", "/safe/x"), "X-Filler: " + filler + "\r\n", 200});
    const auto chunked = head_of("POST", "/safe/x", "Transfer-Encoding: chunked\r\n\r\n");
    crowd extensions(site.gateway.caller_address(), 40);
    extensions.send({chunked + "1;", filler, 200});
    crowd trailers(site.gateway.caller_address(), 40);
    trailers.send({chunked + "0\r\n", "X-Filler: " + filler + "\r\n", 200});
    site.expect_sound();
}

// Guards against connections that use up the descriptors.
Test(crowds, connections_that_stay_idle, .timeout = 100)
{
    const small_site site;
    const crowd clients(site.gateway.caller_address(), 400);
    site.expect_sound();
}

// Guards against answers that fill the memory because their callers do not read them.
Test(crowds, answers_that_are_not_read, .timeout = 100)
{
    const small_site site;
    crowd clients(site.gateway.caller_address(), 60, 4096);
    clients.send({head_of("GET", "/safe/large", "\r\n"), {}, 0});
    site.expect_sound();
}

// Guards against answers of upstreams that together fill the memory.
Test(crowds, answers_over_the_limit, .timeout = 100)
{
    const small_site site;
    crowd clients(site.gateway.caller_address(), 60);
    clients.send({head_of("GET", "/safe/endless", "\r\n"), {}, 0});
    site.expect_sound();
}

// Guards against bodies at the addresses that serve the platform and other gateways.
Test(crowds, bodies_at_the_other_addresses, .timeout = 100)
{
    const small_site site;
    crowd readiness(site.gateway.readiness_address(), 30);
    readiness.send(unfinished_body(max_body_bytes - missing_bytes, large_chunk_bytes));
    crowd directory(site.gateway.directory_address(), 30);
    directory.send(unfinished_body(max_body_bytes - missing_bytes, large_chunk_bytes));
    crowd control(site.gateway.control_address(), 30);
    control.send(unfinished_body(max_body_bytes - missing_bytes, large_chunk_bytes));
    site.expect_sound();
    small_site::expect_answer(site.gateway.readiness_address(), "/ready");
}

// As above, at a rank agent.
Test(crowds, bodies_at_a_rank_agent, .timeout = 100)
{
    const auto directory = fakes::make_temporary_directory();
    transport::runtime runtime(1);
    runtime.start();
    const answering_upstream engine(runtime);
    constexpr unsigned port = 20105;
    const auto ip = loopback_address(9);
    auto settings = small_machine();
    settings.update(json{{"nodeName", "agent"},
                         {"ip", ip},
                         {"zone", "dc-1"},
                         {"listen", json::object()},
                         {"internalPortRange", {port, port + 4}},
                         {"app", engine.address()},
                         {"platform", {{"address", "127.0.0.1:9"}}}});
    std::ofstream(directory + "/agent.json") << settings;
    const auto process =
        fakes::start_product({"rank-agent"}, directory + "/agent.log",
                             {"MEDLARYOKE_NODE_FILE=" + directory + "/agent.json"});
    const auto address = fmt::format("{}:{}", ip, port);
    for (int n = 0; n < 500 && get_status(address, "/") == 0; ++n) {
        std::this_thread::sleep_for(10ms);
    }
    {
        crowd clients(address, 60);
        clients.send(unfinished_body(max_body_bytes - missing_bytes, large_chunk_bytes));
        small_site::expect_within_bounds(process);
        cr_expect(get_status(address, "/") != 0, "the agent does not answer");
    }
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    runtime.stop();
    runtime.wait();
    std::error_code ec;
    std::filesystem::remove_all(directory, ec);
}

// Guards against limits that refuse a single request inside the limits of the configuration.
Test(crowds, single_large_request_is_served_in_calm, .timeout = 100)
{
    const small_site site;
    for (const auto& [size, chunk] : {std::pair{max_body_bytes - missing_bytes, missing_bytes},
                                      std::pair{std::size_t{300'000}, std::size_t{1}}}) {
        const fakes::raw_connection caller(site.gateway.caller_address());
        const auto message = unfinished_body(size, chunk);
        caller.send(message.beginning);
        for (std::size_t n = 0; n < message.repetitions; ++n) {
            caller.send(message.repeated);
        }
        caller.send("0\r\n\r\n");
        const auto answer = caller.read_until("\r\n\r\n");
        cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    }
    small_site::expect_answer(site.gateway.caller_address(), "/safe/large");
}
