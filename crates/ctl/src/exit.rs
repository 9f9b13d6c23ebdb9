//! Exit codes and command errors.

use std::fmt;
use std::process::ExitCode;

use sassafras_util::Error;
use sassafras_wire::proto::Failure;
use sassafras_wire::proto::failure::Code;

/// Outcome of a command, and the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The request was rejected, or validation found errors.
    Failed = 1,
    /// The arguments or the settings file are invalid.
    Usage = 2,
    /// The change conflicts with another one that was accepted first.
    Conflict = 3,
    /// The control group or a node did not respond in time.
    Unavailable = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// An error that ends a command.
#[derive(Debug)]
pub struct CommandError {
    /// Exit code that the error leads to.
    pub exit: Exit,
    message: String,
}

impl CommandError {
    /// Creates an error that ends the program with `exit`.
    pub fn new(exit: Exit, message: impl fmt::Display) -> Self {
        Self {
            exit,
            message: message.to_string(),
        }
    }

    /// Creates an error with exit code [`Exit::Failed`].
    pub fn failed(message: impl fmt::Display) -> Self {
        Self::new(Exit::Failed, message)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl From<Error> for CommandError {
    fn from(e: Error) -> Self {
        Self::failed(e)
    }
}

impl From<std::io::Error> for CommandError {
    fn from(e: std::io::Error) -> Self {
        Self::failed(e)
    }
}

impl From<Failure> for CommandError {
    fn from(failure: Failure) -> Self {
        let exit = match failure.code() {
            Code::NotLeader | Code::Unavailable | Code::Timeout => Exit::Unavailable,
            Code::Unspecified | Code::Invalid | Code::Denied => Exit::Failed,
        };
        let code = failure.code().as_str_name().to_lowercase();
        Self::new(exit, format!("{code}: {}", failure.detail))
    }
}
