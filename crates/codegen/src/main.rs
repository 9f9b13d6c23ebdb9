//! Generates `crates/wire/src/generated.rs` from the `.proto` file.
//!
//! Run from the workspace root. With `--check` nothing is written, and the exit
//! code is 1 when the committed file differs from what would be generated.

use std::env;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

const PROTO_DIR: &str = "crates/wire/proto";
const PROTO_FILE: &str = "sassafras.proto";
const GENERATED: &str = "crates/wire/src/generated.rs";

fn main() -> ExitCode {
    match generate() {
        Ok(code) if env::args().any(|a| a == "--check") => check(&code),
        Ok(code) => write(&code),
        Err(reason) => fail(&reason),
    }
}

/// Compiles the `.proto` file into Rust source.
fn generate() -> Result<String, String> {
    let files = protox::compile([PROTO_FILE], [PROTO_DIR]).map_err(|e| e.to_string())?;
    let out = env::temp_dir().join(format!("sassafras-codegen-{}", std::process::id()));
    fs::create_dir_all(&out).map_err(|e| e.to_string())?;
    let compiled = prost_build::Config::new()
        .bytes(["."])
        .out_dir(&out)
        .compile_fds(files)
        .map_err(|e| e.to_string())
        .and_then(|()| fs::read_to_string(out.join("sassafras.rs")).map_err(|e| e.to_string()));
    let removed = fs::remove_dir_all(&out).map_err(|e| e.to_string());
    compiled.and_then(|code| removed.map(|()| code))
}

fn check(code: &str) -> ExitCode {
    match fs::read_to_string(Path::new(GENERATED)) {
        Ok(committed) if committed == code => ExitCode::SUCCESS,
        Ok(_) => fail("generated code differs; run `cargo run -p sassafras-codegen`"),
        Err(e) => fail(&e.to_string()),
    }
}

fn write(code: &str) -> ExitCode {
    match fs::write(GENERATED, code) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e.to_string()),
    }
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("error={reason:?} file={GENERATED}");
    ExitCode::FAILURE
}
