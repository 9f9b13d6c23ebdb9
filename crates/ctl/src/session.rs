//! Requests to the control group.

use std::time::Duration;

use crate::exit::CommandError;
use crate::exit::Exit;
use crate::settings::Settings;
use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::Handled;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvents;
use sassafras_runtime::RequestId;
use sassafras_runtime::logger;
use sassafras_util::Clock;
use sassafras_util::Name;
use sassafras_util::SystemClock;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::StatusQuery;
use sassafras_wire::proto::StatusReply;

/// Interval at which the client checks pending requests for resending and time-out.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Client of the control group that waits for each reply before the next request.
pub(crate) struct Session {
    pub(crate) settings: Settings,
    events: NetEvents,
    client: ControlClient,
    clock: SystemClock,
    timeout: Duration,
}

impl Session {
    /// Starts connecting to the control members; each request fails after `timeout`.
    pub(crate) fn open(settings: Settings, timeout: Duration) -> Self {
        let clock = SystemClock;
        let node = NodeRef {
            name: settings.name.clone(),
            incarnation: clock.unix_ms(),
        };
        let log = logger(slog::Level::Error, "sassafrasctl");
        // A link must name an availability zone, and operators have none.
        let zone = Name::from("operator");
        let (net, events) = Net::new(node, Role::Operator, zone, settings.key.clone(), log);
        let client = ControlClient::new(net, settings.control.clone());
        Self {
            settings,
            events,
            client,
            clock,
            timeout,
        }
    }

    /// Sends a request and waits for its reply.
    pub(crate) async fn request(&mut self, body: Body) -> Result<Body, CommandError> {
        let id = self.client.request(self.clock.now(), self.timeout, body);
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        loop {
            let events = tokio::select! {
                event = self.events.next() => match self.client.handle(self.clock.now(), event) {
                    Handled::Control(events) => events,
                    Handled::Other(_) => Vec::new(),
                },
                _ = ticks.tick() => self.client.tick(self.clock.now()),
            };
            if let Some(reply) = events.into_iter().find_map(|e| reply_to(id, e)) {
                return reply;
            }
        }
    }

    /// Requests the status of the control group, the nodes and the configuration.
    pub(crate) async fn status(&mut self) -> Result<StatusReply, CommandError> {
        let query = StatusQuery {
            config: true,
            nodes: true,
            credential: self.settings.token.clone(),
        };
        match self.request(Body::StatusQuery(query)).await? {
            Body::StatusReply(reply) => Ok(reply),
            other => Err(unexpected_reply(&other)),
        }
    }
}

fn reply_to(id: RequestId, event: ControlEvent) -> Option<Result<Body, CommandError>> {
    match event {
        ControlEvent::Answer(reply_id, body) if reply_id == id => Some(Ok(body)),
        ControlEvent::Failed(reply_id, failure) if reply_id == id => Some(Err(failure.into())),
        _ => None,
    }
}

/// Returns the error for a reply whose message type does not match the request.
pub(crate) fn unexpected_reply(_body: &Body) -> CommandError {
    CommandError::new(
        Exit::Failed,
        "the control group replied with an unexpected message type",
    )
}
