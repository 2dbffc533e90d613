#include "transport/address_text.h"

#include "base/error.h"
#include "transport/tcp_address.h"

namespace medlaryoke::transport {

bool is_address_and_port(const std::string& text)
{
    try {
        parse_tcp_address(text);
        return true;
    }
    catch (const error&) {
        return false; // the caller reports it
    }
}

} // namespace medlaryoke::transport
