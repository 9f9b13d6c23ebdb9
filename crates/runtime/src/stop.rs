//! A request to stop, from a signal or from the code that runs a process on a thread.

use tokio::sync::watch;

/// Asks a process to stop.
#[derive(Clone, Debug)]
pub struct StopHandle(watch::Sender<bool>);

/// Tells a process that it was asked to stop.
#[derive(Clone, Debug)]
pub struct Stop(watch::Receiver<bool>);

impl StopHandle {
    /// Creates a handle and the receiver that it controls.
    pub fn new() -> (Self, Stop) {
        let (tx, rx) = watch::channel(false);
        (Self(tx), Stop(rx))
    }

    /// Asks for a graceful stop. Further calls change nothing.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Stop {
    /// Waits until a stop is asked for. Never returns when the handle is dropped unused.
    pub async fn wait(&mut self) {
        if self.0.wait_for(|stopped| *stopped).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Reports whether a stop was asked for.
    pub fn requested(&self) -> bool {
        *self.0.borrow()
    }
}
