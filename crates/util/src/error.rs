//! An opaque error with context.

use std::error::Error as StdError;
use std::fmt;

/// An error message with context, outermost first.
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

    /// Prepends a description of the failed operation to the message.
    pub fn context(self, operation: impl fmt::Display) -> Self {
        Self(format!("{operation}: {}", self.0).into())
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
