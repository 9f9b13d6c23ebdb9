//! A role that runs on its own thread.

use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::o;
use tokio::sync::watch;

use sassafras_config::IniDoc;
use sassafras_runtime::Context;
use sassafras_runtime::StopHandle;
use sassafras_runtime::block_on;
use sassafras_util::Error;

/// Interval at which the end of a thread is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A role that runs on its own thread.
#[derive(Debug)]
pub(crate) struct Node {
    name: String,
    stop_order: u8,
    stop: StopHandle,
    kill: watch::Sender<bool>,
    thread: JoinHandle<Result<(), Error>>,
}

impl Node {
    /// Starts a role from the INI text of its settings. Nodes with a lower `stop_order` are stopped
    /// first.
    pub(crate) fn start<S, F>(
        name: &str,
        stop_order: u8,
        text: &str,
        log: &Logger,
        load: impl FnOnce(&mut IniDoc) -> Result<S, Error>,
        run: impl FnOnce(S, Context) -> F + Send + 'static,
    ) -> Result<Self, Error>
    where
        S: Send + 'static,
        F: Future<Output = Result<(), Error>>,
    {
        let mut doc = IniDoc::parse(name, text)?;
        let settings = load(&mut doc)?;
        doc.finish()?;
        let (stop, stop_signal) = StopHandle::new();
        let (kill, mut kill_requested) = watch::channel(false);
        let log = log.new(o!("node" => name.to_owned()));
        let thread_main = move || {
            block_on(async move {
                // Dropping the future and its runtime closes every socket of the role.
                tokio::select! {
                    result = run(settings, Context::new(log, stop_signal)) => result,
                    _ = kill_requested.wait_for(|k| *k) => Ok(()),
                }
            })
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(thread_main)?;
        Ok(Self {
            name: name.to_owned(),
            stop_order,
            stop,
            kill,
            thread,
        })
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn stop_order(&self) -> u8 {
        self.stop_order
    }

    pub(crate) fn stop(&self) {
        self.stop.stop();
    }

    pub(crate) fn kill(&mut self) {
        self.kill.send_replace(true);
    }

    /// Waits for the thread to end. Kills the role if it is still running at `deadline`.
    pub(crate) async fn join(mut self, deadline: Instant) -> Result<(), Error> {
        while !self.thread.is_finished() {
            if Instant::now() >= deadline {
                self.kill();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        match self.thread.join() {
            Ok(result) => result.map_err(|e| e.context(&self.name)),
            Err(_) => Err(Error::new(format!("{}: thread panicked", self.name))),
        }
    }
}
