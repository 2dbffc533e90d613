#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::transport {

enum class instance_role { entry, agent };

/// One line of the platform's list of instances, which lags behind the actual state.
struct listed_instance {
    std::string instance;
    instance_role role = instance_role::entry;
    std::string data_centre;
    std::string address; ///< IP address and port
    bool leaving = false;
};

struct instance_list_options {
    std::string address;                         ///< IP address and port of the platform's list
    duration interval = std::chrono::seconds(1); ///< shortest pause between two polls
    duration request_timeout = std::chrono::seconds(2);
};

/// Chooses the pause before the next poll. A long list is read less often, so that reading it stays
/// within a part of the 5 KB/s that an instance may spend on control.
/// @param interval shortest pause
/// @param list_bytes size of the last list
/// @return the pause
duration next_poll_pause(duration interval, std::size_t list_bytes);

/// Polls the platform's list of instances.
class instance_list_client {
public:
    using list_handler = std::function<void(const std::vector<listed_instance>&)>;

    /// @param context runs the polls and the callback
    /// @param options address and times
    /// @param on_list called with each list that was read whole; a failed poll is logged and the
    /// last list stays in force
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
