//! The metrics page in Prometheus text format.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use sassafras_util::Error;

/// Interval between two runs of the recorder's upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the global metrics recorder of this process. Further calls have no effect.
pub fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails only if another recorder is already installed, which then remains in use.
        drop(metrics::set_global_recorder(recorder));
        handle
    });
}

/// Periodically aggregates recorded samples, until the future is dropped. Without this, samples
/// accumulate in memory until the metrics page is next read.
pub(crate) async fn upkeep() {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        if let Some(handle) = HANDLE.get() {
            handle.run_upkeep();
        }
    }
}

/// Serves the metrics page on `addr` in the background and returns the bound address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(addr: SocketAddr) -> Result<SocketAddr, Error> {
    let context = |e: std::io::Error| Error::from(e).context(format!("metrics listener {addr}"));
    let listener = TcpListener::bind(addr).await.map_err(context)?;
    let bound = listener.local_addr().map_err(context)?;
    tokio::spawn(accept(listener));
    Ok(bound)
}

async fn accept(listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(async move {
            let page = service_fn(|_| async { Ok::<_, Infallible>(page()) });
            let http = hyper::server::conn::http1::Builder::new();
            // Errors of a scraper's connection do not affect this process.
            drop(http.serve_connection(TokioIo::new(stream), page).await);
        });
    }
}

fn page() -> Response<Full<Bytes>> {
    let text = HANDLE
        .get()
        .map(PrometheusHandle::render)
        .unwrap_or_default();
    Response::new(Full::new(Bytes::from(text)))
}
