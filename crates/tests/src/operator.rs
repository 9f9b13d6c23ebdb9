//! An operator's requests to the control group.

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

const TICK: Duration = Duration::from_millis(20);
/// Limit of one request, far above the time that a new election takes.
const LIMIT: Duration = Duration::from_secs(60);

/// A connection to the control group with an operator's token.
#[derive(Debug)]
pub struct Operator {
    events: NetEvents,
    client: ControlClient,
    credential: String,
    next: u64,
    id: u64,
}

impl Operator {
    /// Connects to `members`.
    pub fn new(members: Vec<(Name, SocketAddr)>, key: &str, credential: &str) -> Self {
        let id = sassafras_util::random_u64();
        let node = NodeRef {
            name: Name::from(format!("operator-{id:x}")),
            incarnation: 1,
        };
        let log = Logger::root(slog::Discard, o!());
        let key = ClusterKey::new(key.as_bytes());
        let (net, events) = Net::new(node, Role::Operator, Name::from("z1"), key, log);
        Self {
            events,
            client: ControlClient::new(net, members),
            credential: credential.to_owned(),
            next: 0,
            id,
        }
    }

    /// Sends a request and returns its answer.
    ///
    /// # Errors
    ///
    /// Fails when control refuses the request, or does not answer within 60 s.
    pub async fn request(&mut self, body: Body) -> Result<Body, String> {
        let ticket = self.client.request(Instant::now(), LIMIT, body);
        loop {
            let events = tokio::select! {
                event = self.events.next() => match self.client.handle(Instant::now(), event) {
                    Handled::Control(events) => events,
                    Handled::Other(_) => Vec::new(),
                },
                () = tokio::time::sleep(TICK) => self.client.tick(Instant::now()),
            };
            for event in events {
                match event {
                    ControlEvent::Answer(t, body) if t == ticket => return Ok(body),
                    ControlEvent::Failed(t, failure) if t == ticket => {
                        return Err(format!("{failure:?}"));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Reads the state of the group, its nodes and the configuration.
    ///
    /// # Errors
    ///
    /// Fails as [`Operator::request`] does.
    pub async fn status(&mut self) -> Result<StatusReply, String> {
        let query = StatusQuery {
            config: true,
            nodes: true,
            credential: self.credential.clone(),
        };
        match self.request(Body::StatusQuery(query)).await? {
            Body::StatusReply(reply) => Ok(reply),
            other => Err(format!("unexpected answer {other:?}")),
        }
    }

    /// Builds a change of one item on top of version `base`.
    pub fn change(&mut self, base: u64, name: &str, text: &str) -> ConfigChange {
        self.next += 1;
        let item = ConfigItem {
            name: name.to_owned(),
            text: text.to_owned(),
            version: 0,
        };
        ConfigChange {
            base,
            request_id: format!("{:x}-{}", self.id, self.next),
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
    /// Fails as [`Operator::request`] does.
    pub async fn send(&mut self, change: ConfigChange) -> Result<ConfigReply, String> {
        match self.request(Body::ConfigChange(change)).await? {
            Body::ConfigReply(reply) => Ok(reply),
            other => Err(format!("unexpected answer {other:?}")),
        }
    }

    /// Puts one item in force on top of whatever is in force, and returns the version.
    ///
    /// # Errors
    ///
    /// Fails when control finds the change invalid, or as [`Operator::request`] does.
    pub async fn put(&mut self, name: &str, text: &str) -> Result<u64, String> {
        let mut base = self.status().await?.config_version;
        loop {
            let change = self.change(base, name, text);
            let reply = self.send(change).await?;
            match reply.kind() {
                Kind::Accepted => return Ok(reply.version),
                Kind::Conflict => base = reply.version,
                _ => return Err(format!("{reply:?}")),
            }
        }
    }
}
