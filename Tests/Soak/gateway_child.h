#pragma once

#include <optional>
#include <string>
#include <sys/types.h>

namespace medlaryoke::soak {

/// A gateway that runs as a process of its own, on a loopback address of its own. Its output goes
/// to a file that stays after a failed run.
class gateway_child {
public:
    /// @param directory where settings and output are written
    /// @param index from 0; selects the loopback address
    /// @param count number of gateways
    /// @param store address of the store
    gateway_child(std::string directory, unsigned index, unsigned count, const std::string& store);
    gateway_child(const gateway_child&) = delete;
    gateway_child& operator=(const gateway_child&) = delete;
    gateway_child(gateway_child&&) = delete;
    gateway_child& operator=(gateway_child&&) = delete;
    ~gateway_child();

    /// Starts the process, if it does not run.
    /// @param output descriptor for its output; negative: the file
    void start(int output = -1);

    /// @return what the process wrote to its file so far
    [[nodiscard]] std::string log() const;

    /// Sends a signal, if the process runs.
    void signal(int number) const;

    /// Learns whether the process has ended.
    /// @return its status, as from waitpid, if it ended since the last call
    std::optional<int> take_end();

    [[nodiscard]] bool runs() const { return this->pid_ > 0; }

    /// @return IPv4 address and port for callers
    [[nodiscard]] const std::string& caller_address() const { return this->caller_address_; }

    /// @return IPv4 address and port for readiness
    [[nodiscard]] const std::string& readiness_address() const { return this->readiness_address_; }

private:
    std::string directory_;
    std::string name_;
    std::string log_file_;
    std::string caller_address_;
    std::string readiness_address_;
    pid_t pid_ = -1;
};

/// @return a loopback address that gateway `index` uses for all its ports
std::string loopback_address(unsigned index);

} // namespace medlaryoke::soak
