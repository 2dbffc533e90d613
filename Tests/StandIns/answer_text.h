#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace medlaryoke::standins {

/// Characters of a prompt that count as one token.
constexpr std::size_t characters_per_token = 4;

/// Characters of a prompt in one block of the prefix cache.
constexpr std::size_t characters_per_block = 64;

/// @param body a chat completions request
/// @return the prompt: role, line break, content, line break for each message
/// @throws error of kind invalid_argument if `messages` is missing or malformed
std::string render_prompt(const nlohmann::json& body);

/// @param prompt the rendered prompt
/// @param position index of the token in the answer, from 0
/// @return the token of the stand-in engine's answer
std::string answer_token(std::string_view prompt, std::size_t position);

/// @param prompt the rendered prompt
/// @param tokens length of the answer in tokens
/// @return the whole answer of the stand-in engine
std::string answer_text(std::string_view prompt, std::size_t tokens);

/// @param prompt the rendered prompt
/// @return for each whole block, the XXH3-64 hash of the prompt up to its end
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt);

} // namespace medlaryoke::standins
