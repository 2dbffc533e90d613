#include "base/yaml_reader.h"

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include "base/error.h"

namespace medlaryoke {

namespace {

constexpr std::size_t max_file_bytes = 16U * 1024U * 1024U;

/// Builds a document tree from the parser events of one document.
class tree_builder final : public YAML::EventHandler {
public:
    explicit tree_builder(const std::string& source) : source_(source) {}

    void OnDocumentStart(const YAML::Mark& mark) override { this->start_ = mark; }
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        this->refuse_anchor(mark, anchor);
        document_node node;
        node.place = this->place(mark);
        this->add(std::move(node));
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        (void)anchor;
        reject_document(this->place(mark), "", "an alias is not allowed",
                        "Repeat the value instead of referring to it.");
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  const std::string& value) override
    {
        this->refuse_anchor(mark, anchor);
        this->refuse_tag(mark, tag);
        document_node node;
        node.place = this->place(mark);
        // The parser reports the tag "!" for quoted scalars and "?" for plain ones.
        node.form = tag == "!" ? scalar_form::text : scalar_form::plain;
        node.shape =
            node.form == scalar_form::plain && (value.empty() || value == "~" || value == "null")
                ? document_node::node_shape::missing
                : document_node::node_shape::scalar;
        node.scalar = value;
        this->add(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value style) override
    {
        (void)style;
        this->open(mark, tag, anchor, document_node::node_shape::sequence);
    }

    void OnSequenceEnd() override { this->close(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value style) override
    {
        (void)style;
        this->open(mark, tag, anchor, document_node::node_shape::mapping);
    }

    void OnMapEnd() override { this->close(); }

    document_node take() { return std::move(this->root_); }

    /// Refuses a document that starts at the same position as the one before it. At a token that
    /// cannot start a node, such as `,`, the parser reports empty documents endlessly.
    void require_progress(int& previous_start) const
    {
        if (this->start_.pos == previous_start) {
            reject_document(this->place(this->start_), "", "a value cannot start here",
                            "Correct the YAML syntax at this line.");
        }
        previous_start = this->start_.pos;
    }

private:
    /// A container that is not closed yet, and the key whose value is still missing.
    struct open_container {
        document_node node;
        bool has_key = false;
        document_member pending;
    };

    [[nodiscard]] std::string place(const YAML::Mark& mark) const
    {
        return fmt::format("{}:{}", this->source_, mark.line + 1);
    }

    void refuse_anchor(const YAML::Mark& mark, YAML::anchor_t anchor) const
    {
        if (anchor != 0) {
            reject_document(this->place(mark), "", "an anchor is not allowed",
                            "Remove the & and the name after it.");
        }
    }

    void refuse_tag(const YAML::Mark& mark, const std::string& tag) const
    {
        if (!tag.empty() && tag != "!" && tag != "?") {
            reject_document(this->place(mark), "", fmt::format("tag \"{}\" is not allowed", tag),
                            "Remove the tag.");
        }
    }

    void open(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
              document_node::node_shape shape)
    {
        this->refuse_anchor(mark, anchor);
        this->refuse_tag(mark, tag);
        if (this->open_.size() >= max_document_depth) {
            reject_document(this->place(mark), "",
                            fmt::format("nested more than {} levels deep", max_document_depth),
                            "Remove the inner levels.");
        }
        open_container container;
        container.node.shape = shape;
        container.node.place = this->place(mark);
        this->open_.push_back(std::move(container));
    }

    void close()
    {
        auto node = std::move(this->open_.back().node);
        this->open_.pop_back();
        this->add(std::move(node));
    }

    void add(document_node node)
    {
        if (this->open_.empty()) {
            this->root_ = std::move(node);
            return;
        }
        auto& parent = this->open_.back();
        if (parent.node.shape == document_node::node_shape::sequence) {
            parent.node.items.push_back(std::move(node));
        }
        else if (parent.has_key) {
            parent.pending.value = std::move(node);
            parent.node.members.push_back(std::move(parent.pending));
            parent.has_key = false;
        }
        else {
            this->set_key(parent, node);
        }
    }

    static void set_key(open_container& parent, const document_node& node)
    {
        if (node.shape != document_node::node_shape::scalar) {
            reject_document(node.place, "", "a key is not plain text", "Write a plain key.");
        }
        if (std::ranges::find(parent.node.members, node.scalar, &document_member::key) !=
            parent.node.members.end()) {
            reject_document(node.place, "", fmt::format("key \"{}\" is given twice", node.scalar),
                            "Keep one of the two lines.");
        }
        parent.has_key = true;
        parent.pending = {node.scalar, node.place, {}};
    }

    const std::string& source_;
    YAML::Mark start_;
    std::vector<open_container> open_;
    document_node root_;
};

} // namespace

std::vector<document_node> read_yaml(const std::string& text, const std::string& source)
{
    std::vector<document_node> documents;
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        int previous_start = -1;
        while (true) {
            tree_builder builder(source);
            if (!parser.HandleNextDocument(builder)) {
                break;
            }
            builder.require_progress(previous_start);
            auto node = builder.take();
            if (node.shape != document_node::node_shape::missing) {
                documents.push_back(std::move(node));
            }
        }
    }
    catch (const YAML::Exception& e) {
        reject_document(fmt::format("{}:{}", source, e.mark.line + 1), "", e.msg,
                        "Correct the YAML syntax at this line.");
    }
    return documents;
}

std::string read_text_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw error(error_kind::not_found, fmt::format("{}: cannot be opened", path),
                    "Check the path and its permissions.");
    }
    std::string text;
    text.resize(max_file_bytes + 1);
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (file.bad()) {
        throw error(error_kind::not_found, fmt::format("{}: cannot be read", path),
                    "Check that the path names a file.");
    }
    if (text.size() > max_file_bytes) {
        throw error(error_kind::too_large,
                    fmt::format("{}: larger than {} bytes", path, max_file_bytes),
                    "Split the file.");
    }
    return text;
}

} // namespace medlaryoke
