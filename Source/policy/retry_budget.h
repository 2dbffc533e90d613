#pragma once

namespace medlaryoke::policy {

/// Token bucket that bounds retries to a part of the requests. Not thread safe.
class retry_budget {
public:
    /// @param ratio tokens earned by each request, as a part of a retry
    /// @param burst most tokens kept; also the tokens at the start
    explicit retry_budget(double ratio = 0.1, double burst = 10);

    /// Earns the part of a retry that belongs to a first attempt.
    void on_request();

    /// Takes the token of one retry.
    /// @return whether the retry may be made
    bool try_retry();

    /// @return the number of retries that could be made now
    [[nodiscard]] double available() const { return this->tokens_; }

private:
    double ratio_;
    double burst_;
    double tokens_;
};

} // namespace medlaryoke::policy
