//! Entry point shared by all binaries: arguments, settings, logger, signals and runtime.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use sassafras_config::IniDoc;
use sassafras_util::Clock;
use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_util::SystemClock;

use crate::log::logger;
use crate::metrics;
use crate::settings::take_control_members;
use crate::stop::Stop;
use crate::stop::StopHandle;

/// Interval at which the settings file is checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// What a process receives in addition to its settings.
#[derive(Clone, Debug)]
pub struct Context {
    /// The logger of the process.
    pub log: Logger,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Receives the request to stop.
    pub stop: Stop,
    /// The control members from reloaded settings.
    pub seeds: Seeds,
}

/// Control members by name and address.
pub type Seeds = watch::Receiver<Vec<(Name, SocketAddr)>>;

impl Context {
    /// Creates a context with the system clock.
    pub fn new(log: Logger, stop: Stop) -> Self {
        Self {
            log,
            clock: Arc::new(SystemClock),
            stop,
            seeds: watch::channel(Vec::new()).1,
        }
    }
}

#[derive(Debug, Parser)]
struct Args {
    /// Settings file (INI).
    #[arg(long, value_name = "FILE", env = "SASSAFRASLEVER_CONFIG")]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
    /// Prints the effective settings, including defaults, and exits.
    #[arg(long)]
    print_config: bool,
}

/// Loads the settings and runs a process. SIGTERM and SIGINT request a graceful stop.
pub fn main<S, F>(
    program: &'static str,
    load: impl FnOnce(&mut IniDoc) -> Result<S, Error>,
    run: impl FnOnce(S, Context) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), Error>>,
{
    let args = Args::parse();
    let (settings, doc) = match load_settings(&args, load) {
        Ok(loaded) => loaded,
        Err(e) => return report_error(program, &e),
    };
    if args.print_config {
        print!("{}", doc.effective());
    }
    if args.check || args.print_config {
        return ExitCode::SUCCESS;
    }
    let log = logger(log_level(&doc), program);
    match block_on(run_process(settings, log, args.settings, run)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_error(program, &e),
    }
}

/// Runs a future on a single-threaded runtime.
///
/// # Errors
///
/// Fails with the error of the future, or if the runtime cannot be created.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(future)
}

fn load_settings<S>(
    args: &Args,
    load: impl FnOnce(&mut IniDoc) -> Result<S, Error>,
) -> Result<(S, IniDoc), Error> {
    let file = args.settings.display().to_string();
    let text =
        std::fs::read_to_string(&args.settings).map_err(|e| Error::from(e).context(&file))?;
    let mut doc = IniDoc::parse(&file, &text)?;
    let settings = load(&mut doc)?;
    doc.finish()?;
    Ok((settings, doc))
}

/// Returns the log level of settings that were already validated.
fn log_level(doc: &IniDoc) -> slog::Level {
    doc.clone()
        .take_or("log", "level", "", slog::Level::Info, |t| t.parse().ok())
        .unwrap_or(slog::Level::Info)
}

async fn run_process<S, F>(
    settings: S,
    log: Logger,
    file: PathBuf,
    run: impl FnOnce(S, Context) -> F,
) -> Result<(), Error>
where
    F: Future<Output = Result<(), Error>>,
{
    metrics::install();
    tokio::spawn(metrics::upkeep());
    let (handle, stop) = StopHandle::new();
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let signal_log = log.clone();
    tokio::spawn(async move {
        loop {
            let name = tokio::select! {
                _ = term.recv() => "SIGTERM",
                _ = int.recv() => "SIGINT",
            };
            slog::info!(signal_log, "stop requested"; "signal" => name);
            handle.stop();
        }
    });
    let (changed, seeds) = watch::channel(Vec::new());
    let hangup = signal(SignalKind::hangup())?;
    tokio::spawn(watch_settings(file, hangup, changed, log.clone()));
    info!(log, "started");
    let mut ctx = Context::new(log, stop);
    ctx.seeds = seeds;
    run(settings, ctx).await
}

/// Reloads the settings on SIGHUP, and polls the file because it may change without a signal.
/// Only changes of the control members take effect in a running process.
async fn watch_settings(
    file: PathBuf,
    mut hangup: Signal,
    changed: watch::Sender<Vec<(Name, SocketAddr)>>,
    log: Logger,
) {
    let mut last = std::fs::read_to_string(&file).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(e) => {
                warn!(log, "settings file not readable"; "file" => %file.display(), "error" => %e);
                continue;
            }
        };
        if signalled {
            info!(log, "settings reload requested"; "changed" => text != last);
        }
        if text == last {
            continue;
        }
        let name = file.display().to_string();
        let parsed = IniDoc::parse(&name, &text).and_then(|mut doc| take_control_members(&mut doc));
        match parsed {
            Ok(control) => {
                info!(log, "settings reloaded"; "control" => ?control);
                changed.send_replace(control);
            }
            Err(e) => warn!(log, "invalid settings ignored"; "error" => %e),
        }
        last = text;
    }
}

fn report_error(program: &str, e: &Error) -> ExitCode {
    eprintln!("program={program} error={:?}", e.to_string());
    ExitCode::FAILURE
}
