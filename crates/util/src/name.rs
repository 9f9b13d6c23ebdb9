//! Shared immutable strings for the names of teams, jobs, nodes and kinds of task.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// Maximum length of a name from an external source.
const MAX_NAME_BYTES: usize = 128;

/// A shared immutable name. Cloning it copies a pointer and not the text.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name(Arc<str>);

impl Name {
    /// Validates a name of 1 to 128 characters from `[A-Za-z0-9._-]`. Returns `None` if `text` is
    /// anything else.
    ///
    /// ```
    /// use sassafras_util::Name;
    ///
    /// assert!(Name::checked("job-17.a").is_some());
    /// assert!(Name::checked("a/b").is_none());
    /// ```
    pub fn checked(text: &str) -> Option<Self> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed);
        valid.then(|| Self::from(text))
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.0, f)
    }
}
