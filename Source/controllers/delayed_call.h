#pragma once

#include <functional>

#include "base/clock.h"

namespace medlaryoke::controllers {

/// Runs a function once after a delay; runtime::after in the product, a hand-driven queue in tests.
using delayed_call = std::function<void(duration, std::function<void()>)>;

} // namespace medlaryoke::controllers
