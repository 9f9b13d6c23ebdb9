//! What a check found: faults that must be corrected, and warnings.

use std::fmt;

/// Whether a finding must be corrected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Nothing is generated or applied until it is corrected.
    Error,
    /// Worth a look; does not stop anything.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// One fault or warning, complete with the place it concerns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Whether it must be corrected.
    pub severity: Severity,
    /// Where it is, what is wrong and what is accepted.
    pub text: String,
}

impl Finding {
    /// Creates a finding that must be corrected.
    pub fn error(text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            text: text.into(),
        }
    }

    /// Creates a finding that stops nothing.
    pub fn warning(text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            text: text.into(),
        }
    }

    /// Reports whether the finding must be corrected.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.severity, self.text)
    }
}
