#pragma once

#include <string>
#include <vector>

#include "base/document_node.h"

namespace medlaryoke {

/// Parses a YAML stream. Anchors, aliases, tags and duplicate keys are refused, so that every
/// parser reads a document in the same way.
/// @param text the stream
/// @param source name of the file, part of every place
/// @return one node per document; empty documents are left out
/// @throws error of kind invalid_argument that names file, line and remedy
std::vector<document_node> read_yaml(const std::string& text, const std::string& source);

/// Reads a whole text file of at most 16 MiB.
/// @param path the file
/// @return its content
/// @throws error of kind not_found if it cannot be opened or read, too_large if it exceeds the
/// limit
std::string read_text_file(const std::string& path);

} // namespace medlaryoke
