//! A client of the control group that waits for each answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;

use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::Handled;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvents;
use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_util::random_u64;
use sassafras_wire::Body;
use sassafras_wire::ClusterKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::ConfigChange;
use sassafras_wire::proto::ConfigItem;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::StatusQuery;
use sassafras_wire::proto::StatusReply;
use sassafras_wire::proto::config_reply::Kind;

/// Pause between resends; see [`ControlClient::tick`].
const TICK: Duration = Duration::from_millis(20);
/// Time for one answer, elections included.
const LIMIT: Duration = Duration::from_secs(10);

/// An operator with a credential.
#[derive(Debug)]
pub struct Operator {
    client: ControlClient,
    events: NetEvents,
    token: String,
}

impl Operator {
    /// Starts to connect to the control members.
    pub fn new(
        members: Vec<(Name, SocketAddr)>,
        key: ClusterKey,
        token: &str,
        log: Logger,
    ) -> Self {
        let node = NodeRef {
            name: Name::from(format!("load-{:x}", random_u64())),
            incarnation: 1,
        };
        let (net, events) = Net::new(node, Role::Operator, Name::from("local"), key, log);
        Self {
            client: ControlClient::new(net, members),
            events,
            token: token.to_owned(),
        }
    }

    /// Puts configuration items in force and returns the new version.
    ///
    /// # Errors
    ///
    /// Fails when control refuses the change or does not answer in time.
    pub async fn apply(&mut self, items: &[(String, String)]) -> Result<u64, Error> {
        let base = self.status(true, false).await?.config_version;
        let upserts = items.iter().map(|(name, text)| ConfigItem {
            name: name.clone(),
            text: text.clone(),
            version: 0,
        });
        let change = ConfigChange {
            base,
            request_id: format!("load-{:x}", random_u64()),
            operator: "load".to_owned(),
            origin: "sassafras-load".to_owned(),
            upserts: upserts.collect(),
            removals: Vec::new(),
            credential: self.token.clone(),
        };
        match self.ask(Body::ConfigChange(change)).await? {
            Body::ConfigReply(reply) if reply.kind() == Kind::Accepted => Ok(reply.version),
            other => Err(Error::new(format!("configuration change: {other:?}"))),
        }
    }

    /// Reads the state of the control group.
    ///
    /// # Errors
    ///
    /// Fails when control refuses the query or does not answer in time.
    pub async fn status(&mut self, config: bool, nodes: bool) -> Result<StatusReply, Error> {
        let query = StatusQuery {
            config,
            nodes,
            credential: self.token.clone(),
        };
        match self.ask(Body::StatusQuery(query)).await? {
            Body::StatusReply(reply) => Ok(reply),
            other => Err(Error::new(format!("status: {other:?}"))),
        }
    }

    /// Sends a request and waits for its answer.
    async fn ask(&mut self, body: Body) -> Result<Body, Error> {
        let asked = self.client.request(Instant::now(), LIMIT, body);
        loop {
            let news = tokio::select! {
                event = self.events.next() => match self.client.handle(Instant::now(), event) {
                    Handled::Control(news) => news,
                    Handled::Other(_) => Vec::new(),
                },
                () = tokio::time::sleep(TICK) => self.client.tick(Instant::now()),
            };
            for event in news {
                match event {
                    ControlEvent::Answer(ticket, body) if ticket == asked => return Ok(body),
                    ControlEvent::Failed(ticket, failure) if ticket == asked => {
                        return Err(Error::new(format!("control: {}", failure.detail)));
                    }
                    _ => {}
                }
            }
        }
    }
}
