//! Exit codes, and the faults that lead to them.

use std::fmt;
use std::process::ExitCode;

use sassafras_util::Error;
use sassafras_wire::proto::Failure;
use sassafras_wire::proto::failure::Code;

/// How a command ended; the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command did what it was asked to.
    Done = 0,
    /// It was refused, or a check found faults.
    Failed = 1,
    /// The arguments or the settings file are not valid.
    Usage = 2,
    /// Another change came first.
    Conflict = 3,
    /// The control group or a node did not answer in time.
    Unavailable = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command ended early.
#[derive(Debug)]
pub struct Fault {
    /// The exit code.
    pub exit: Exit,
    text: String,
}

impl Fault {
    /// Creates a fault.
    pub fn new(exit: Exit, text: impl fmt::Display) -> Self {
        Self {
            exit,
            text: text.to_string(),
        }
    }

    /// Creates a fault of a command that was refused or found faults.
    pub fn failed(text: impl fmt::Display) -> Self {
        Self::new(Exit::Failed, text)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl From<Error> for Fault {
    fn from(e: Error) -> Self {
        Self::failed(e)
    }
}

impl From<std::io::Error> for Fault {
    fn from(e: std::io::Error) -> Self {
        Self::failed(e)
    }
}

impl From<Failure> for Fault {
    fn from(failure: Failure) -> Self {
        let exit = match failure.code() {
            Code::NotLeader | Code::Unavailable | Code::Timeout => Exit::Unavailable,
            Code::Unspecified | Code::Invalid | Code::Denied => Exit::Failed,
        };
        let code = failure.code().as_str_name().to_lowercase();
        Self::new(exit, format!("{code}: {}", failure.detail))
    }
}
