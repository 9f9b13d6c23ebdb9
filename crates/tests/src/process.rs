//! A child process running one of the workspace's programs.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::kill_process;
use rustix::process::prlimit;

use crate::binaries;

/// Log lines per process in a failure report.
const LOG_TAIL_LINES: usize = 15;

/// A process that is configured by a settings file and can be restarted. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    exit_status: Option<ExitStatus>,
}

impl Process {
    /// Creates a handle for the process `name`, without starting it. Its settings file and log
    /// are in `dir`.
    pub fn new(program: &'static str, dir: &Path, name: &str) -> Self {
        Self {
            program,
            settings: dir.join(format!("{name}.ini")),
            log: dir.join(format!("{name}.log")),
            child: None,
            exit_status: None,
        }
    }

    /// Starts the process, unless it runs.
    ///
    /// # Panics
    ///
    /// Panics when the program cannot be started.
    pub fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let log = self.open_log().expect("the log file opens");
        let errors = log.try_clone().expect("the log file is duplicated");
        let child = Command::new(binaries::binary_path(self.program))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the program starts"));
        self.exit_status = None;
    }

    fn open_log(&self) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(&self.log)
    }

    /// Reports whether the process runs. A suspended process counts as running.
    pub fn is_running(&mut self) -> bool {
        if let Some(child) = &mut self.child
            && let Ok(Some(status)) = child.try_wait()
        {
            self.exit_status = Some(status);
            self.child = None;
        }
        self.child.is_some()
    }

    /// Returns the exit status of the last run, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.is_running();
        self.exit_status
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only when the process has already exited.
            drop(child.kill());
            self.exit_status = child.wait().ok();
        }
    }

    /// Sends SIGTERM, which requests a graceful stop.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
    }

    /// Limits the size of every file that the process writes, which has the effect of a full disk.
    pub fn limit_file_size(&mut self, bytes: u64) {
        let limit = Rlimit {
            current: Some(bytes),
            maximum: Some(bytes),
        };
        if let Some(pid) = self.pid() {
            // Fails only when the process has already exited.
            let _ = prlimit(Some(pid), Resource::Fsize, limit);
        }
    }

    fn signal(&mut self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // Fails only when the process has already exited.
            let _ = kill_process(pid, signal);
        }
    }

    fn pid(&mut self) -> Option<Pid> {
        self.is_running();
        self.child.as_ref().map(Pid::from_child)
    }

    /// Reports whether a line of the process's log contains `text`.
    pub fn log_contains(&self, text: &str) -> bool {
        self.read_log().contains(text)
    }

    fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the last lines of the process's log.
    pub fn log_tail(&self) -> String {
        let text = self.read_log();
        let lines: Vec<&str> = text.lines().collect();
        let from = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[from..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
