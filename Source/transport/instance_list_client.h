#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::transport {

/// What an instance runs: an entry, which accepts requests of callers, or an agent.
enum class instance_role { entry, agent };

/// One item of the platform's list of instances. The list lags behind the actual state.
struct listed_instance {
    std::string instance;
    instance_role role = instance_role::entry;
    std::string data_centre;
    std::string address; ///< IP address and port
    bool leaving = false;
};

/// Address and times of an instance_list_client.
struct instance_list_options {
    std::string address;                                ///< IP address and port that serve the list
    duration interval = std::chrono::seconds(1);        ///< shortest delay between two polls
    duration request_timeout = std::chrono::seconds(2); ///< for each wait for bytes of the reply
};

/// Chooses the delay before the next poll. A long list is read less often, so that reading it uses
/// only a part of the 5 KB/s that an instance may spend on control traffic.
/// @param interval shortest delay
/// @param list_bytes size of the last list
/// @return the delay
duration choose_poll_delay(duration interval, std::size_t list_bytes);

/// Polls the platform's list of instances.
class instance_list_client {
public:
    using list_handler = std::function<void(const std::vector<listed_instance>&)>;

    /// @param context runs the polls and the callback
    /// @param options address and times
    /// @param on_list called with each list that was read completely; it is not called after a
    /// failed poll, so the previous list remains valid
    instance_list_client(runtime& context, instance_list_options options, list_handler on_list);
    instance_list_client(const instance_list_client&) = delete;
    instance_list_client& operator=(const instance_list_client&) = delete;
    instance_list_client(instance_list_client&&) = delete;
    instance_list_client& operator=(instance_list_client&&) = delete;
    ~instance_list_client();

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
