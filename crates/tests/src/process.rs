//! One process of the project, controlled by its process id.

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

/// Lines of a log that a failure report shows.
const TAIL_LINES: usize = 15;

/// A process that runs from a settings file, and can be started again. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    exit: Option<ExitStatus>,
}

impl Process {
    /// Describes the process `name` with its settings file and log in `folder`.
    pub fn new(program: &'static str, folder: &Path, name: &str) -> Self {
        Self {
            program,
            settings: folder.join(format!("{name}.ini")),
            log: folder.join(format!("{name}.log")),
            child: None,
            exit: None,
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
        let child = Command::new(binaries::path(self.program))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the program starts"));
        self.exit = None;
    }

    fn open_log(&self) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(&self.log)
    }

    /// Reports whether the process runs; a paused one does.
    pub fn is_running(&mut self) -> bool {
        if let Some(child) = &mut self.child
            && let Ok(Some(status)) = child.try_wait()
        {
            self.exit = Some(status);
            self.child = None;
        }
        self.child.is_some()
    }

    /// Returns how the last run ended, while no new one has started.
    pub fn exit(&mut self) -> Option<ExitStatus> {
        self.is_running();
        self.exit
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only when the process has ended already.
            drop(child.kill());
            self.exit = child.wait().ok();
        }
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process.
    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
    }

    /// Lets no file of the process grow beyond `bytes`, as on a full disk.
    pub fn limit_files(&mut self, bytes: u64) {
        let limit = Rlimit {
            current: Some(bytes),
            maximum: Some(bytes),
        };
        if let Some(pid) = self.pid() {
            // Fails only when the process has ended already.
            let _ = prlimit(Some(pid), Resource::Fsize, limit);
        }
    }

    fn signal(&mut self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // Fails only when the process has ended already.
            let _ = kill_process(pid, signal);
        }
    }

    fn pid(&mut self) -> Option<Pid> {
        self.is_running();
        self.child.as_ref().map(Pid::from_child)
    }

    /// Reports whether a line of the process's log contains `text`.
    pub fn logged(&self, text: &str) -> bool {
        self.read_log().contains(text)
    }

    fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the last lines of the process's log.
    pub fn tail(&self) -> String {
        let text = self.read_log();
        let lines: Vec<&str> = text.lines().collect();
        let from = lines.len().saturating_sub(TAIL_LINES);
        lines[from..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
