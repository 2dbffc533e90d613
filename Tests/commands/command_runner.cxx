#include "commands/command_runner.h"

#include <iostream>
#include <sstream>

#include "commands/command_line.h"

namespace medlaryoke::tests {

command_result run_command(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "medlaryoke");
    std::vector<char*> argv;
    argv.reserve(arguments.size());
    for (auto& it : arguments) {
        argv.push_back(it.data());
    }
    std::ostringstream out;
    std::ostringstream err;
    auto* old_out = std::cout.rdbuf(out.rdbuf());
    auto* old_err = std::cerr.rdbuf(err.rdbuf());
    const auto exit_code = commands::run_command_line(static_cast<int>(argv.size()), argv.data());
    std::cout.rdbuf(old_out);
    std::cerr.rdbuf(old_err);
    return {exit_code, out.str(), err.str()};
}

} // namespace medlaryoke::tests
