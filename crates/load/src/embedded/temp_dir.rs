//! Temporary directory.

use std::path::Path;
use std::path::PathBuf;

use sassafras_util::Error;
use sassafras_util::random_u64;

/// A temporary directory that is removed on drop.
#[derive(Debug)]
pub(crate) struct TempDir(PathBuf);

impl TempDir {
    pub(crate) fn create() -> Result<Self, Error> {
        let name = format!("sassafras-{}-{:x}", std::process::id(), random_u64());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).map_err(|e| Error::from(e).context(path.display()))?;
        Ok(Self(path))
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if let Err(e) = std::fs::remove_dir_all(&self.0) {
            eprintln!(
                "cannot remove temporary directory {}: {e}",
                self.0.display()
            );
        }
    }
}
