//! Runs in threads of their own, so that a panic ends nothing else.

/// Runs a future on a thread and a runtime of its own, and returns a panic as a failure.
///
/// # Errors
///
/// Returns what the future returns, or the message of the panic.
pub fn isolated<F>(run: impl FnOnce() -> F + Send + 'static) -> Result<(), String>
where
    F: Future<Output = Result<(), String>>,
{
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| e.to_string())?;
        runtime.block_on(run())
    });
    thread.join().unwrap_or_else(|panic| {
        let message = panic.downcast_ref::<String>().cloned();
        Err(message.unwrap_or_else(|| "panicked".to_owned()))
    })
}
