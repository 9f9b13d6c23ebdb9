//! Random numbers that others must not be able to guess.

/// Returns a random number from the thread's cryptographically secure generator.
pub fn random_u64() -> u64 {
    rand::random()
}
