//! Canonical form of configuration items.

use crate::IniDoc;
use crate::Operators;
use crate::Team;
use sassafras_util::Error;
use sassafras_util::Name;

/// Returns the team that is declared by the item named `item`, if it declares one.
///
/// ```
/// use sassafras_config::team_of_item;
///
/// assert_eq!(team_of_item("team/demo").unwrap().as_str(), "demo");
/// assert!(team_of_item("operators").is_none());
/// ```
pub fn team_of_item(item: &str) -> Option<Name> {
    item.strip_prefix("team/").and_then(Name::checked)
}

/// Reports whether processes use the item named `item`.
pub fn is_known_item(item: &str) -> bool {
    item == Operators::ITEM || team_of_item(item).is_some()
}

/// Returns the canonical text of an item, without comments and with the keys of a known item in a
/// fixed order, so that equal declarations have equal text. Errors refer to the text as `file`.
///
/// # Errors
///
/// Fails when the text is malformed, when a known item is invalid, or when the name of a team
/// differs from that in the name of its item.
pub fn canonicalize(file: &str, item: &str, text: &str) -> Result<String, Error> {
    if let Some(name) = team_of_item(item) {
        let team = Team::parse(file, text)?;
        if team.name != name {
            return Err(Error::new(format!(
                "{file}: [team] name: {:?} differs from the item's name {item:?}; accepted: {name}",
                team.name
            )));
        }
        return Ok(team.to_ini());
    }
    if item == Operators::ITEM {
        return Operators::parse(file, text).map(|o| o.to_ini());
    }
    canonicalize_unknown(file, text)
}

/// Removes comments and spacing, and preserves the order of sections and keys.
fn canonicalize_unknown(file: &str, text: &str) -> Result<String, Error> {
    let stripped = strip(file, text)?;
    // Values with a trailing backslash and keys with line breaks change when they are parsed again.
    let stable = strip(file, &stripped).is_ok_and(|again| again == stripped);
    if stable {
        Ok(stripped)
    } else {
        Err(Error::new(
            "not plain INI text; accepted: one `key = value` per line, without a trailing backslash",
        )
        .context(file))
    }
}

/// Parses the text and formats it again.
fn strip(file: &str, text: &str) -> Result<String, Error> {
    let mut doc = IniDoc::parse(file, text)?;
    for (section, key) in doc.keys() {
        doc.take_optional(&section, &key, "any text", |_| Some(()))?;
    }
    Ok(doc.effective())
}
