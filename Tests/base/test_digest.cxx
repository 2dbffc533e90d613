#include "base/digest.h"

#include <criterion/criterion.h>

// Guards against a digest that differs between releases. Stored idempotency keys would no longer be
// found.
Test(digest, matches_published_values)
{
    cr_assert(medlaryoke::hash64("") == 0x2d06800538d394c2ULL);
    cr_assert(medlaryoke::to_string(medlaryoke::hash128("")) == "99aa06d3014798d86001c324468d497f");
    cr_assert(medlaryoke::sha256_hex("abc") ==
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
