//! The `identity` file, which records the member, group and identity of a data folder.

use std::fs;
use std::path::Path;

use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_util::random_u64;

use crate::disk::Disk;
use crate::disk::Progress;

const FILE_NAME: &str = "identity";

/// Reads the identity of the folder. Returns `None` if it has none.
///
/// # Errors
///
/// Returns an error if the file is damaged or belongs to another member or group.
pub(crate) fn load(folder: &Path, group: u32, name: &Name) -> Result<Option<u64>, Error> {
    let path = folder.join(FILE_NAME);
    if !path.exists() {
        return Ok(None);
    }
    let text = fs::read_to_string(&path).map_err(|e| Error::from(e).context(path.display()))?;
    let Some((member, recorded_group, identity)) = parse(&text) else {
        return Err(Error::new(format_args!("{} is damaged", path.display())));
    };
    if member != name.as_str() || recorded_group != group {
        return Err(Error::new(format_args!(
            "{} belongs to member {member} of group {recorded_group}, not to {name} of group {group}",
            folder.display()
        )));
    }
    Ok(Some(identity))
}

/// Creates a new identity for the folder, which is never 0.
pub(crate) fn create(
    disk: &mut Disk,
    folder: &Path,
    group: u32,
    name: &Name,
) -> Result<u64, Error> {
    let identity = random_u64().max(1);
    let text = render(name, group, identity);
    let path = folder.join(FILE_NAME);
    if disk.write_atomically(&path, &[text.as_bytes()])? == Progress::Full {
        return Err(Error::new("the disk is full").context(path.display()));
    }
    Ok(identity)
}

fn render(name: &str, group: u32, identity: u64) -> String {
    let body = format!("member={name}\ngroup={group}\nidentity={identity:016x}\n");
    let crc = crc32fast::hash(body.as_bytes());
    format!("{body}crc={crc:08x}\n")
}

fn parse(text: &str) -> Option<(&str, u32, u64)> {
    let mut lines = text.lines();
    let member = lines.next()?.strip_prefix("member=")?;
    let group = lines.next()?.strip_prefix("group=")?.parse().ok()?;
    let identity = lines.next()?.strip_prefix("identity=")?;
    let identity = u64::from_str_radix(identity, 16).ok()?;
    (render(member, group, identity) == text && identity != 0).then_some((member, group, identity))
}
