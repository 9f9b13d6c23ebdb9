//! Names, addresses, settings files and links of a cluster.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use tempfile::TempDir;

use sassafras_proxy::Link;
use sassafras_proxy::free_addr;
use sassafras_util::Name;

use super::Members;
use super::Options;
use crate::process::Process;
use crate::settings;
use crate::settings::NodeSettings;

pub(crate) const CONTROL: [&str; 3] = ["c1", "c2", "c3"];
pub(crate) const ENTRIES: [&str; 2] = ["e1", "e2"];
pub(crate) const AGENTS: [&str; 4] = ["a1", "a2", "a3", "a4"];

pub(super) struct Layout {
    pub(super) dir: TempDir,
    pub(super) processes: BTreeMap<String, Process>,
    pub(super) links: BTreeMap<(String, String), Link>,
    pub(super) start_files: BTreeMap<String, PathBuf>,
    pub(super) listen_addrs: BTreeMap<String, SocketAddr>,
    pub(super) members: Members,
}

/// Returns the names of the entries and agents.
pub(super) fn node_names() -> Vec<String> {
    let nodes = ENTRIES.iter().chain(&AGENTS);
    nodes.map(|n| (*n).to_owned()).collect()
}

/// Returns the name of the endpoint stand-in on the host of an agent.
pub(crate) fn endpoint_of(agent: &str) -> Option<String> {
    agent.strip_prefix('a').map(|number| format!("s{number}"))
}

fn zone(name: &str) -> &'static str {
    match name.as_bytes().last() {
        Some(b'2') => "z2",
        Some(b'3') => "z3",
        _ => "z1",
    }
}

pub(super) async fn build(options: &Options) -> Layout {
    let dir = TempDir::with_prefix("sassafras-").expect("a temporary directory");
    write_file(dir.path(), "cluster.key", settings::CLUSTER_KEY);
    write_file(dir.path(), "operators.ini", &settings::operators_ini());
    let mut listen_addrs = BTreeMap::new();
    for name in CONTROL.iter().chain(&ENTRIES).chain(&AGENTS) {
        listen_addrs.insert((*name).to_owned(), free_addr());
    }
    for entry in ENTRIES {
        listen_addrs.insert(format!("{entry}/http"), free_addr());
    }
    for agent in AGENTS {
        listen_addrs.insert(format!("{agent}/endpoint"), free_addr());
    }
    let member = |c: &&str| (Name::from(*c), listen_addrs[*c]);
    let members = CONTROL.iter().map(member).collect();
    let mut layout = Layout {
        dir,
        processes: BTreeMap::new(),
        links: BTreeMap::new(),
        start_files: BTreeMap::new(),
        listen_addrs,
        members,
    };
    layout.add_links(options.seed).await;
    layout.add_processes(options);
    layout
}

fn write_file(dir: &Path, name: &str, text: &str) {
    std::fs::write(dir.join(name), text).expect("the temporary directory is writable");
}

impl Layout {
    async fn add_links(&mut self, seed: u64) {
        let sources = CONTROL.iter().chain(&ENTRIES).chain(&AGENTS);
        for from in sources {
            for to in CONTROL.iter().filter(|to| *to != from) {
                self.add_link(from, to, to, seed).await;
            }
        }
        // A node advertises a single address, so all its peers share one link.
        for to in ENTRIES.iter().chain(&AGENTS) {
            self.add_link("entries", to, to, seed).await;
        }
        for to in ENTRIES {
            self.add_link("callers", to, &format!("{to}/http"), seed)
                .await;
        }
        for agent in AGENTS {
            let endpoint = endpoint_of(agent).unwrap_or_default();
            let target = format!("{agent}/endpoint");
            self.add_link(&endpoint, agent, &target, seed).await;
        }
    }

    async fn add_link(&mut self, from: &str, to: &str, target: &str, seed: u64) {
        let target = self.listen_addrs[target];
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = Link::start(listen, target, seed).await;
        let link = link.expect("a link listens on a free port");
        self.links.insert((from.to_owned(), to.to_owned()), link);
    }

    fn link(&self, from: &str, to: &str) -> SocketAddr {
        self.links[&(from.to_owned(), to.to_owned())].addr()
    }

    fn add_processes(&mut self, options: &Options) {
        for name in CONTROL {
            let data = self.dir.path().join(name);
            let operators = self.dir.path().join("operators.ini");
            std::fs::create_dir(&data).expect("the temporary directory is writable");
            let text = format!(
                "[storage]\npath = {}\nbootstrap = true\nsnapshot_mb = {}\n\n[bootstrap]\noperators = {}\n",
                data.display(),
                options.snapshot_mb,
                operators.display()
            );
            self.add_node("sassafras-control", name, &text);
        }
        for name in ENTRIES {
            let text = format!(
                "[entry]\nhttp = {}\n",
                self.listen_addrs[&format!("{name}/http")]
            );
            self.add_node("sassafras-entry", name, &text);
        }
        for name in AGENTS {
            let listen = self.listen_addrs[&format!("{name}/endpoint")];
            self.add_node(
                "sassafras-agent",
                name,
                &format!("[endpoint]\nlisten = {listen}\n"),
            );
            self.add_endpoint(name);
        }
    }

    fn add_node(&mut self, program: &'static str, name: &str, sections: &str) {
        let listen = self.listen_addrs[name];
        let control = CONTROL.iter().map(|c| {
            let addr = if *c == name {
                listen
            } else {
                self.link(name, c)
            };
            ((*c).to_owned(), addr)
        });
        let advertise = if CONTROL.contains(&name) {
            listen
        } else {
            self.link("entries", name)
        };
        let node = NodeSettings {
            name,
            zone: zone(name),
            listen,
            advertise,
            control: control.collect(),
            key_file: self.dir.path().join("cluster.key").display().to_string(),
        };
        self.add_process(program, name, &format!("{}{sections}", node.to_ini()));
    }

    fn add_endpoint(&mut self, agent: &str) {
        let name = endpoint_of(agent).unwrap_or_default();
        let record = self.dir.path().join(format!("{name}.starts"));
        let text = format!(
            "[standin]\nagent = {}\nrack = r{}\nrecord = {}\n",
            self.link(&name, agent),
            &agent[1..],
            record.display()
        );
        self.add_process("sassafras-standin", &name, &text);
        self.start_files.insert(name, record);
    }

    fn add_process(&mut self, program: &'static str, name: &str, text: &str) {
        write_file(self.dir.path(), &format!("{name}.ini"), text);
        let process = Process::new(program, self.dir.path(), name);
        self.processes.insert(name.to_owned(), process);
    }
}
