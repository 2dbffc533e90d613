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

/// Puts the chunks of snapshots together, which may be interleaved with changes and with chunks
/// of other snapshots.
class snapshot_assembly {
public:
    /// A snapshot whose chunks have all been seen.
    struct complete_snapshot {
        std::uint64_t upto = 0;
        std::uint64_t first_offset = 0; ///< of its first chunk
        std::string data;
    };

    /// @param offset offset of the record
    /// @param record a record of the stream, in offset order
    void add(std::uint64_t offset, const policy::config_record& record);

    /// Forgets what was seen; the records before were not read by this process.
    /// @param offset last offset covered by a state received from elsewhere
    void start_after(std::uint64_t offset);

    /// @return the newest complete snapshot
    [[nodiscard]] const std::optional<complete_snapshot>& newest() const { return this->newest_; }

    /// @return how much the stream needs a snapshot
    [[nodiscard]] snapshot_need need() const;

private:
    struct partial_snapshot {
        std::uint64_t first_offset = 0;
        std::uint64_t upto = 0;
        std::uint64_t count = 0;
        std::map<std::uint64_t, std::string> chunks;
    };

    void add_chunk(std::uint64_t offset, const policy::snapshot_chunk& chunk);

    std::map<std::string, partial_snapshot> partial_;
    std::optional<complete_snapshot> newest_;
    std::set<std::uint64_t> changes_; ///< offsets of changes after the newest snapshot
};

} // namespace medlaryoke::controllers
