#include "Session/product_process.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace medlaryoke::session {

namespace {

using namespace std::chrono_literals;

/// Only ends a broken test.
constexpr int max_polls = 1000;
constexpr auto poll_interval = 10ms;
constexpr int signal_exit_code = 128;

/// Another build of the product, such as a sanitized one, can be named in the environment.
std::string binary()
{
    const auto* const other = std::getenv("MEDLARYOKE_TEST_BINARY");
    return other == nullptr ? MEDLARYOKE_BINARY : other;
}

std::string make_directory()
{
    auto pattern = (std::filesystem::temp_directory_path() / "medlaryoke-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary directory");
    }
    return pattern;
}

} // namespace

product_process::product_process(const std::string& role, const std::string& settings)
    : directory_(make_directory())
{
    const auto settings_file = this->directory_ + "/settings.yaml";
    const auto log_file = this->directory_ + "/log";
    std::ofstream(settings_file) << settings;
    std::array<std::string, 4> words{binary(), role, "--settings", settings_file};
    std::array<char*, 5> arguments{words[0].data(), words[1].data(), words[2].data(),
                                   words[3].data(), nullptr};
    this->pid_ = ::fork();
    if (this->pid_ == 0) {
        // A failed assertion ends the test without destructors; no process may outlive it.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, S_IRUSR | S_IWUSR);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(arguments[0], arguments.data());
        ::_exit(signal_exit_code);
    }
    if (this->pid_ < 0) {
        throw std::runtime_error("cannot start " + words[0]);
    }
}

product_process::~product_process()
{
    if (!this->ended_) {
        this->signal(SIGKILL);
        this->wait();
    }
    std::error_code ec;
    std::filesystem::remove_all(this->directory_, ec);
}

std::vector<std::string> product_process::wait_for_addresses() const
{
    static const std::regex address(R"(127\.0\.0\.1:\d+)");
    for (int n = 0; n < max_polls; ++n) {
        const auto text = this->log();
        const auto at = text.find("Serving ");
        const auto end = at == std::string::npos ? at : text.find('\n', at);
        if (end != std::string::npos) {
            const auto line = text.substr(at, end - at);
            std::vector<std::string> result;
            for (auto it = std::sregex_iterator(line.begin(), line.end(), address);
                 it != std::sregex_iterator(); ++it) {
                result.push_back(it->str());
            }
            return result;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    throw std::runtime_error("the process did not start: " + this->log());
}

void product_process::signal(int number) const
{
    ::kill(this->pid_, number);
}

int product_process::wait()
{
    int status = 0;
    ::waitpid(this->pid_, &status, 0);
    this->ended_ = true;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_code + WTERMSIG(status);
}

std::string product_process::log() const
{
    std::ifstream in(this->directory_ + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace medlaryoke::session
