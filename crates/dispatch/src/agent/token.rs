//! The fencing token in the commands of an agent.

/// Added to a token that an endpoint rejected. Tokens are wall-clock times, which may jump by
/// seconds.
const INCREMENT: u64 = 10_000;

/// The fencing token of an agent. It never falls, and is the same for all its endpoints, since
/// instances may follow each other under one id.
#[derive(Debug)]
pub(super) struct FencingToken(u64);

impl FencingToken {
    pub(super) fn new(token: u64) -> Self {
        Self(token)
    }

    /// Returns the token for the next command.
    pub(super) fn get(&self) -> u64 {
        self.0
    }

    /// Reports whether commands with a higher token than `token` may have been sent.
    pub(super) fn is_above(&self, token: u64) -> bool {
        self.0 > token
    }

    /// Gives later commands a higher token than `token`. Once an endpoint has executed one of them,
    /// it rejects the earlier ones, however late they arrive.
    pub(super) fn fence(&mut self, token: u64) {
        self.0 = self.0.max(token + 1);
    }

    /// Raises the token after an endpoint rejected `token`, unless that was done since the rejected
    /// command was sent.
    pub(super) fn advance(&mut self, token: u64) {
        if !self.is_above(token) {
            self.0 += INCREMENT;
        }
    }
}
