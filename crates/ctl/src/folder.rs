//! Folders of declarations.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use sassafras_config::Finding;
use sassafras_config::canonicalize;
use sassafras_util::Error;

/// The suffix of files that declare items.
const SUFFIX: &str = "ini";

/// The items that a folder declares, by name, as canonical text.
#[derive(Debug, Default)]
pub struct Folder {
    /// The valid items.
    pub items: BTreeMap<String, String>,
    /// The faults of the others.
    pub findings: Vec<Finding>,
}

impl Folder {
    /// Reads every file `*.ini` below `dir`; its path without the suffix names the item.
    ///
    /// # Errors
    ///
    /// Fails when the folder or a file cannot be read, or when there is no such file.
    pub fn read(dir: &Path) -> Result<Self, Error> {
        let mut files = Vec::new();
        list(dir, &mut files)?;
        files.sort();
        let mut folder = Self::default();
        for path in &files {
            folder.add(dir, path)?;
        }
        if files.is_empty() {
            return Err(Error::new("no file *.ini below this folder").context(dir.display()));
        }
        Ok(folder)
    }

    fn add(&mut self, dir: &Path, path: &Path) -> Result<(), Error> {
        let file = path.display().to_string();
        let Some(item) = item_name(dir, path) else {
            let text = format!(
                "{file}: not the name of an item; accepted in folder and file names: A-Z a-z 0-9 . _ -"
            );
            self.findings.push(Finding::error(text));
            return Ok(());
        };
        let text = fs::read_to_string(path).map_err(|e| Error::from(e).context(&file))?;
        match canonicalize(&file, &item, &text) {
            Ok(text) => {
                self.items.insert(item, text);
            }
            Err(e) => self.findings.push(Finding::error(e.to_string())),
        }
        Ok(())
    }
}

fn list(dir: &Path, files: &mut Vec<PathBuf>) -> Result<(), Error> {
    let context = |e: std::io::Error| Error::from(e).context(dir.display());
    for entry in fs::read_dir(dir).map_err(context)? {
        let path = entry.map_err(context)?.path();
        if path.is_dir() {
            list(&path, files)?;
        } else if path.extension().is_some_and(|s| s == SUFFIX) {
            files.push(path);
        }
    }
    Ok(())
}

fn item_name(dir: &Path, path: &Path) -> Option<String> {
    let relative = path.strip_prefix(dir).ok()?.with_extension("");
    let parts = relative.iter().map(|part| {
        let part = part.to_str()?;
        sassafras_util::Name::checked(part).map(|n| n.to_string())
    });
    Some(parts.collect::<Option<Vec<_>>>()?.join("/"))
}
