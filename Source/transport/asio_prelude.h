#pragma once

// Boost 1.74 Asio coroutines use std::exchange without including its header, so <utility> must come
// before any Asio header.
#include <utility>
