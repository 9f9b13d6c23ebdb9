//! CPU time and memory of processes and threads, read from `/proc`.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use sassafras_util::Error;

/// Returns the `/proc` directory of each thread of this process whose name starts with `prefix`.
pub(super) fn thread_dirs(prefix: &str) -> Result<Vec<PathBuf>, Error> {
    let mut found = Vec::new();
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // A thread may end between the listing and the read.
        if fs::read_to_string(path.join("comm")).is_ok_and(|n| n.starts_with(prefix)) {
            found.push(path);
        }
    }
    Ok(found)
}

/// Returns the CPU time of a thread, or of the main thread when `dir` is that of a process.
pub(super) fn cpu_time(dir: &std::path::Path) -> Result<Duration, Error> {
    let file = dir.join("schedstat");
    let text = fs::read_to_string(&file).map_err(|e| Error::from(e).context(file.display()))?;
    let ns = text.split(' ').next().and_then(|n| n.parse().ok());
    ns.map(Duration::from_nanos).ok_or_else(|| {
        Error::new(format!(
            "{}: CPU time is missing or malformed",
            file.display()
        ))
    })
}

/// Returns the resident set size of a process in MiB.
pub(super) fn memory_mb(dir: &std::path::Path) -> Result<f64, Error> {
    let file = dir.join("status");
    let text = fs::read_to_string(&file).map_err(|e| Error::from(e).context(file.display()))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().strip_suffix("kB")?.trim().parse::<f64>().ok());
    kb.map(|kb| kb / 1024.0)
        .ok_or_else(|| Error::new(format!("{}: VmRSS is missing or malformed", file.display())))
}
