#include "model/resource_check.h"

#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace medlaryoke::model {

namespace {

/// Checks the resources of one configuration and collects the problems found.
class consistency_checker {
public:
    explicit consistency_checker(const std::vector<const resource*>& resources)
        : resources_(resources)
    {
        for (const auto* it : resources) {
            if (const auto* group = std::get_if<model_group_spec>(&it->spec)) {
                this->model_groups_.emplace(it->name, group);
            }
            if (std::holds_alternative<priority_spec>(it->spec)) {
                this->priority_names_.insert(it->name);
            }
        }
    }

    std::vector<resource_problem> run()
    {
        for (this->index_ = 0; this->index_ < this->resources_.size(); ++this->index_) {
            const auto& current = *this->resources_[this->index_];
            if (!this->declared_resources_.emplace(kind_of(current.spec), current.name).second) {
                this->report("is declared twice", "Keep one of the two.");
                continue;
            }
            std::visit([this](const auto& spec) { this->check(spec); }, current.spec);
        }
        return std::move(this->problems_);
    }

private:
    void report(std::string_view problem, std::string remedy)
    {
        const auto& current = *this->resources_[this->index_];
        this->problems_.push_back(
            {this->index_,
             fmt::format("{} \"{}\": {}", kind_of(current.spec), current.name, problem),
             std::move(remedy)});
    }

    /// Reports a value that an earlier resource already uses.
    /// @param seen maps each value to the name of the first resource that uses it
    template <typename Map, typename Value>
    void require_unique(Map& seen, const Value& value, std::string_view field)
    {
        const auto& name = this->resources_[this->index_]->name;
        const auto [it, inserted] = seen.emplace(value, name);
        if (!inserted) {
            this->report(fmt::format("{} {} is already used by \"{}\"", field, value, it->second),
                         fmt::format("Choose another {}.", field));
        }
    }

    void check(const model_group_spec& spec)
    {
        if (spec.experts_per_layer > 0 && spec.layers == 0) {
            this->report("layers is 0 although experts_per_layer is set",
                         "Write the number of layers that have experts.");
        }
    }

    void check(const upstream_spec& spec)
    {
        this->require_unique(this->name_by_agent_address_, spec.agent, "agent");
        const auto group = this->model_groups_.find(spec.serves);
        const bool is_engine = spec.type == upstream_type::engine;
        if (is_engine && group == this->model_groups_.end()) {
            this->report(fmt::format("serves \"{}\", which is not a model_group", spec.serves),
                         "Add the model_group or correct the name.");
            return;
        }
        if (!is_engine && group != this->model_groups_.end()) {
            this->report(fmt::format("is a service but serves model_group \"{}\"", spec.serves),
                         "Write type: engine, or name a service.");
        }
        if (!is_engine && spec.rank) {
            this->report(fmt::format("rank {} is set for a service", *spec.rank),
                         "Remove the rank; only engines have one.");
        }
        if (is_engine && spec.rank && *spec.rank >= group->second->ranks) {
            this->report(fmt::format("rank {} is not below the {} ranks of model_group \"{}\"",
                                     *spec.rank, group->second->ranks, spec.serves),
                         "Write a rank of the group, counted from 0.");
        }
    }

    void check(const priority_spec& spec)
    {
        this->require_unique(this->name_by_order_, spec.order, "order");
        this->floor_sum_ += spec.floor;
        if (this->floor_sum_ >= 1 && !this->floor_sum_reported_) {
            this->floor_sum_reported_ = true;
            this->report(fmt::format("floor {} brings the sum of all floors to {}", spec.floor,
                                     this->floor_sum_),
                         "Lower the floors so that their sum is below 1.");
        }
    }

    void check(const caller_spec& spec)
    {
        this->require_unique(this->name_by_credential_, spec.credential_sha256,
                             "credential_sha256");
        std::set<std::string_view> seen;
        for (const auto& name : spec.priorities) {
            if (!this->priority_names_.contains(name)) {
                this->report(fmt::format("priorities names \"{}\", which is not a priority", name),
                             "Add the priority or correct the name.");
            }
            if (!seen.insert(name).second) {
                this->report(fmt::format("priorities names \"{}\" twice", name),
                             "Keep one of the two.");
            }
        }
    }

    const std::vector<const resource*>& resources_;
    std::size_t index_ = 0;
    std::vector<resource_problem> problems_;
    std::map<std::string_view, const model_group_spec*> model_groups_;
    std::set<std::string_view> priority_names_;
    std::set<std::pair<std::string_view, std::string_view>> declared_resources_;
    std::map<std::string_view, std::string_view> name_by_agent_address_;
    std::map<unsigned, std::string_view> name_by_order_;
    std::map<std::string_view, std::string_view> name_by_credential_;
    double floor_sum_ = 0;
    bool floor_sum_reported_ = false;
};

} // namespace

std::vector<resource_problem> check_resources(const std::vector<const resource*>& resources)
{
    return consistency_checker(resources).run();
}

} // namespace medlaryoke::model
