#include "StandIns/answer_text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/error.h"

namespace medlaryoke::standins {

std::string render_prompt(const nlohmann::json& body)
{
    const auto messages = body.find("messages");
    const auto throw_malformed = [] {
        throw error(error_kind::invalid_argument,
                    "\"messages\" is not a list of objects with the texts \"role\" and \"content\"",
                    "Send a chat completions request with text messages.");
    };
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        throw_malformed();
    }
    std::string prompt;
    for (const auto& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
            !message.contains("content") || !message["content"].is_string()) {
            throw_malformed();
        }
        prompt += message["role"].get_ref<const std::string&>() + "\n";
        prompt += message["content"].get_ref<const std::string&>() + "\n";
    }
    return prompt;
}

std::string answer_token(std::string_view prompt, std::size_t position)
{
    constexpr std::uint64_t vocabulary_size = 10'000;
    const auto seed = hash64(prompt);
    return fmt::format("w{} ", hash64(fmt::format("{}", position), seed) % vocabulary_size);
}

std::string answer_text(std::string_view prompt, std::size_t tokens)
{
    std::string text;
    for (std::size_t n = 0; n < tokens; ++n) {
        text += answer_token(prompt, n);
    }
    return text;
}

std::vector<std::uint64_t> prefix_blocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    for (auto end = characters_per_block; end <= prompt.size(); end += characters_per_block) {
        blocks.push_back(hash64(prompt.substr(0, end)));
    }
    return blocks;
}

} // namespace medlaryoke::standins
