#include "model/resource_text.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/duration_text.h"
#include "base/error.h"
#include "base/text_rules.h"
#include "base/yaml_reader.h"
#include "model/json_document.h"
#include "model/resource_fields.h"

namespace medlaryoke::model {

namespace {

using json = nlohmann::ordered_json;

/// Writes the fields of a specification into a JSON object.
class json_writer final : public field_visitor {
public:
    explicit json_writer(json& object) : object_(object) {}

    void text(std::string_view key, std::string& value, text_rule rule, presence needed) override
    {
        (void)rule;
        (void)needed;
        this->object_[std::string(key)] = value;
    }

    void texts(std::string_view key, std::vector<std::string>& values, text_rule rule,
               presence needed) override
    {
        (void)rule;
        if (needed == presence::required || !values.empty()) {
            this->object_[std::string(key)] = values;
        }
    }

    void whole(std::string_view key, std::uint64_t& value, whole_limits limits,
               presence needed) override
    {
        (void)limits;
        (void)needed;
        this->object_[std::string(key)] = value;
    }

    void optional_whole(std::string_view key, std::optional<std::uint64_t>& value,
                        whole_limits limits) override
    {
        (void)limits;
        if (value) {
            this->object_[std::string(key)] = *value;
        }
    }

    void real(std::string_view key, double& value, real_limits limits, presence needed) override
    {
        (void)limits;
        (void)needed;
        this->object_[std::string(key)] = value;
    }

    void time(std::string_view key, duration& value, duration_limits limits,
              presence needed) override
    {
        (void)limits;
        (void)needed;
        this->object_[std::string(key)] = format_duration(value);
    }

    void flag(std::string_view key, bool& value) override
    {
        this->object_[std::string(key)] = value;
    }

    void choice(std::string_view key, std::size_t& index, std::span<const std::string_view> names,
                presence needed) override
    {
        (void)needed;
        this->object_[std::string(key)] = names[index];
    }

    void section(std::string_view key, const std::function<void(field_visitor&)>& visit) override
    {
        json inner = json::object();
        json_writer writer(inner);
        visit(writer);
        this->object_[std::string(key)] = std::move(inner);
    }

private:
    json& object_;
};

resource_spec default_spec(std::string_view kind, std::string_view place)
{
    const std::vector<resource_spec> specs{model_group_spec{}, upstream_spec{}, priority_spec{},
                                           caller_spec{}};
    const auto it = std::ranges::find(specs, kind, kind_of);
    if (it == specs.end()) {
        reject_document(place, "kind", fmt::format("\"{}\" is not a kind of resource", kind),
                        fmt::format("Write one of {}.", fmt::join(resource_kinds(), ", ")));
    }
    return *it;
}

resource_spec read_spec(std::string_view kind, const document_node& node, std::string path,
                        unknown_keys unknown)
{
    auto spec = default_spec(kind, node.place);
    document_fields fields(node, std::move(path), unknown);
    visit_spec(fields, spec);
    fields.finish();
    return spec;
}

json spec_to_json_object(const resource_spec& spec)
{
    json object = json::object();
    json_writer writer(object);
    auto copy = spec;
    visit_spec(writer, copy);
    return object;
}

declared_resource read_resource(const document_node& node)
{
    document_fields fields(node, "");
    std::string kind;
    declared_resource declared;
    fields.text("kind", kind, text_rule::any, presence::required);
    fields.text("name", declared.value.name, text_rule::name, presence::required);
    const auto* spec = fields.find("spec", presence::required);
    declared.value.spec = read_spec(kind, *spec, "spec", unknown_keys::refuse);
    declared.place = node.place;
    fields.finish();
    return declared;
}

} // namespace

std::vector<declared_resource> parse_resources(const std::string& text, const std::string& source)
{
    const auto documents = read_yaml(text, source);
    std::vector<declared_resource> resources;
    std::ranges::transform(documents, std::back_inserter(resources), read_resource);
    return resources;
}

resource_spec parse_spec(std::string_view kind, std::string_view text, const std::string& source,
                         unknown_keys unknown)
{
    return read_spec(kind, read_json(text, source), "spec", unknown);
}

std::string spec_to_json(const resource_spec& spec)
{
    return spec_to_json_object(spec).dump();
}

std::string resource_to_yaml(const resource& value)
{
    auto text = fmt::format("kind: {}\nname: {}\nspec:\n", kind_of(value.spec), value.name);
    const auto object = spec_to_json_object(value.spec);
    for (const auto& [key, field] : object.items()) {
        // JSON values are valid in YAML.
        text += fmt::format("  {}: {}\n", key, field.dump());
    }
    return text;
}

void check_resource_name(std::string_view name)
{
    if (!obeys(text_rule::name, name)) {
        reject_document("name", "", fmt::format("\"{}\" is not a name", name),
                        fmt::format("Write {}.", range_of(text_rule::name)));
    }
}

const std::vector<std::string>& resource_kinds()
{
    static const std::vector<std::string> kinds{"model_group", "upstream", "priority", "caller"};
    return kinds;
}

std::vector<field_description> resource_keys(std::string_view kind)
{
    auto spec = default_spec(kind, "kind");
    field_descriptions fields;
    visit_spec(fields, spec);
    return fields.all();
}

} // namespace medlaryoke::model
