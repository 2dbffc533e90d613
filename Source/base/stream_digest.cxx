#include "base/stream_digest.h"

#include <new>

#include <xxhash.h>

namespace medlaryoke {

struct stream_digest::state_type {
    XXH3_state_t* xxh = nullptr;
};

void stream_digest::state_deleter::operator()(state_type* state) const
{
    XXH3_freeState(state->xxh);
    delete state;
}

stream_digest::stream_digest() : state_(new state_type)
{
    this->state_->xxh = XXH3_createState();
    if (this->state_->xxh == nullptr) {
        throw std::bad_alloc();
    }
    XXH3_64bits_reset(this->state_->xxh);
}

void stream_digest::update(std::string_view data)
{
    XXH3_64bits_update(this->state_->xxh, data.data(), data.size());
}

std::uint64_t stream_digest::value() const
{
    return XXH3_64bits_digest(this->state_->xxh);
}

} // namespace medlaryoke
