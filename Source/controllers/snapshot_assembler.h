#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "controllers/config_store.h"
#include "policy/config_ledger.h"

namespace medlaryoke::controllers {

/// Assembles snapshots from their chunks. In the stream, the chunks of a snapshot may be
/// interleaved with changes and with chunks of other snapshots.
class snapshot_assembler {
public:
    /// A snapshot of which all chunks have been added.
    struct complete_snapshot {
        std::uint64_t covered_offset = 0; ///< last offset that the snapshot covers
        std::uint64_t first_offset = 0;   ///< offset of the first of its chunks that was added
        std::string data;
    };

    /// Adds the next record of the stream. Records must be added in offset order.
    /// @param offset offset of the record
    /// @param record a change, a cancellation or a chunk of a snapshot
    void add(std::uint64_t offset, const policy::config_record& record);

    /// Discards all chunks and changes. Called after a state was loaded from a snapshot, because
    /// this process has not read the records before it.
    /// @param offset last offset that the loaded state covers; unused
    void reset_to(std::uint64_t offset);

    /// @return the newest complete snapshot; empty if there is none
    [[nodiscard]] const std::optional<complete_snapshot>& newest() const { return this->newest_; }

    /// @return what the newest complete snapshot covers and how many changes follow it
    [[nodiscard]] snapshot_coverage coverage() const;

private:
    struct partial_snapshot {
        std::uint64_t first_offset = 0; ///< offset of the first of its chunks that was added
        std::uint64_t covered_offset = 0;
        std::uint64_t chunk_count = 0;
        std::map<std::uint64_t, std::string> chunks; ///< by index
    };

    void add_chunk(std::uint64_t offset, const policy::snapshot_chunk& chunk);

    std::map<std::string, partial_snapshot> partial_snapshots_; ///< by snapshot id
    std::optional<complete_snapshot> newest_;
    std::set<std::uint64_t> change_offsets_; ///< offsets of changes after the newest snapshot
};

} // namespace medlaryoke::controllers
