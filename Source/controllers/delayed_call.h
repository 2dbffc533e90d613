#pragma once

#include <functional>

#include "base/clock.h"

namespace medlaryoke::controllers {

/// Runs a function once after a delay. The processes use runtime::after, tests a queue that the
/// test itself advances.
using delayed_call = std::function<void(duration, std::function<void()>)>;

} // namespace medlaryoke::controllers
