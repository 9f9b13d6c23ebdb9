//! Unpredictable random numbers.

/// Returns a random number from the thread's cryptographically secure generator.
pub fn random_u64() -> u64 {
    rand::random()
}
