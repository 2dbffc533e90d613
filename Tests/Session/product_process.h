#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace medlaryoke::session {

/// One running medlaryoke process. Its standard error goes to a file in a directory of its own.
class product_process {
public:
    /// @param role `entry` or `agent`
    /// @param settings content of the settings file
    product_process(const std::string& role, const std::string& settings);
    product_process(const product_process&) = delete;
    product_process& operator=(const product_process&) = delete;
    product_process(product_process&&) = delete;
    product_process& operator=(product_process&&) = delete;

    /// Kills the process if it still runs.
    ~product_process();

    /// Waits until the process has logged its addresses.
    /// @return the addresses in the order in which the log line names them
    [[nodiscard]] std::vector<std::string> wait_for_addresses() const;

    /// @param number of the signal
    void signal(int number) const;

    /// @return the exit code; 128 and the number of the signal that ended the process
    int wait();

    /// @return what the process wrote to standard error so far
    [[nodiscard]] std::string log() const;

private:
    [[nodiscard]] std::string log_file() const;

    std::string directory_;
    pid_t pid_ = -1;
    bool ended_ = false;
};

} // namespace medlaryoke::session
