//! Canonical text of configuration items.

use crate::IniDoc;
use crate::Operators;
use crate::Team;
use sassafras_util::Error;
use sassafras_util::Name;

/// Returns the team that an item of this name declares, if it declares one.
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

/// Reports whether processes read an item of this name.
pub fn is_known_item(item: &str) -> bool {
    item == Operators::ITEM || team_of_item(item).is_some()
}

/// Returns the text of an item without comments and in its fixed order, so that equal
/// declarations have equal text; `file` names it in errors.
///
/// # Errors
///
/// Fails when the text is malformed, when a known item is not valid, or when a team's name
/// differs from the item's name.
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
    plain(file, text)
}

/// Strips comments and spacing and keeps the order of sections and keys.
fn plain(file: &str, text: &str) -> Result<String, Error> {
    let once = strip(file, text)?;
    // A backslash at the end and keys with line breaks read back as something else.
    let stable = strip(file, &once).is_ok_and(|twice| twice == once);
    if stable {
        Ok(once)
    } else {
        Err(Error::new(
            "not plain INI text; accepted: one `key = value` a line, without a backslash at its end",
        )
        .context(file))
    }
}

fn strip(file: &str, text: &str) -> Result<String, Error> {
    let mut doc = IniDoc::parse(file, text)?;
    for (section, key) in doc.keys() {
        doc.take_optional(&section, &key, "any text", |_| Some(()))?;
    }
    Ok(doc.effective())
}
