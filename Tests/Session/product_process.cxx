#include "Session/product_process.h"

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <regex>
#include <stdexcept>
#include <thread>

#include <sys/wait.h>

#include "fakes/product_program.h"

namespace medlaryoke::session {

namespace {

using namespace std::chrono_literals;

/// Bounds the wait of a failing test to 10 s.
constexpr int max_polls = 1000;
constexpr auto poll_interval = 10ms;
constexpr int signal_exit_code_base = 128;

} // namespace

product_process::product_process(const std::string& role, const std::string& settings)
    : directory_(fakes::make_temporary_directory())
{
    const auto settings_file = this->directory_ + "/settings.yaml";
    std::ofstream(settings_file) << settings;
    this->pid_ = fakes::start_product({role, "--settings", settings_file}, this->log_file());
}

product_process::~product_process()
{
    if (!this->exited_) {
        this->signal(SIGKILL);
        this->wait();
    }
    std::error_code ec;
    std::filesystem::remove_all(this->directory_, ec);
}

std::vector<std::string> product_process::wait_for_addresses() const
{
    static const std::regex address_pattern(R"(127\.0\.0\.1:\d+)");
    for (int n = 0; n < max_polls; ++n) {
        const auto text = this->log();
        const auto begin = text.find("Serving ");
        const auto end = begin == std::string::npos ? begin : text.find('\n', begin);
        if (end != std::string::npos) {
            const auto line = text.substr(begin, end - begin);
            std::vector<std::string> addresses;
            for (auto it = std::sregex_iterator(line.begin(), line.end(), address_pattern);
                 it != std::sregex_iterator(); ++it) {
                addresses.push_back(it->str());
            }
            return addresses;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    throw std::runtime_error("the process did not log its addresses within 10 s: " + this->log());
}

void product_process::signal(int signal_number) const
{
    ::kill(this->pid_, signal_number);
}

int product_process::wait()
{
    int status = 0;
    ::waitpid(this->pid_, &status, 0);
    this->exited_ = true;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_code_base + WTERMSIG(status);
}

std::string product_process::log() const
{
    return fakes::read_file(this->log_file());
}

std::string product_process::log_file() const
{
    return this->directory_ + "/log";
}

} // namespace medlaryoke::session
