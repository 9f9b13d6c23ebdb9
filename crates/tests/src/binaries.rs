//! The project's binaries, beside the test executable in the target folder.

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
pub(crate) fn path(program: &str) -> PathBuf {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(folder).join(program)
}

fn folder() -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test executable");
    // Test executables are in `deps`, programs one level up.
    let folder = test
        .ancestors()
        .skip(1)
        .find(|f| !f.ends_with("deps"))
        .expect("the target folder");
    if !complete(folder) {
        build(folder);
    }
    folder.to_owned()
}

fn complete(folder: &Path) -> bool {
    PROGRAMS.iter().all(|p| folder.join(p).is_file())
}

fn build(folder: &Path) {
    eprintln!("binaries are missing in the target folder; building them with cargo build --bins");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--workspace", "--bins", "--locked"]);
    if folder.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().expect("cargo starts");
    assert!(
        status.success() && complete(folder),
        "cargo build --workspace --bins did not produce {PROGRAMS:?}"
    );
}
