//! Runs futures on separate threads, so that a panic fails only one of them.

/// Runs a future on its own thread and runtime, and converts a panic into an error.
///
/// # Errors
///
/// Returns the error of the future, or the message of the panic if its payload is a `String`.
pub fn run_isolated<F>(run: impl FnOnce() -> F + Send + 'static) -> Result<(), String>
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
