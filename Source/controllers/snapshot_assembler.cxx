#include "controllers/snapshot_assembler.h"

#include <algorithm>
#include <utility>

namespace medlaryoke::controllers {

namespace {

// A writer appends the chunks of a snapshot without a pause, so only a few snapshots are
// incomplete at a time. If there are more, the writers of the oldest have abandoned them.
constexpr std::size_t max_partial_snapshots = 8;
constexpr std::uint64_t max_chunks = 4096;

} // namespace

void snapshot_assembler::add(std::uint64_t offset, const policy::config_record& record)
{
    if (const auto* chunk = std::get_if<policy::snapshot_chunk>(&record)) {
        this->add_chunk(offset, *chunk);
    }
    else {
        this->change_offsets_.insert(offset);
    }
}

void snapshot_assembler::add_chunk(std::uint64_t offset, const policy::snapshot_chunk& chunk)
{
    if (chunk.count == 0 || chunk.count > max_chunks || chunk.index >= chunk.count ||
        chunk.upto >= offset) {
        return;
    }
    auto& partial = this->partial_snapshots_[chunk.snapshot_id];
    if (partial.chunks.empty()) {
        partial.first_offset = offset;
        partial.covered_offset = chunk.upto;
        partial.chunk_count = chunk.count;
    }
    if (partial.covered_offset != chunk.upto || partial.chunk_count != chunk.count) {
        return;
    }
    partial.chunks.emplace(chunk.index, chunk.data);
    if (partial.chunks.size() == partial.chunk_count) {
        if (!this->newest_ || this->newest_->covered_offset <= partial.covered_offset) {
            complete_snapshot complete{partial.covered_offset, partial.first_offset, ""};
            for (const auto& [index, data] : partial.chunks) {
                complete.data += data;
            }
            this->newest_ = std::move(complete);
            std::erase_if(this->change_offsets_,
                          [this](auto it) { return it <= this->newest_->covered_offset; });
        }
        this->partial_snapshots_.erase(chunk.snapshot_id);
    }
    else if (this->partial_snapshots_.size() > max_partial_snapshots) {
        this->partial_snapshots_.erase(std::ranges::min_element(
            this->partial_snapshots_, {}, [](const auto& it) { return it.second.first_offset; }));
    }
}

void snapshot_assembler::reset_to(std::uint64_t offset)
{
    (void)offset;
    *this = {};
}

snapshot_coverage snapshot_assembler::coverage() const
{
    if (!this->newest_) {
        return {0, 1, this->change_offsets_.size()};
    }
    const auto oldest_needed =
        std::min(this->newest_->first_offset, this->change_offsets_.empty()
                                                  ? this->newest_->first_offset
                                                  : *this->change_offsets_.begin());
    return {this->newest_->covered_offset, oldest_needed, this->change_offsets_.size()};
}

} // namespace medlaryoke::controllers
