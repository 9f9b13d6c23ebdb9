//! An opaque error with context, the base of each crate's error type.

use std::error::Error as StdError;
use std::fmt;

/// An error with a chain of context, outermost first.
///
/// ```
/// use sassafras_util::Error;
///
/// let cause = Error::new("connection refused");
/// assert_eq!(cause.context("dial 127.0.0.1:7000").to_string(), "dial 127.0.0.1:7000: connection refused");
/// ```
pub struct Error(Box<str>);

impl Error {
    /// Creates an error from a message.
    pub fn new(message: impl fmt::Display) -> Self {
        Self(message.to_string().into())
    }

    /// Puts what was being done in front of the message.
    pub fn context(self, doing: impl fmt::Display) -> Self {
        Self(format!("{doing}: {}", self.0).into())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl StdError for Error {}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Self {
        Self::new(e)
    }
}
