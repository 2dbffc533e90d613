#include "fakes/product_program.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace medlaryoke::fakes {

namespace {

constexpr int start_failed = 127;

std::system_error failure(const std::string& what)
{
    return {errno, std::generic_category(), what};
}

} // namespace

std::string make_temporary_directory()
{
    auto pattern = (std::filesystem::temp_directory_path() / "medlaryoke-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw failure("cannot make a temporary directory");
    }
    return pattern;
}

pid_t start_product(std::vector<std::string> arguments, int output,
                    std::vector<std::string> environment)
{
    const auto* const other = std::getenv("MEDLARYOKE_TEST_BINARY");
    arguments.insert(arguments.begin(), other == nullptr ? MEDLARYOKE_BINARY : other);
    std::vector<char*> words;
    std::ranges::transform(arguments, std::back_inserter(words),
                           [](std::string& it) { return it.data(); });
    words.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid < 0) {
        throw failure("cannot start " + arguments.front());
    }
    if (pid == 0) {
        // A failed assertion ends the test without destructors; no process may outlive it.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        for (auto& variable : environment) {
            ::putenv(variable.data());
        }
        ::execv(words.front(), words.data());
        ::_exit(start_failed);
    }
    return pid;
}

pid_t start_product(std::vector<std::string> arguments, const std::string& output_file,
                    std::vector<std::string> environment)
{
    const int output =
        ::open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (output < 0) {
        throw failure("cannot write " + output_file);
    }
    const auto pid = start_product(std::move(arguments), output, std::move(environment));
    ::close(output);
    return pid;
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace medlaryoke::fakes
