#include "Soak/gateway_child.h"

#include <csignal>
#include <fstream>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include "fakes/product_program.h"

namespace medlaryoke::soak {

namespace {

// Gateways differ in their loopback address, so that the ports can be the same; these lie below the
// range from which the system picks ports.
constexpr unsigned caller_port = 20101;
constexpr unsigned readiness_port = 20102;
constexpr unsigned directory_port = 20103;
constexpr unsigned control_port = 20104;
constexpr unsigned beat_port = 20105;

/// Each run uses addresses of its own, so that two runs on one machine do not meet.
unsigned run_number()
{
    constexpr unsigned numbers = 250;
    return static_cast<unsigned>(::getpid()) % numbers + 1;
}

std::string at(unsigned index, unsigned port)
{
    return fmt::format("{}:{}", loopback_address(index), port);
}

} // namespace

std::string loopback_address(unsigned index)
{
    return fmt::format("127.{}.{}.1", run_number(), index + 1);
}

gateway_child::gateway_child(std::string directory, unsigned index, unsigned count,
                             const std::string& store)
    : directory_(std::move(directory)), name_(fmt::format("gateway-{}", index)),
      log_file_(fmt::format("{}/gateway-{}.log", directory_, index)),
      caller_address_(at(index, caller_port)), readiness_address_(at(index, readiness_port))
{
    auto seeds = nlohmann::json::array();
    for (unsigned other = 0; other < count; ++other) {
        if (other != index) {
            seeds.push_back(at(other, control_port));
        }
    }
    const nlohmann::json settings{
        {"nodeName", this->name_},
        {"ip", loopback_address(index)},
        {"zone", fmt::format("dc-{}", index % 2)},
        {"listen",
         {{"front", this->caller_address_},
          {"readiness", this->readiness_address_},
          {"directory", at(index, directory_port)},
          {"control", at(index, control_port)}}},
        {"internalPortRange", {beat_port, beat_port + 4}},
        {"seeds", seeds},
        {"bounds", {{"retryBudgetRatio", 0.2}, {"retryBudgetExtra", 50}, {"graceS", 2}}},
        {"platform", {{"address", store}}}};
    std::ofstream(this->directory_ + "/" + this->name_ + ".json") << settings;
}

gateway_child::~gateway_child()
{
    if (this->runs()) {
        ::kill(this->pid_, SIGKILL);
        ::waitpid(this->pid_, nullptr, 0);
    }
}

void gateway_child::start(int output)
{
    if (this->runs()) {
        return;
    }
    const std::vector<std::string> environment{"MEDLARYOKE_NODE_FILE=" + this->directory_ + "/" +
                                               this->name_ + ".json"};
    this->pid_ = output >= 0 ? fakes::start_product({"gateway"}, output, environment)
                             : fakes::start_product({"gateway"}, this->log_file_, environment);
}

std::string gateway_child::log() const
{
    return fakes::read_file(this->log_file_);
}

void gateway_child::signal(int number) const
{
    if (this->runs()) {
        ::kill(this->pid_, number);
    }
}

std::optional<int> gateway_child::take_end()
{
    int status = 0;
    if (!this->runs() || ::waitpid(this->pid_, &status, WNOHANG) != this->pid_) {
        return std::nullopt;
    }
    this->pid_ = -1;
    return status;
}

} // namespace medlaryoke::soak
