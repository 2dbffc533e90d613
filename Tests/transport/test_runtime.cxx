#include "transport/runtime_implementation.h"

#include <chrono>
#include <future>
#include <stdexcept>

#include <boost/asio/post.hpp>
#include <criterion/criterion.h>

using namespace medlaryoke::transport;

// Guards against a process that ends because one handler throws.
Test(runtime, goes_on_after_a_handler_that_throws)
{
    runtime context{1};
    context.start();
    boost::asio::post(context.impl().context, [] { throw std::runtime_error("unexpected"); });
    std::promise<void> called;
    context.post([&called] { called.set_value(); });
    cr_assert(called.get_future().wait_for(std::chrono::seconds(2)) == std::future_status::ready);
    context.stop();
}
