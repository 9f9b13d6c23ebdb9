//! Operator client of the control group that sends one request at a time.

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

/// Interval of calls to [`ControlClient::tick`], which resends requests.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a request; it allows for a leader election.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of the control group with the credential of an operator.
#[derive(Debug)]
pub struct OperatorClient {
    client: ControlClient,
    events: NetEvents,
    token: String,
}

impl OperatorClient {
    /// Creates a client, which connects to the control members in the background.
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

    /// Upserts configuration items and returns the new configuration version.
    ///
    /// # Errors
    ///
    /// Fails when control refuses the change or does not respond within the timeout.
    pub async fn apply_config(&mut self, items: &[(String, String)]) -> Result<u64, Error> {
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
        match self.request(Body::ConfigChange(change)).await? {
            Body::ConfigReply(reply) if reply.kind() == Kind::Accepted => Ok(reply.version),
            other => Err(Error::new(format!(
                "configuration change was not accepted: {other:?}"
            ))),
        }
    }

    /// Returns the status of the control group.
    ///
    /// # Errors
    ///
    /// Fails when control refuses the query or does not respond within the timeout.
    pub async fn status(&mut self, config: bool, nodes: bool) -> Result<StatusReply, Error> {
        let query = StatusQuery {
            config,
            nodes,
            credential: self.token.clone(),
        };
        match self.request(Body::StatusQuery(query)).await? {
            Body::StatusReply(reply) => Ok(reply),
            other => Err(Error::new(format!(
                "unexpected reply to a status query: {other:?}"
            ))),
        }
    }

    /// Sends a request and waits for its response.
    async fn request(&mut self, body: Body) -> Result<Body, Error> {
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
                    ControlEvent::Answer(id, body) if id == request_id => return Ok(body),
                    ControlEvent::Failed(id, failure) if id == request_id => {
                        return Err(Error::new(format!(
                            "control request failed: {}",
                            failure.detail
                        )));
                    }
                    _ => {}
                }
            }
        }
    }
}
