//! Validation of configuration changes, and authentication of operators, against the current
//! configuration.

use sassafras_config::IniDoc;
use sassafras_config::Operators;
use sassafras_config::Team;
use sassafras_state::ConfigItems;
use sassafras_util::Digest;
use sassafras_util::Error;
use sassafras_util::FastMap;
use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::proto::ConfigChange;
use sassafras_wire::proto::ConfigItem;

use crate::shares::Quota;

/// Maximum size of the text of an item.
const MAX_ITEM_BYTES: usize = 64 * 1024;
/// Maximum size of the whole configuration, which must fit into one frame.
const MAX_CONFIG_BYTES: usize = 8 * 1024 * 1024;
/// Maximum length of a request id and of an item name.
const MAX_ID_BYTES: usize = 256;
/// Prefix of the names of items that declare teams.
const TEAM_PREFIX: &str = "team/";

/// Returns the operator that a bearer token belongs to.
pub fn operator_by_token(items: &ConfigItems, credential: &str) -> Option<Name> {
    let item = items.get(Operators::ITEM)?;
    let operators = Operators::parse(&item.name, &item.text).ok()?;
    let token = Digest::of(credential.as_bytes());
    operators.by_token(&token).cloned()
}

/// Validates a change and converts the items that declare teams to canonical form.
///
/// # Errors
///
/// Returns the first violation, with the item's name if it concerns one.
pub fn canonicalize(items: &ConfigItems, mut change: ConfigChange) -> Result<ConfigChange, Error> {
    let id = change.request_id.len();
    if id == 0 || id > MAX_ID_BYTES {
        return Err(Error::new(format!(
            "the request id must have 1 to {MAX_ID_BYTES} bytes"
        )));
    }
    if change.upserts.is_empty() && change.removals.is_empty() {
        return Err(Error::new("the change has no upserts and no removals"));
    }
    let mut names = FastSet::default();
    let upserts = change.upserts.iter().map(|i| &i.name);
    for name in upserts.chain(&change.removals) {
        if !names.insert(name.as_str()) {
            return Err(Error::new("the item is changed more than once").context(name));
        }
    }
    if change.removals.iter().any(|n| n == Operators::ITEM) {
        let reason = "the item cannot be removed, since no operator could make changes afterwards";
        return Err(Error::new(reason).context(Operators::ITEM));
    }
    for item in &mut change.upserts {
        *item = canonicalize_item(item)?;
    }
    let size: usize = items.iter().map(|i| i.name.len() + i.text.len()).sum();
    let added: usize = change
        .upserts
        .iter()
        .map(|i| i.name.len() + i.text.len())
        .sum();
    if size + added > MAX_CONFIG_BYTES {
        return Err(Error::new(format!(
            "the configuration would exceed {MAX_CONFIG_BYTES} bytes"
        )));
    }
    Ok(change)
}

/// Returns the quotas of all teams.
pub fn team_quotas(items: &ConfigItems) -> FastMap<Name, Quota> {
    let teams = items.iter().filter(|i| i.name.starts_with(TEAM_PREFIX));
    let teams = teams.filter_map(|i| Team::parse(&i.name, &i.text).ok());
    teams
        .map(|team| {
            let quota = Quota {
                slots: team.slots,
                rate: team.start_rate,
            };
            (team.name, quota)
        })
        .collect()
}

fn canonicalize_item(item: &ConfigItem) -> Result<ConfigItem, Error> {
    let name = &item.name;
    if item.text.len() > MAX_ITEM_BYTES {
        return Err(Error::new(format!("the text exceeds {MAX_ITEM_BYTES} bytes")).context(name));
    }
    let text = if let Some(team) = name.strip_prefix(TEAM_PREFIX) {
        let parsed = Team::parse(name, &item.text)?;
        if *parsed.name != *team {
            return Err(
                Error::new(format!("the item declares team {}", parsed.name)).context(name),
            );
        }
        parsed.to_ini()
    } else if name == Operators::ITEM {
        Operators::parse(name, &item.text)?;
        item.text.clone()
    } else if is_item_name(name) {
        IniDoc::parse(name, &item.text)?;
        item.text.clone()
    } else {
        return Err(Error::new(format!("{name:?} is not a valid item name")));
    };
    Ok(ConfigItem {
        name: name.clone(),
        text,
        version: 0,
    })
}

/// Accepts names joined by slashes. Each part starts with a letter or digit: operators keep items
/// in files, and `..` would lead out of their folder.
fn is_item_name(name: &str) -> bool {
    let part =
        |p: &str| p.starts_with(|c: char| c.is_ascii_alphanumeric()) && Name::checked(p).is_some();
    name.len() <= MAX_ID_BYTES && name.split('/').all(part)
}
