#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace medlaryoke::session {

/// Runs one medlaryoke process. Its settings and its output are files in a temporary directory,
/// which the destructor removes.
class product_process {
public:
    /// Starts the process.
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
    /// @return the addresses, each IP address and port, in the order in which the log line names
    /// them
    /// @throws std::runtime_error after 10 s without that log line
    [[nodiscard]] std::vector<std::string> wait_for_addresses() const;

    /// Sends a signal to the process.
    void signal(int signal_number) const;

    /// Waits until the process has exited.
    /// @return the exit code, or 128 plus the signal number if a signal ended the process
    int wait();

    /// @return what the process has written to standard output and standard error so far
    [[nodiscard]] std::string log() const;

private:
    [[nodiscard]] std::string log_file() const;

    std::string directory_;
    pid_t pid_ = -1;
    bool exited_ = false;
};

} // namespace medlaryoke::session
