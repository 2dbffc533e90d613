#pragma once

#include <string>
#include <vector>

#include "base/document_node.h"
#include "base/field_visitor.h"

namespace medlaryoke {

/// How keys that belong to no field are handled.
enum class unknown_keys { refuse, ignore };

/// Reads the fields of a structure from one mapping of a document. Values of a wrong type, form or
/// range are refused with an error of kind invalid_argument.
class document_fields final : public field_visitor {
public:
    /// @param node the mapping; must outlive this object
    /// @param path keys that enclose the mapping, such as `entry`; empty at the top level
    /// @param unknown whether finish() refuses keys that were not visited
    /// @throws error of kind invalid_argument if the node is not a mapping
    document_fields(const document_node& node, std::string path,
                    unknown_keys unknown = unknown_keys::refuse);

    void text(std::string_view key, std::string& value, text_rule rule, presence needed) override;
    void texts(std::string_view key, std::vector<std::string>& values, text_rule rule,
               presence needed) override;
    void whole(std::string_view key, std::uint64_t& value, whole_limits limits,
               presence needed) override;
    void optional_whole(std::string_view key, std::optional<std::uint64_t>& value,
                        whole_limits limits) override;
    void real(std::string_view key, double& value, real_limits limits, presence needed) override;
    void time(std::string_view key, duration& value, duration_limits limits,
              presence needed) override;
    void flag(std::string_view key, bool& value) override;
    void choice(std::string_view key, std::size_t& index, std::span<const std::string_view> names,
                presence needed) override;
    void section(std::string_view key, const std::function<void(field_visitor&)>& visit) override;

    /// Finds the value of a key that the caller reads itself, and marks the key as visited.
    /// @return the value; null if the key is absent and optional
    const document_node* find(std::string_view key, presence needed);

    /// Refuses keys that were not visited.
    /// @throws error of kind invalid_argument that names the first such key
    void finish() const;

private:
    [[nodiscard]] std::string path_of(std::string_view key) const;
    const document_node* find_scalar(std::string_view key, presence needed);
    [[noreturn]] void reject(const document_node& node, std::string_view key,
                             std::string_view problem, std::string remedy) const;
    std::uint64_t parse_whole(const document_node& node, std::string_view key,
                              whole_limits limits) const;
    std::string parse_text(const document_node& node, std::string_view key, text_rule rule) const;

    const document_node& node_;
    std::string path_;
    unknown_keys unknown_;
    std::vector<std::string> visited_;
};

} // namespace medlaryoke
