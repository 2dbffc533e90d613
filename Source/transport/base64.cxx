#include "transport/base64.h"

#include <algorithm>

#include <openssl/evp.h>

namespace medlaryoke::transport {

namespace {

/// Base64 encodes each group of three bytes as four characters.
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_characters = 4;

} // namespace

std::string encode_base64(std::string_view data)
{
    const auto groups = (data.size() + group_bytes - 1) / group_bytes;
    std::string text(groups * group_characters + 1, '\0'); // OpenSSL appends a terminating zero
    const auto n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(data.data()),
                                   static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    // OpenSSL ignores surrounding white space, so the decoded length would not match the text.
    if (text.size() % group_characters != 0 || text.find_first_of(" \t\r\n") != text.npos) {
        return std::nullopt;
    }
    std::string data(text.size() / group_characters * group_bytes, '\0');
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
