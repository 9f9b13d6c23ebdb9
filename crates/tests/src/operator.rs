//! A client for an operator's requests to the control group.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::o;

use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::Handled;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvents;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::ClusterKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::ConfigChange;
use sassafras_wire::proto::ConfigItem;
use sassafras_wire::proto::ConfigReply;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::StatusQuery;
use sassafras_wire::proto::StatusReply;
use sassafras_wire::proto::config_reply::Kind;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a request, far above the time that an election takes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A client of the control group that authenticates with an operator's token.
#[derive(Debug)]
pub struct OperatorClient {
    events: NetEvents,
    client: ControlClient,
    credential: String,
    next_request: u64,
    client_id: u64,
}

impl OperatorClient {
    /// Creates a client that connects to `members`.
    pub fn new(members: Vec<(Name, SocketAddr)>, key: &str, credential: &str) -> Self {
        let client_id = sassafras_util::random_u64();
        let node = NodeRef {
            name: Name::from(format!("operator-{client_id:x}")),
            incarnation: 1,
        };
        let log = Logger::root(slog::Discard, o!());
        let key = ClusterKey::new(key.as_bytes());
        let (net, events) = Net::new(node, Role::Operator, Name::from("z1"), key, log);
        Self {
            events,
            client: ControlClient::new(net, members),
            credential: credential.to_owned(),
            next_request: 0,
            client_id,
        }
    }

    /// Sends a request and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails when control rejects the request, or does not reply within 60 s.
    pub async fn request(&mut self, body: Body) -> Result<Body, String> {
        let request_id = self.client.request(Instant::now(), REQUEST_TIMEOUT, body);
        loop {
            let events = tokio::select! {
                event = self.events.next() => match self.client.handle(Instant::now(), event) {
                    Handled::Control(events) => events,
                    Handled::Other(_) => Vec::new(),
                },
                () = tokio::time::sleep(TICK_INTERVAL) => self.client.tick(Instant::now()),
            };
            for event in events {
                match event {
                    ControlEvent::Answer(t, body) if t == request_id => return Ok(body),
                    ControlEvent::Failed(t, failure) if t == request_id => {
                        return Err(format!("{failure:?}"));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Queries the status of the group, its nodes and the configuration.
    ///
    /// # Errors
    ///
    /// Fails as [`OperatorClient::request`] does.
    pub async fn status(&mut self) -> Result<StatusReply, String> {
        let query = StatusQuery {
            config: true,
            nodes: true,
            credential: self.credential.clone(),
        };
        match self.request(Body::StatusQuery(query)).await? {
            Body::StatusReply(reply) => Ok(reply),
            other => Err(format!("unexpected reply {other:?}")),
        }
    }

    /// Builds a change that sets one item and applies only to version `base`.
    pub fn build_change(&mut self, base: u64, name: &str, text: &str) -> ConfigChange {
        self.next_request += 1;
        let item = ConfigItem {
            name: name.to_owned(),
            text: text.to_owned(),
            version: 0,
        };
        ConfigChange {
            base,
            request_id: format!("{:x}-{}", self.client_id, self.next_request),
            operator: "ops".to_owned(),
            origin: "tests".to_owned(),
            upserts: vec![item],
            removals: Vec::new(),
            credential: self.credential.clone(),
        }
    }

    /// Sends a change and returns the reply.
    ///
    /// # Errors
    ///
    /// Fails as [`OperatorClient::request`] does.
    pub async fn send_change(&mut self, change: ConfigChange) -> Result<ConfigReply, String> {
        match self.request(Body::ConfigChange(change)).await? {
            Body::ConfigReply(reply) => Ok(reply),
            other => Err(format!("unexpected reply {other:?}")),
        }
    }

    /// Sets one item, whatever the version in force, and returns the new version.
    ///
    /// # Errors
    ///
    /// Fails when control rejects the change, or as [`OperatorClient::request`] does.
    pub async fn put_item(&mut self, name: &str, text: &str) -> Result<u64, String> {
        let mut base = self.status().await?.config_version;
        loop {
            let change = self.build_change(base, name, text);
            let reply = self.send_change(change).await?;
            match reply.kind() {
                Kind::Accepted => return Ok(reply.version),
                Kind::Conflict => base = reply.version,
                _ => return Err(format!("{reply:?}")),
            }
        }
    }
}
