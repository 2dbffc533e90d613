#include "transport/base64.h"

#include <algorithm>

#include <openssl/evp.h>

namespace medlaryoke::transport {

namespace {

constexpr std::size_t block_bytes = 3;
constexpr std::size_t block_characters = 4;

} // namespace

std::string encode_base64(std::string_view data)
{
    const auto blocks = (data.size() + block_bytes - 1) / block_bytes;
    std::string text(blocks * block_characters + 1, '\0'); // OpenSSL adds a terminating zero
    const auto n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(data.data()),
                                   static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    // OpenSSL skips surrounding white space, which would make the length wrong.
    if (text.size() % block_characters != 0 || text.find_first_of(" \t\r\n") != text.npos) {
        return std::nullopt;
    }
    std::string data(text.size() / block_characters * block_bytes, '\0');
    const auto n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
    if (n < 0) {
        return std::nullopt;
    }
    const auto padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    data.resize(static_cast<std::size_t>(std::max(n - padding, 0)));
    return data;
}

} // namespace medlaryoke::transport
