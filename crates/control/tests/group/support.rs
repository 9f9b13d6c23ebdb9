//! Runs control members on threads, with files on disk and loopback connections, and sends them
//! requests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

use sassafras_config::IniDoc;
use sassafras_control::Settings;
use sassafras_proxy::free_addr;
use sassafras_runtime::Context;
use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::Handled;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvents;
use sassafras_runtime::StopHandle;
use sassafras_util::Digest;
use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::ClusterKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::Push;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::member_change::Kind;

pub const KEY: &str = "0123456789abcdef0123456789abcdef";
pub const TOKEN: &str = "operator-token";
/// Time limit of a request, so that a test that hangs fails. The system does not guarantee it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A control member that runs on its own thread.
pub struct Member {
    pub name: String,
    stop: StopHandle,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<Result<(), Error>>>,
}

/// A control group whose members store their data below one folder.
pub struct Group {
    folder: PathBuf,
    addrs: Vec<(String, SocketAddr)>,
    pub members: Vec<Member>,
    /// Low, so that the tests take many snapshots.
    snapshot_bytes: u64,
    max_claims: usize,
    /// Whether members are added and removed without an operator.
    join: bool,
    /// A member that is not in the initial member set.
    joiner: Option<(String, SocketAddr)>,
}

impl Group {
    /// Starts a new group of three members in an empty folder.
    pub fn bootstrap(test: &str) -> Self {
        Self::bootstrap_with(test, usize::MAX)
    }

    /// Starts a new group that keeps at most `max_claims` claims.
    pub fn bootstrap_with(test: &str, max_claims: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        // The folder of an earlier run may not exist.
        drop(std::fs::remove_dir_all(&folder));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), KEY).unwrap();
        let token = Digest::of(TOKEN.as_bytes());
        let operators = format!("[operator ana]\ntoken_sha256 = {token}\n");
        std::fs::write(folder.join("operators"), operators).unwrap();
        let addrs = ["c1", "c2", "c3"]
            .map(|name| (name.to_owned(), free_addr()))
            .into();
        let mut group = Self {
            folder,
            addrs,
            members: Vec::new(),
            snapshot_bytes: 20_000,
            max_claims,
            join: false,
            joiner: None,
        };
        group.start_all();
        group
    }

    /// Starts a new group of three members that others may join without an operator.
    pub fn bootstrap_joinable(test: &str) -> Self {
        let mut group = Self::bootstrap(test);
        group.kill_all();
        group.join = true;
        group.start_all();
        group
    }

    /// Starts a member that is not in the initial member set, with an empty folder.
    pub fn start_joiner(&mut self, name: &str) {
        self.joiner = Some((name.to_owned(), free_addr()));
        self.start(name);
    }

    pub fn start_all(&mut self) {
        for (name, _) in self.addrs.clone() {
            self.start(&name);
        }
    }

    pub fn start(&mut self, name: &str) {
        let settings = self.settings(name);
        let (stop, stopped) = StopHandle::new();
        let (kill, killed) = oneshot::channel();
        let run = move || {
            let log = sassafras_runtime::logger(slog::Level::Warning, "test");
            sassafras_runtime::block_on(async move {
                tokio::select! {
                    ended = sassafras_control::run(settings, Context::new(log, stopped)) => ended,
                    _ = killed => Ok(()),
                }
            })
        };
        self.members.push(Member {
            name: name.to_owned(),
            stop,
            kill: Some(kill),
            thread: Some(std::thread::spawn(run)),
        });
    }

    /// Kills a member without a graceful stop.
    pub fn kill(&mut self, name: &str) {
        let at = self.members.iter().position(|m| m.name == name).unwrap();
        let mut member = self.members.remove(at);
        // Fails only if the member has already ended, which `join` reports.
        let _ = member.kill.take().unwrap().send(());
        member.thread.take().unwrap().join().unwrap().unwrap();
    }

    /// Stops a member gracefully and waits until it has ended.
    pub fn stop(&mut self, name: &str) {
        let at = self.members.iter().position(|m| m.name == name).unwrap();
        let mut member = self.members.remove(at);
        member.stop.stop();
        member.thread.take().unwrap().join().unwrap().unwrap();
    }

    pub fn kill_all(&mut self) {
        while let Some(member) = self.members.first() {
            let name = member.name.clone();
            self.kill(&name);
        }
    }

    /// Deletes the data folder of a stopped member.
    pub fn wipe(&self, name: &str) {
        std::fs::remove_dir_all(self.folder.join(name)).unwrap();
    }

    pub fn addr(&self, name: &str) -> String {
        let found = self.addrs.iter().find(|(n, _)| n == name);
        found.unwrap().1.to_string()
    }

    pub fn addrs(&self) -> Vec<(Name, SocketAddr)> {
        let addrs = self.addrs.iter();
        addrs.map(|(n, a)| (Name::from(n.as_str()), *a)).collect()
    }

    fn settings(&self, name: &str) -> Settings {
        let data = self.folder.join(name);
        std::fs::create_dir_all(&data).unwrap();
        let mut known = self.addrs.iter().chain(&self.joiner);
        let listen = known.find(|(n, _)| n == name).unwrap().1;
        let members: Vec<_> = self.addrs.iter().map(|(n, a)| format!("{n}@{a}")).collect();
        let text = format!(
            "[node]\nname = {name}\nzone = z1\nlisten = {listen}\n\
             [cluster]\ncontrol = {}\nkey_file = {}\n\
             [storage]\npath = {}\nbootstrap = true\n\
             [control]\njoin = {}\n\
             [bootstrap]\noperators = {}\n",
            members.join(","),
            self.folder.join("key").display(),
            data.display(),
            self.join,
            self.folder.join("operators").display(),
        );
        let mut doc = IniDoc::parse("test.ini", &text).unwrap();
        let mut settings = Settings::load(&mut doc).unwrap();
        doc.finish().unwrap();
        settings.snapshot_bytes = self.snapshot_bytes;
        settings.max_claims = self.max_claims;
        settings
    }
}

