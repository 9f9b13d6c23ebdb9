//! Requests to the control group, one at a time.

use std::time::Duration;

use crate::exit::Exit;
use crate::exit::Fault;
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

/// How often unanswered requests are looked at.
const TICK: Duration = Duration::from_millis(50);

/// Links to the control group.
pub(crate) struct Session {
    pub(crate) settings: Settings,
    events: NetEvents,
    client: ControlClient,
    clock: SystemClock,
    limit: Duration,
}

impl Session {
    /// Starts to open links; `limit` bounds each request.
    pub(crate) fn open(settings: Settings, limit: Duration) -> Self {
        let clock = SystemClock;
        let node = NodeRef {
            name: settings.name.clone(),
            incarnation: clock.unix_ms(),
        };
        let log = logger(slog::Level::Error, "sassafrasctl");
        // Operators are in no availability zone, and a link has to name one.
        let zone = Name::from("operator");
        let (net, events) = Net::new(node, Role::Operator, zone, settings.key.clone(), log);
        let client = ControlClient::new(net, settings.control.clone());
        Self {
            settings,
            events,
            client,
            clock,
            limit,
        }
    }

    /// Sends a request and waits for its answer.
    pub(crate) async fn ask(&mut self, body: Body) -> Result<Body, Fault> {
        let ticket = self.client.request(self.clock.now(), self.limit, body);
        let mut ticks = tokio::time::interval(TICK);
        loop {
            let events = tokio::select! {
                event = self.events.next() => match self.client.handle(self.clock.now(), event) {
                    Handled::Control(events) => events,
                    Handled::Other(_) => Vec::new(),
                },
                _ = ticks.tick() => self.client.tick(self.clock.now()),
            };
            if let Some(answer) = events.into_iter().find_map(|e| answer_to(ticket, e)) {
                return answer;
            }
        }
    }

    /// Asks for the status of the group, its nodes and its configuration.
    pub(crate) async fn status(&mut self) -> Result<StatusReply, Fault> {
        let query = StatusQuery {
            config: true,
            nodes: true,
            credential: self.settings.token.clone(),
        };
        match self.ask(Body::StatusQuery(query)).await? {
            Body::StatusReply(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }
}

fn answer_to(ticket: RequestId, event: ControlEvent) -> Option<Result<Body, Fault>> {
    match event {
        ControlEvent::Answer(t, body) if t == ticket => Some(Ok(body)),
        ControlEvent::Failed(t, failure) if t == ticket => Some(Err(failure.into())),
        _ => None,
    }
}

/// Returns the fault for an answer of another type than was asked for.
pub(crate) fn unexpected(_body: &Body) -> Fault {
    Fault::new(
        Exit::Failed,
        "the control group answered with a message of another type",
    )
}
