#include "base/document_node.h"

#include <utility>

#include <fmt/format.h>

#include "base/error.h"

namespace medlaryoke {

void reject_document(std::string_view place, std::string_view path, std::string_view problem,
                     std::string remedy)
{
    const auto message = path.empty() ? fmt::format("{}: {}", place, problem)
                                      : fmt::format("{}: {}: {}", place, path, problem);
    throw error(error_kind::invalid_argument, message, std::move(remedy));
}

} // namespace medlaryoke
