#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::transport {

/// What an attempt to open a connection showed.
enum class connection_state {
    accepted,  ///< a process listens at the address
    refused,   ///< the machine answers, and no process listens
    no_answer, ///< nothing is known, because no answer came in time
};

/// Opens a connection and closes it at once, to find out whether a process listens at an address.
/// @param context runs the check and the callback; has one thread
/// @param address IP address and port
/// @param timeout longest time to wait for the connection
/// @param done called once with the result
/// @throws error of kind invalid_argument if the address cannot be parsed
void check_connection(runtime& context, const std::string& address, duration timeout,
                      std::function<void(connection_state)> done);

} // namespace medlaryoke::transport