/// A node that sends requests to a group.
pub struct Client {
    pub node: NodeRef,
    role: Role,
    events: NetEvents,
    control: ControlClient,
    pub pushes: Vec<Push>,
}

impl Client {
    pub fn new(group: &Group, name: &str, incarnation: u64, role: Role) -> Self {
        let name = Name::from(name);
        let node = NodeRef { name, incarnation };
        let log = sassafras_runtime::logger(slog::Level::Warning, "test");
        let key = ClusterKey::new(KEY.as_bytes());
        let (net, events) = Net::new(node.clone(), role, "z1".into(), key, log);
        Self {
            node,
            role,
            events,
            control: ControlClient::new(net, group.addrs()),
            pushes: Vec::new(),
        }
    }

    pub async fn request(&mut self, body: Body) -> Body {
        self.request_within(TEST_TIMEOUT, body).await
    }

    /// Sends a request and waits for its answer, or for the failure after `limit`.
    pub async fn request_within(&mut self, limit: Duration, body: Body) -> Body {
        let deadline = Instant::now() + TEST_TIMEOUT * 2;
        let request_id = self.control.request(Instant::now(), limit, body);
        loop {
            assert!(Instant::now() < deadline, "no answer");
            let mut control_events = Vec::new();
            tokio::select! {
                event = self.events.next() => {
                    if let Handled::Control(new_events) = self.control.handle(Instant::now(), event) {
                        control_events = new_events;
                    }
                }
                () = tokio::time::sleep(Duration::from_millis(20)) => {}
            }
            control_events.extend(self.control.tick(Instant::now()));
            for event in control_events {
                match event {
                    ControlEvent::Answer(id, body) if id == request_id => return body,
                    ControlEvent::Failed(id, failure) if id == request_id => {
                        return Body::Failure(failure);
                    }
                    ControlEvent::Push(push) => self.pushes.push(push),
                    _ => {}
                }
            }
        }
    }

    pub async fn heartbeat(&mut self, config_version: u64) -> proto::HeartbeatReply {
        match self.request(self.heartbeat_body(config_version)).await {
            Body::HeartbeatReply(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub fn heartbeat_body(&self, config_version: u64) -> Body {
        Body::Heartbeat(proto::Heartbeat {
            node: Some((&self.node).into()),
            role: self.role.into(),
            zone: "z1".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            state: proto::NodeState::Active.into(),
            config_version,
            ..proto::Heartbeat::default()
        })
    }

    pub async fn claim(&mut self, job: &str, body: &[u8], takeover: u64) -> proto::ClaimReply {
        let claim = proto::Claim {
            key: Some(key(job)),
            digest: Digest::of(body).as_bytes().to_vec().into(),
            owner: Some((&self.node).into()),
            tasks: 1,
            agents: Vec::new(),
            takeover,
            query: false,
        };
        match self.request(Body::Claim(claim)).await {
            Body::ClaimReply(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub async fn finish(&mut self, job: &str, epoch: u64) -> proto::FinishReply {
        let finish = proto::Finish {
            key: Some(key(job)),
            epoch,
            outcome: proto::Outcome::Complete.into(),
            ..proto::Finish::default()
        };
        match self.request(Body::Finish(finish)).await {
            Body::FinishReply(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub async fn change(&mut self, base: u64, request: &str, item: &str) -> proto::ConfigReply {
        let change = proto::ConfigChange {
            base,
            request_id: request.to_owned(),
            operator: "ana".to_owned(),
            upserts: vec![proto::ConfigItem {
                name: item.to_owned(),
                text: format!("[item]\nrequest = {request}\n"),
                version: 0,
            }],
            credential: TOKEN.to_owned(),
            ..proto::ConfigChange::default()
        };
        match self.request(Body::ConfigChange(change)).await {
            Body::ConfigReply(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub async fn member(&mut self, kind: Kind, member: &str, address: &str) -> Body {
        let change = proto::MemberChange {
            kind: kind.into(),
            member: member.to_owned(),
            address: address.to_owned(),
            operator: "ana".to_owned(),
            credential: TOKEN.to_owned(),
        };
        self.request(Body::MemberChange(change)).await
    }

    pub async fn status(&mut self) -> proto::StatusReply {
        let query = proto::StatusQuery {
            config: true,
            nodes: true,
            credential: TOKEN.to_owned(),
        };
        match self.request(Body::StatusQuery(query)).await {
            Body::StatusReply(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until the names of the voters are as expected.
    pub async fn wait_for_voters(&mut self, expected: impl Fn(&[String]) -> bool) {
        while !expected(&self.status().await.voters) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

pub fn key(job: &str) -> proto::JobKey {
    proto::JobKey {
        team: "t".to_owned(),
        job: job.to_owned(),
    }
}

/// Runs an asynchronous test on the current thread.
pub fn run(test: impl Future<Output = ()>) {
    sassafras_runtime::block_on(async {
        test.await;
        Ok(())
    })
    .unwrap();
}
