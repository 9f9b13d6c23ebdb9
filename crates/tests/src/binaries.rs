//! Locates the workspace's binaries in the target directory of the test executable.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

const PROGRAMS: [&str; 4] = [
    "sassafras-control",
    "sassafras-entry",
    "sassafras-agent",
    "sassafras-standin",
];

/// Returns the path of a program, building the workspace's binaries once when one is missing.
///
/// # Panics
///
/// Panics when the binaries cannot be found or built.
pub(crate) fn binary_path(program: &str) -> PathBuf {
    static TARGET_DIR: OnceLock<PathBuf> = OnceLock::new();
    TARGET_DIR.get_or_init(target_dir).join(program)
}

fn target_dir() -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test executable");
    // Test executables are in `deps`, binaries one level up.
    let dir = test
        .ancestors()
        .skip(1)
        .find(|f| !f.ends_with("deps"))
        .expect("the target directory");
    if !all_built(dir) {
        build(dir);
    }
    dir.to_owned()
}

fn all_built(dir: &Path) -> bool {
    PROGRAMS.iter().all(|p| dir.join(p).is_file())
}

fn build(dir: &Path) {
    eprintln!(
        "binaries are missing in the target directory; building them with cargo build --bins"
    );
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--workspace", "--bins", "--locked"]);
    if dir.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().expect("cargo starts");
    assert!(
        status.success() && all_built(dir),
        "cargo build --workspace --bins did not produce {PROGRAMS:?}"
    );
}
