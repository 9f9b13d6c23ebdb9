//! Configuration items declared by the files of a folder.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use sassafras_config::Finding;
use sassafras_config::canonicalize;
use sassafras_util::Error;

/// Extension of files that declare items.
const EXTENSION: &str = "ini";

/// The configuration items that a folder declares.
#[derive(Debug, Default)]
pub struct Declarations {
    /// Canonical text of the valid items, by item name.
    pub items: BTreeMap<String, String>,
    /// Validation errors of the other files.
    pub findings: Vec<Finding>,
}

impl Declarations {
    /// Reads every file `*.ini` below `dir`; its relative path without the extension is the
    /// item name.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or a file cannot be read, or if no file matches.
    pub fn read(dir: &Path) -> Result<Self, Error> {
        let mut files = Vec::new();
        collect_files(dir, &mut files)?;
        files.sort();
        let mut declarations = Self::default();
        for path in &files {
            declarations.read_item(dir, path)?;
        }
        if files.is_empty() {
            return Err(Error::new("no file *.ini below this folder").context(dir.display()));
        }
        Ok(declarations)
    }

    fn read_item(&mut self, dir: &Path, path: &Path) -> Result<(), Error> {
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

fn collect_files(dir: &Path, files: &mut Vec<PathBuf>) -> Result<(), Error> {
    let context = |e: std::io::Error| Error::from(e).context(dir.display());
    for entry in fs::read_dir(dir).map_err(context)? {
        let path = entry.map_err(context)?.path();
        if path.is_dir() {
            collect_files(&path, files)?;
        } else if path.extension().is_some_and(|s| s == EXTENSION) {
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
