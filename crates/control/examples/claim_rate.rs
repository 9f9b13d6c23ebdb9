//! Measures claims per second, the time until a new leader answers and the time to restart, with
//! three members on threads, files on disk and loopback connections.
//!
//! ```text
//! cargo run --release -p sassafras-control --example claim_rate -- FOLDER [SECONDS] [WINDOW]
//! ```

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

use sassafras_config::IniDoc;
use sassafras_control::Settings;
use sassafras_runtime::Context;
use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::Handled;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvents;
use sassafras_runtime::RequestId;
use sassafras_runtime::StopHandle;
use sassafras_util::Digest;
use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::ClusterKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::claim_reply::Kind;

const KEY: &str = "0123456789abcdef0123456789abcdef";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

type Member = (oneshot::Sender<()>, JoinHandle<Result<(), Error>>);

fn main() -> Result<(), Error> {
    let mut args = std::env::args().skip(1);
    let folder = PathBuf::from(args.next().ok_or_else(|| Error::new("FOLDER is missing"))?);
    let seconds: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(5);
    let window: usize = args.next().and_then(|a| a.parse().ok()).unwrap_or(256);
    std::fs::create_dir_all(&folder)?;
    std::fs::write(folder.join("key"), KEY)?;
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let mut addrs = Vec::new();
    for (n, listener) in listeners.iter().enumerate() {
        addrs.push((Name::from(format!("c{n}")), listener.local_addr()?));
    }
    drop(listeners);
    sassafras_runtime::block_on(measure(
        &folder,
        addrs,
        Duration::from_secs(seconds),
        window,
    ))
}

async fn measure(
    folder: &Path,
    addrs: Vec<(Name, SocketAddr)>,
    time: Duration,
    window: usize,
) -> Result<(), Error> {
    let mut members = HashMap::new();
    for (name, addr) in &addrs {
        members.insert(name.to_string(), start(folder, name, *addr, &addrs)?);
    }
    let mut entry = Entry::new(&addrs);
    entry.heartbeat().await?;
    let (claims, mut latencies) = entry.measure_claims(time, window).await?;
    latencies.sort_unstable();
    let percentile = |percent: usize| {
        latencies
            .get(latencies.len() * percent / 100)
            .copied()
            .unwrap_or_default()
    };
    println!(
        "claims={claims} per_second={:.0} window={window} p50={:?} p99={:?} max={:?}",
        claims as f64 / time.as_secs_f64(),
        percentile(50),
        percentile(99),
        latencies.last().copied().unwrap_or_default()
    );
    let leader = entry.leader.clone();
    if let Some((kill, thread)) = members.remove(&leader) {
        let start = Instant::now();
        // Fails only if the member has already ended, which `join` reports.
        let _ = kill.send(());
        entry.heartbeat().await?;
        println!("heartbeat_after_leader_loss={:?}", start.elapsed());
        join(thread)?;
    }
    for (_, (kill, thread)) in members {
        kill_and_join(kill, thread)?;
    }
    let begin = Instant::now();
    let mut members = Vec::new();
    for (name, addr) in &addrs {
        members.push(start(folder, name, *addr, &addrs)?);
    }
    entry.heartbeat().await?;
    println!("heartbeat_after_restart={:?}", begin.elapsed());
    for (kill, thread) in members {
        kill_and_join(kill, thread)?;
    }
    Ok(())
}

fn start(
    folder: &Path,
    name: &Name,
    listen: SocketAddr,
    addrs: &[(Name, SocketAddr)],
) -> Result<Member, Error> {
    let data = folder.join(&**name);
    std::fs::create_dir_all(&data)?;
    let control: Vec<String> = addrs.iter().map(|(n, a)| format!("{n}@{a}")).collect();
    let text = format!(
        "[node]\nname = {name}\nzone = z\nlisten = {listen}\n[cluster]\ncontrol = {}\nkey_file = {}\n\
         [storage]\npath = {}\nbootstrap = true\n",
        control.join(","),
        folder.join("key").display(),
        data.display()
    );
    let settings = Settings::load(&mut IniDoc::parse("example.ini", &text)?)?;
    let (kill, killed) = oneshot::channel();
    let thread = std::thread::spawn(move || {
        let log = sassafras_runtime::logger(slog::Level::Warning, "example");
        let (handle, stop) = StopHandle::new();
        let ended = sassafras_runtime::block_on(async move {
            tokio::select! {
                ended = sassafras_control::run(settings, Context::new(log, stop)) => ended,
                _ = killed => Ok(()),
            }
        });
        drop(handle);
        ended
    });
    Ok((kill, thread))
}

fn kill_and_join(
    kill: oneshot::Sender<()>,
    thread: JoinHandle<Result<(), Error>>,
) -> Result<(), Error> {
    // Fails only if the member has already ended, which `join` reports.
    let _ = kill.send(());
    join(thread)
}

fn join(thread: JoinHandle<Result<(), Error>>) -> Result<(), Error> {
    match thread.join() {
        Ok(ended) => ended,
        Err(panic) => std::panic::resume_unwind(panic),
    }
}

