#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace medlaryoke::fakes {

/// @return a new directory for the files of a test
std::string make_temporary_directory();

/// Starts the product's program, or the one that MEDLARYOKE_TEST_BINARY names, such as a sanitized
/// build. The process is killed when the test ends.
/// @param arguments after the program's name
/// @param output descriptor for standard output and standard error
/// @param environment variables besides those of the test, each `NAME=value`
/// @return id of the process
/// @throws std::system_error if it cannot be started
pid_t start_product(std::vector<std::string> arguments, int output,
                    std::vector<std::string> environment = {});

/// Starts the product's program with its output appended to a file.
pid_t start_product(std::vector<std::string> arguments, const std::string& output_file,
                    std::vector<std::string> environment = {});

/// @return content of a file; empty if it cannot be read
std::string read_file(const std::string& path);

} // namespace medlaryoke::fakes
