//! Settings files and declarations of a test cluster.

use std::fmt::Write as _;
use std::net::SocketAddr;

use sassafras_util::Digest;

/// The cluster key of test clusters.
pub(crate) const KEY: &str = "a key for test clusters only";
/// The team that jobs belong to.
pub(crate) const TEAM: &str = "bookings";
pub(crate) const TEAM_TOKEN: &str = "token of the team in tests";
/// The operator's bearer token.
pub(crate) const OPERATOR_TOKEN: &str = "token of the operator in tests";
/// The kind of task that may be repeated; the default kind may not.
pub(crate) const REPEATABLE: &str = "lookup";

/// A node of the cluster, for its settings file.
#[derive(Clone, Debug)]
pub(crate) struct Node<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) listen: SocketAddr,
    pub(crate) advertise: SocketAddr,
    /// Where this node reaches each control member.
    pub(crate) control: Vec<(String, SocketAddr)>,
    pub(crate) key_file: String,
}

impl Node<'_> {
    /// Returns the sections that every process has.
    pub(crate) fn text(&self) -> String {
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
pub(crate) fn team(slots: u32, token: &str) -> String {
    let mut text = format!(
        "[team]\nname = {TEAM}\ntoken_sha256 = {}\nweight = 10\nquota_slots = {slots}\nquota_per_second = 100000\n\
         max_tasks = 970\ndeadline_ms = 60000\nobjective = response\n",
        Digest::of(token.as_bytes())
    );
    for (kind, repeatable) in [("hold", false), (REPEATABLE, true)] {
        push_kind(&mut text, kind, repeatable);
    }
    text
}

/// Returns the declaration of further kinds, to make a team's declaration long.
pub(crate) fn kinds(count: usize) -> String {
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
pub(crate) fn operators() -> String {
    format!(
        "[operator ops]\ntoken_sha256 = {}\n",
        Digest::of(OPERATOR_TOKEN.as_bytes())
    )
}
