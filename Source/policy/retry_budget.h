#pragma once

namespace medlaryoke::policy {

/// Token bucket that limits retries to a fraction of the requests. Not thread safe.
class retry_budget {
public:
    /// @param tokens_per_request tokens added for each request; a retry takes one token
    /// @param max_tokens capacity of the bucket, which is full at the start
    explicit retry_budget(double tokens_per_request = 0.1, double max_tokens = 10);

    /// Adds the tokens for the first attempt of a request.
    void on_request();

    /// Takes one token.
    /// @return whether the retry may be made
    bool try_retry();

    /// @return number of tokens in the bucket
    [[nodiscard]] double available() const { return this->tokens_; }

private:
    double tokens_per_request_;
    double max_tokens_;
    double tokens_;
};

} // namespace medlaryoke::policy
