//! One role on a thread of its own.

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

const POLL: Duration = Duration::from_millis(10);

/// A role that runs on its own thread.
#[derive(Debug)]
pub(crate) struct Node {
    name: String,
    rank: u8,
    stop: StopHandle,
    kill: watch::Sender<bool>,
    thread: JoinHandle<Result<(), Error>>,
}

impl Node {
    /// Starts a role from the INI text of its settings. Nodes of lower rank stop first.
    pub(crate) fn start<S, F>(
        name: &str,
        rank: u8,
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
        let (stop, stopped) = StopHandle::new();
        let (kill, mut killed) = watch::channel(false);
        let log = log.new(o!("node" => name.to_owned()));
        let body = move || {
            block_on(async move {
                // Dropping the future and its runtime closes every socket of the role.
                tokio::select! {
                    ended = run(settings, Context::new(log, stopped)) => ended,
                    _ = killed.wait_for(|k| *k) => Ok(()),
                }
            })
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(body)?;
        Ok(Self {
            name: name.to_owned(),
            rank,
            stop,
            kill,
            thread,
        })
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn rank(&self) -> u8 {
        self.rank
    }

    pub(crate) fn stop(&self) {
        self.stop.stop();
    }

    pub(crate) fn kill(&mut self) {
        self.kill.send_replace(true);
    }

    /// Waits for the end of the thread; kills the role at `until`.
    pub(crate) async fn join(mut self, until: Instant) -> Result<(), Error> {
        while !self.thread.is_finished() {
            if Instant::now() >= until {
                self.kill();
            }
            tokio::time::sleep(POLL).await;
        }
        match self.thread.join() {
            Ok(ended) => ended.map_err(|e| e.context(&self.name)),
            Err(_) => Err(Error::new(format!("{}: panicked", self.name))),
        }
    }
}
