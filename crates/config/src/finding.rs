//! Errors and warnings found by checks of answers and declarations.

use std::fmt;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Prevents generation and application.
    Error,
    /// Does not prevent generation or application.
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

/// An error or warning with its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Whether this is an error or a warning.
    pub severity: Severity,
    /// Location, problem and accepted values.
    pub text: String,
}

impl Finding {
    /// Creates an error.
    pub fn error(text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            text: text.into(),
        }
    }

    /// Creates a warning.
    pub fn warning(text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            text: text.into(),
        }
    }

    /// Reports whether this is an error.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.severity, self.text)
    }
}