struct Entry {
    node: NodeRef,
    events: NetEvents,
    control: ControlClient,
    conns: HashMap<String, String>,
    leader: String,
}

impl Entry {
    fn new(addrs: &[(Name, SocketAddr)]) -> Self {
        let node = NodeRef {
            name: "e1".into(),
            incarnation: 1,
        };
        let log = sassafras_runtime::logger(slog::Level::Warning, "example");
        let key = ClusterKey::new(KEY.as_bytes());
        let (net, events) = Net::new(node.clone(), Role::Entry, "z".into(), key, log);
        Self {
            node,
            events,
            control: ControlClient::new(net, addrs.to_vec()),
            conns: HashMap::new(),
            leader: String::new(),
        }
    }

    fn heartbeat_message(&self) -> proto::Heartbeat {
        proto::Heartbeat {
            node: Some((&self.node).into()),
            role: Role::Entry.into(),
            state: proto::NodeState::Active.into(),
            ..proto::Heartbeat::default()
        }
    }

    async fn heartbeat(&mut self) -> Result<(), Error> {
        match self
            .request(Body::Heartbeat(self.heartbeat_message()))
            .await?
        {
            Body::HeartbeatReply(_) => Ok(()),
            other => Err(Error::new(format!("{other:?}"))),
        }
    }

    async fn request(&mut self, body: Body) -> Result<Body, Error> {
        let request_id = self.control.request(Instant::now(), REQUEST_TIMEOUT, body);
        loop {
            for (answered, body) in self.next_answers().await? {
                if answered == request_id {
                    return Ok(body);
                }
            }
        }
    }

    /// Waits for events, for at most 20 ms, and returns the answers among them.
    async fn next_answers(&mut self) -> Result<Vec<(RequestId, Body)>, Error> {
        let mut events = Vec::new();
        tokio::select! {
            event = self.events.next() => {
                events.push(event);
                while let Some(event) = self.events.try_next() {
                    events.push(event);
                }
            }
            () = tokio::time::sleep(Duration::from_millis(20)) => {}
        }
        let mut control_events = Vec::new();
        for event in events {
            if let sassafras_runtime::NetEvent::Up { conn, peer, .. } = &event {
                self.conns
                    .insert(format!("{conn:?}"), peer.node.name.to_string());
            }
            if let Handled::Control(new_events) = self.control.handle(Instant::now(), event) {
                control_events.extend(new_events);
            }
        }
        control_events.extend(self.control.tick(Instant::now()));
        let leader = self.control.leader().map(|c| format!("{c:?}"));
        if let Some(name) = leader.and_then(|l| self.conns.get(&l)) {
            self.leader.clone_from(name);
        }
        let mut answers = Vec::new();
        for event in control_events {
            match event {
                ControlEvent::Answer(request_id, body) => answers.push((request_id, body)),
                ControlEvent::Failed(_, failure) => return Err(Error::new(failure.detail)),
                ControlEvent::Push(_) => {}
            }
        }
        Ok(answers)
    }

    async fn measure_claims(
        &mut self,
        time: Duration,
        window: usize,
    ) -> Result<(u64, Vec<Duration>), Error> {
        let (begin, mut next_heartbeat) = (Instant::now(), Instant::now());
        let mut in_flight = HashMap::new();
        let (mut number, mut done, mut latencies) = (0_u64, 0_u64, Vec::new());
        let agents: Vec<_> = (0..11)
            .map(|n| proto::NodeRef {
                name: format!("worker-{n}"),
                incarnation: 1,
            })
            .collect();
        while begin.elapsed() < time {
            if Instant::now() >= next_heartbeat {
                self.control.request(
                    Instant::now(),
                    REQUEST_TIMEOUT,
                    Body::Heartbeat(self.heartbeat_message()),
                );
                next_heartbeat = Instant::now() + Duration::from_secs(1);
            }
            while in_flight.len() < window {
                number += 1;
                let claim = proto::Claim {
                    key: Some(proto::JobKey {
                        team: "t".to_owned(),
                        job: format!("job-{number}"),
                    }),
                    digest: Digest::of(&number.to_le_bytes()).as_bytes().to_vec().into(),
                    owner: Some((&self.node).into()),
                    tasks: 10,
                    agents: agents.clone(),
                    takeover: 0,
                    query: false,
                };
                let request_id =
                    self.control
                        .request(Instant::now(), REQUEST_TIMEOUT, Body::Claim(claim));
                in_flight.insert(request_id, Instant::now());
            }
            for (request_id, body) in self.next_answers().await? {
                let Some(sent) = in_flight.remove(&request_id) else {
                    continue;
                };
                let granted = matches!(&body, Body::ClaimReply(r) if r.kind() == Kind::Granted);
                if !granted {
                    return Err(Error::new(format!("{body:?}")));
                }
                done += 1;
                latencies.push(sent.elapsed());
            }
        }
        for request_id in in_flight.into_keys() {
            self.control.forget(request_id);
        }
        Ok((done, latencies))
    }
}
