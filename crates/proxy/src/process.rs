//! The proxy process: links from the settings file, and an HTTP API that sets their faults.

use std::net::SocketAddr;
use std::sync::Arc;

use salvo::Depot;
use salvo::Listener as _;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::conn::TcpListener;
use salvo::handler;
use salvo::http::StatusCode;
use salvo::writing::Text;
use slog::info;

use sassafras_config::IniDoc;
use sassafras_runtime::Context;
use sassafras_runtime::parse_addr;
use sassafras_util::Error;
use sassafras_util::FastMap;
use sassafras_util::Name;

use crate::faults::Faults;
use crate::link::Link;

const ADDR_FORMAT: &str = "IP address and port, such as 127.0.0.1:7000";

/// Settings of the proxy process.
#[derive(Clone, Debug)]
pub struct Settings {
    admin: SocketAddr,
    seed: u64,
    /// Name, listening address and target of each link.
    links: Vec<(Name, SocketAddr, SocketAddr)>,
}

impl Settings {
    /// Parses the section `[proxy]` and one section `[link NAME]` per link.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting, with its file, line, key and accepted values.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let admin = doc.take("proxy", "admin", ADDR_FORMAT, parse_addr)?;
        let seed = doc.take_or("proxy", "seed", "a whole number", 1, |t| t.parse().ok())?;
        let mut links = Vec::new();
        for section in doc.sections() {
            let Some(name) = section.strip_prefix("link ").and_then(Name::checked) else {
                continue;
            };
            let listen = doc.take(&section, "listen", ADDR_FORMAT, parse_addr)?;
            let target = doc.take(&section, "target", ADDR_FORMAT, parse_addr)?;
            links.push((name, listen, target));
        }
        Ok(Self { admin, seed, links })
    }
}

type Links = Arc<FastMap<Name, Link>>;

/// Runs the proxy until a stop is requested.
///
/// `PUT /links/{name}` with a JSON object of [`Faults`] applies these faults to the link, and
/// `POST /links/{name}/reset` resets its connections.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(settings: Settings, ctx: Context) -> Result<(), Error> {
    let mut links = FastMap::default();
    for (name, listen, target) in settings.links {
        let link = Link::start(listen, target, settings.seed).await?;
        info!(ctx.log, "listening"; "name" => %name, "listen" => %link.addr(), "target" => %target);
        links.insert(name, link);
    }
    let links: Links = Arc::new(links);
    let router = Router::with_path("links/{name}")
        .hoop(salvo::affix_state::inject(links))
        .put(set_faults)
        .push(Router::with_path("reset").post(reset_connections));
    let acceptor = TcpListener::new(settings.admin)
        .try_bind()
        .await
        .map_err(Error::new)?;
    let mut stop = ctx.stop;
    tokio::select! {
        () = Server::new(acceptor).serve(router) => {}
        () = stop.wait() => {}
    }
    Ok(())
}

#[handler]
async fn set_faults(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Ok(faults) = req.parse_json::<Faults>().await else {
        res.status_code(StatusCode::BAD_REQUEST);
        res.render(Text::Plain("expected a JSON object of faults\n"));
        return;
    };
    match find_link(req, depot) {
        Some(link) => link.set_faults(faults),
        None => drop(res.status_code(StatusCode::NOT_FOUND)),
    }
}

#[handler]
async fn reset_connections(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match find_link(req, depot) {
        Some(link) => link.reset_connections(),
        None => drop(res.status_code(StatusCode::NOT_FOUND)),
    }
}

fn find_link<'a>(req: &Request, depot: &'a Depot) -> Option<&'a Link> {
    let name = req.param::<String>("name")?;
    depot.get_typed::<Links>().ok()?.get(name.as_str())
}
