#include "policy/retry_budget.h"

#include <random>

#include <criterion/criterion.h>

using medlaryoke::policy::retry_budget;

// Guards against retries that multiply the load during an overload, and against rounding errors, by
// comparison with an integer count of eighths of a token.
Test(retry_budget, agrees_with_an_integer_count)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        retry_budget budget(0.125, 10);
        int eighths = 80;
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < 5'000; ++i) {
            if (random() % 3 == 0) {
                const bool allowed = budget.try_retry();
                cr_assert(allowed == (eighths >= 8), "seed %lu", seed);
                eighths -= allowed ? 8 : 0;
                retries += allowed ? 1 : 0;
            }
            else {
                budget.on_request();
                eighths = std::min(80, eighths + 1);
                ++requests;
            }
            cr_assert(retries <= 10 + requests / 8, "seed %lu", seed);
        }
    }
}
