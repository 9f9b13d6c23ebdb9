//! Settings files and declarations of a test cluster.

use std::fmt::Write as _;
use std::net::SocketAddr;

use sassafras_util::Digest;

/// The cluster key of test clusters.
pub(crate) const CLUSTER_KEY: &str = "a key for test clusters only";
/// The team that submits the jobs.
pub(crate) const TEAM_NAME: &str = "bookings";
pub(crate) const TEAM_TOKEN: &str = "token of the team in tests";
/// The operator's bearer token.
pub(crate) const OPERATOR_TOKEN: &str = "token of the operator in tests";
/// The kind whose tasks may be repeated; those of the default kind may not.
pub(crate) const REPEATABLE_KIND: &str = "lookup";

/// Settings of a node of the cluster.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) listen: SocketAddr,
    pub(crate) advertise: SocketAddr,
    /// The name of each control member and the address at which this node reaches it.
    pub(crate) control: Vec<(String, SocketAddr)>,
    pub(crate) key_file: String,
}

impl NodeSettings<'_> {
    /// Returns the sections that all nodes have in common.
    pub(crate) fn to_ini(&self) -> String {
        let control: Vec<String> = self
            .control
            .iter()
            .map(|(name, addr)| format!("{name}@{addr}"))
            .collect();
        format!(
            "[node]\nname = {}\nzone = {}\nlisten = {}\nadvertise = {}\n\n[cluster]\ncontrol = {}\nkey_file = {}\n\n\
             [log]\nlevel = debug\n\n",
            self.name,
            self.zone,
            self.listen,
            self.advertise,
            control.join(","),
            self.key_file
        )
    }
}

/// Returns the declaration of the test team with the given quota.
pub(crate) fn team_ini(slots: u32, token: &str) -> String {
    let mut text = format!(
        "[team]\nname = {TEAM_NAME}\ntoken_sha256 = {}\nweight = 10\nquota_slots = {slots}\nquota_per_second = 100000\n\
         max_tasks = 970\ndeadline_ms = 60000\nobjective = response\n",
        Digest::of(token.as_bytes())
    );
    for (kind, repeatable) in [("hold", false), (REPEATABLE_KIND, true)] {
        push_kind(&mut text, kind, repeatable);
    }
    text
}

/// Returns `count` more kinds, which make a team's declaration large.
pub(crate) fn extra_kinds_ini(count: usize) -> String {
    let mut text = String::new();
    for n in 0..count {
        push_kind(&mut text, &format!("other{n}"), false);
    }
    text
}

fn push_kind(text: &mut String, kind: &str, repeatable: bool) {
    // Writing to a string cannot fail.
    let _ = write!(
        text,
        "\n[kind {kind}]\nrun_ms = 100\nrepeatable = {repeatable}\ncores = 1\nmemory_mb = 64\naccelerators = 0\n"
    );
}

/// Returns the declaration of the operator.
pub(crate) fn operators_ini() -> String {
    format!(
        "[operator ops]\ntoken_sha256 = {}\n",
        Digest::of(OPERATOR_TOKEN.as_bytes())
    )
}
