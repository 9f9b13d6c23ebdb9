//! Declaration of the operators that may change the configuration.

use crate::IniDoc;
use sassafras_util::Digest;
use sassafras_util::Error;
use sassafras_util::Name;

/// Operators with the digests of their tokens.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Operators(Vec<(Name, Digest)>);

impl Operators {
    /// Name of the configuration item.
    pub const ITEM: &str = "operators";

    /// Parses the INI text of the item, which has a section `[operator NAME]` with the key
    /// `token_sha256` for each operator. Errors refer to the text as `file`.
    ///
    /// # Errors
    ///
    /// Fails on the first invalid setting; the error names file, line, key and the accepted values.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let mut doc = IniDoc::parse(file, text)?;
        let mut operators = Vec::new();
        for section in doc.sections() {
            let Some(name) = section.strip_prefix("operator ").and_then(Name::checked) else {
                continue;
            };
            let token = doc.take(
                &section,
                "token_sha256",
                "64 hexadecimal digits",
                Digest::parse,
            )?;
            operators.push((name, token));
        }
        doc.finish()?;
        if operators.is_empty() {
            return Err(Error::new("no [operator NAME] section").context(file));
        }
        Ok(Self(operators))
    }

    /// Returns the canonical INI text of the declaration.
    pub fn to_ini(&self) -> String {
        let section =
            |(name, token): &(Name, Digest)| format!("[operator {name}]\ntoken_sha256 = {token}\n");
        let sections: Vec<String> = self.0.iter().map(section).collect();
        sections.join("\n")
    }

    /// Returns the operator whose token has the given digest.
    pub fn by_token(&self, token: &Digest) -> Option<&Name> {
        self.0
            .iter()
            .find(|(_, t)| t == token)
            .map(|(name, _)| name)
    }
}
