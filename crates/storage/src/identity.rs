//! The `identity` file: which member a folder belongs to.

use std::fs;
use std::path::Path;

use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_util::random_u64;

use crate::disk::Disk;

const FILE: &str = "identity";

/// Reads the identity of the folder, or returns `None` when it has none.
///
/// # Errors
/// Fails when the file is not valid or belongs to another member or group.
pub(crate) fn load(folder: &Path, group: u32, name: &Name) -> Result<Option<u64>, Error> {
    let path = folder.join(FILE);
    if !path.exists() {
        return Ok(None);
    }
    let text = fs::read_to_string(&path).map_err(|e| Error::from(e).context(path.display()))?;
    let Some((owner, recorded, identity)) = parse(&text) else {
        return Err(Error::new(format_args!("{} is damaged", path.display())));
    };
    if owner != name.as_str() || recorded != group {
        return Err(Error::new(format_args!(
            "{} belongs to member {owner} of group {recorded}, not to {name} of group {group}",
            folder.display()
        )));
    }
    Ok(Some(identity))
}

/// Gives the folder a new identity, which is never 0.
pub(crate) fn create(
    disk: &mut Disk,
    folder: &Path,
    group: u32,
    name: &Name,
) -> Result<u64, Error> {
    let identity = random_u64().max(1);
    let text = render(name, group, identity);
    disk.replace(&folder.join(FILE), &[text.as_bytes()])?;
    Ok(identity)
}

fn render(name: &str, group: u32, identity: u64) -> String {
    let body = format!("member={name}\ngroup={group}\nidentity={identity:016x}\n");
    let crc = crc32fast::hash(body.as_bytes());
    format!("{body}crc={crc:08x}\n")
}

fn parse(text: &str) -> Option<(&str, u32, u64)> {
    let mut lines = text.lines();
    let owner = lines.next()?.strip_prefix("member=")?;
    let group = lines.next()?.strip_prefix("group=")?.parse().ok()?;
    let identity = lines.next()?.strip_prefix("identity=")?;
    let identity = u64::from_str_radix(identity, 16).ok()?;
    (render(owner, group, identity) == text && identity != 0).then_some((owner, group, identity))
}
