#pragma once

// The coroutine support of Asio in Boost 1.74 uses std::exchange without including <utility>, so
// <utility> must be included before any Asio header.
#include <utility>
