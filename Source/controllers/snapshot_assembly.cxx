#include "controllers/snapshot_assembly.h"

#include <algorithm>
#include <utility>

namespace medlaryoke::controllers {

namespace {

/// Writers append their chunks without a pause, so only a few snapshots are open at once; older
/// ones were given up by their writer.
constexpr std::size_t max_partial_snapshots = 8;
constexpr std::uint64_t max_chunks = 4096;

} // namespace

void snapshot_assembly::add(std::uint64_t offset, const policy::config_record& record)
{
    if (const auto* chunk = std::get_if<policy::snapshot_chunk>(&record)) {
        this->add_chunk(offset, *chunk);
    }
    else {
        this->changes_.insert(offset);
    }
}

void snapshot_assembly::add_chunk(std::uint64_t offset, const policy::snapshot_chunk& chunk)
{
    if (chunk.count == 0 || chunk.count > max_chunks || chunk.index >= chunk.count ||
        chunk.upto >= offset) {
        return;
    }
    auto& partial = this->partial_[chunk.snapshot_id];
    if (partial.chunks.empty()) {
        partial.first_offset = offset;
        partial.upto = chunk.upto;
        partial.count = chunk.count;
    }
    if (partial.upto != chunk.upto || partial.count != chunk.count) {
        return;
    }
    partial.chunks.emplace(chunk.index, chunk.data);
    if (partial.chunks.size() == partial.count) {
        if (!this->newest_ || this->newest_->upto <= partial.upto) {
            complete_snapshot complete{partial.upto, partial.first_offset, ""};
            for (const auto& [index, data] : partial.chunks) {
                complete.data += data;
            }
            this->newest_ = std::move(complete);
            std::erase_if(this->changes_, [this](auto it) { return it <= this->newest_->upto; });
        }
        this->partial_.erase(chunk.snapshot_id);
    }
    else if (this->partial_.size() > max_partial_snapshots) {
        this->partial_.erase(std::ranges::min_element(
            this->partial_, {}, [](const auto& it) { return it.second.first_offset; }));
    }
}

void snapshot_assembly::start_after(std::uint64_t offset)
{
    (void)offset;
    *this = {};
}

snapshot_need snapshot_assembly::need() const
{
    if (!this->newest_) {
        return {0, 1, this->changes_.size()};
    }
    const auto first =
        std::min(this->newest_->first_offset,
                 this->changes_.empty() ? this->newest_->first_offset : *this->changes_.begin());
    return {this->newest_->upto, first, this->changes_.size()};
}

} // namespace medlaryoke::controllers
