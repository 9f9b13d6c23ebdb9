//! Generates `crates/wire/src/generated.rs` from the `.proto` file.
//!
//! Run from the workspace root. `--check` writes nothing, and exits with code 1 if the committed
//! file differs from the generated code.

use std::env;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

const PROTO_DIR: &str = "crates/wire/proto";
const PROTO_FILE: &str = "sassafras.proto";
const GENERATED_FILE: &str = "crates/wire/src/generated.rs";

fn main() -> ExitCode {
    match generate() {
        Ok(code) if env::args().any(|a| a == "--check") => check_committed(&code),
        Ok(code) => write_generated(&code),
        Err(reason) => report_error(&reason),
    }
}

/// Compiles the `.proto` file into Rust source.
fn generate() -> Result<String, String> {
    let files = protox::compile([PROTO_FILE], [PROTO_DIR]).map_err(|e| e.to_string())?;
    let out_dir = env::temp_dir().join(format!("sassafras-codegen-{}", std::process::id()));
    fs::create_dir_all(&out_dir).map_err(|e| e.to_string())?;
    let compiled = prost_build::Config::new()
        .bytes(["."])
        .out_dir(&out_dir)
        .compile_fds(files)
        .map_err(|e| e.to_string())
        .and_then(|()| fs::read_to_string(out_dir.join("sassafras.rs")).map_err(|e| e.to_string()));
    let removed = fs::remove_dir_all(&out_dir).map_err(|e| e.to_string());
    compiled.and_then(|code| removed.map(|()| code))
}

fn check_committed(code: &str) -> ExitCode {
    match fs::read_to_string(Path::new(GENERATED_FILE)) {
        Ok(committed) if committed == code => ExitCode::SUCCESS,
        Ok(_) => report_error("generated code differs; run `cargo run -p sassafras-codegen`"),
        Err(e) => report_error(&e.to_string()),
    }
}

fn write_generated(code: &str) -> ExitCode {
    match fs::write(GENERATED_FILE, code) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_error(&e.to_string()),
    }
}

fn report_error(reason: &str) -> ExitCode {
    eprintln!("error={reason:?} file={GENERATED_FILE}");
    ExitCode::FAILURE
}
