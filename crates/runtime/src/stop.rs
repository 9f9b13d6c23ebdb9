//! Graceful stop, requested by a signal or by code that embeds a process.

use tokio::sync::watch;

/// Requests a graceful stop of a process.
#[derive(Clone, Debug)]
pub struct StopHandle(watch::Sender<bool>);

/// Receives the request to stop.
#[derive(Clone, Debug)]
pub struct Stop(watch::Receiver<bool>);

impl StopHandle {
    /// Creates a handle and its receiver.
    pub fn new() -> (Self, Stop) {
        let (tx, rx) = watch::channel(false);
        (Self(tx), Stop(rx))
    }

    /// Requests a graceful stop. Further calls have no effect.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Stop {
    /// Waits until a stop is requested. Never completes if the handle is dropped without a request.
    pub async fn wait(&mut self) {
        if self.0.wait_for(|requested| *requested).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether a stop was requested.
    pub fn requested(&self) -> bool {
        *self.0.borrow()
    }
}
