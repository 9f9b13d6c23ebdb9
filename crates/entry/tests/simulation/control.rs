//! A scripted control group: claims, membership, leases and shares.

use std::collections::BTreeMap;

use bytes::Bytes;

use sassafras_util::Digest;
use sassafras_wire::Body;
use sassafras_wire::proto;
use sassafras_wire::proto::ClaimReply;
use sassafras_wire::proto::Outcome;
use sassafras_wire::proto::claim_reply::Kind;

/// Milliseconds without a heartbeat after which a node counts as gone.
const GONE_MS: u64 = 4000;
pub const LEASE_MS: u64 = 2500;
pub const TOKEN: &str = "secret";

#[derive(Clone, Debug)]
pub struct Claim {
    digest: Bytes,
    owner: proto::NodeRef,
    epoch: u64,
    claimed: u64,
    pub agents: Vec<proto::NodeRef>,
    end: Option<(Outcome, String, bool)>,
}

#[derive(Debug, Default)]
pub struct Control {
    pub claims: BTreeMap<String, Claim>,
    epoch: u64,
    beats: BTreeMap<(String, u64), u64>,
    members: Vec<proto::Member>,
    version: u64,
}

pub fn key_text(key: Option<&proto::JobKey>) -> String {
    key.map_or(String::new(), |k| format!("{}/{}", k.team, k.job))
}

impl Control {
    pub fn member(&mut self, member: proto::Member) {
        let name = |m: &proto::Member| m.node.as_ref().map(|n| n.name.clone());
        self.members.retain(|m| name(m) != name(&member));
        self.members.push(member);
        self.version += 1;
    }

    pub fn handle(&mut self, ms: u64, body: &Body) -> Body {
        match body {
            Body::Heartbeat(beat) => Body::HeartbeatReply(self.heartbeat(ms, beat)),
            Body::Claim(claim) => Body::ClaimReply(self.claim(ms, claim)),
            Body::Extend(extend) => Body::ExtendReply(self.extend(extend)),
            Body::Finish(finish) => Body::FinishReply(self.finish(finish)),
            other => panic!("unexpected request {other:?}"),
        }
    }

    fn heartbeat(&mut self, ms: u64, beat: &proto::Heartbeat) -> proto::HeartbeatReply {
        let node = beat.node.clone().unwrap();
        self.beats.insert((node.name, node.incarnation), ms);
        let item = proto::ConfigItem {
            name: "team/shop".to_owned(),
            text: team_text(),
            version: 1,
        };
        let config = proto::ConfigDelta {
            from: 0,
            to: 1,
            upserts: vec![item],
            removals: Vec::new(),
        };
        let members = proto::MembersDelta {
            from: 0,
            to: self.version,
            members: self.members.clone(),
        };
        let share = |demand: &proto::ShareDemand| proto::Share {
            team: demand.team.clone(),
            slots: 16,
            per_second: 1000,
        };
        proto::HeartbeatReply {
            routing: None,
            control: Vec::new(),
            control_ms: ms,
            lease_ms: LEASE_MS,
            config: (beat.config_version < 1).then_some(config),
            members: (beat.members_version < self.version).then_some(members),
            shares: beat.demand.iter().map(share).collect(),
            config_version: 1,
            state: proto::NodeState::Active.into(),
        }
    }

    fn alive(&self, ms: u64, node: &proto::NodeRef) -> bool {
        let beat = self.beats.get(&(node.name.clone(), node.incarnation));
        beat.is_some_and(|at| ms < at + GONE_MS)
    }

    fn claim(&mut self, ms: u64, claim: &proto::Claim) -> ClaimReply {
        let key = key_text(claim.key.as_ref());
        let owner = claim.owner.clone().unwrap();
        if claim.query {
            return self.query(ms, &key, claim);
        }
        let Some(known) = self.claims.get(&key).cloned() else {
            assert_eq!(claim.takeover, 0, "takeover of an unknown job");
            self.epoch += 1;
            let new = Claim {
                digest: claim.digest.clone(),
                owner,
                epoch: self.epoch,
                claimed: ms,
                agents: claim.agents.clone(),
                end: None,
            };
            self.claims.insert(key, new.clone());
            return self.reply(ms, &new, Kind::Granted);
        };
        if known.digest != claim.digest {
            return self.reply(ms, &known, Kind::Conflict);
        }
        if known.end.is_some() {
            return self.reply(ms, &known, Kind::Finished);
        }
        if known.owner != owner && claim.takeover != known.epoch {
            return self.reply(ms, &known, Kind::Owned);
        }
        let mut next = known;
        if next.owner != owner {
            self.epoch += 1;
            next.owner = owner;
            next.epoch = self.epoch;
        }
        widen(&mut next.agents, &claim.agents);
        self.claims.insert(key, next.clone());
        self.reply(ms, &next, Kind::Granted)
    }

    fn query(&self, ms: u64, key: &str, claim: &proto::Claim) -> ClaimReply {
        let Some(known) = self.claims.get(key) else {
            return ClaimReply {
                kind: Kind::Unclaimed.into(),
                ..ClaimReply::default()
            };
        };
        let kind = if known.digest != claim.digest {
            Kind::Conflict
        } else if known.end.is_some() {
            Kind::Finished
        } else {
            Kind::Owned
        };
        self.reply(ms, known, kind)
    }

    fn reply(&self, ms: u64, claim: &Claim, kind: Kind) -> ClaimReply {
        let (outcome, reason, never_started) =
            claim
                .end
                .clone()
                .unwrap_or((Outcome::Running, String::new(), false));
        ClaimReply {
            kind: kind.into(),
            epoch: claim.epoch,
            claimed_ms: claim.claimed,
            owner: Some(claim.owner.clone()),
            owner_alive: self.alive(ms, &claim.owner),
            agents: claim.agents.clone(),
            outcome: outcome.into(),
            reason,
            never_started,
            ..ClaimReply::default()
        }
    }

    fn extend(&mut self, extend: &proto::Extend) -> proto::ExtendReply {
        let Some(known) = self.claims.get_mut(&key_text(extend.key.as_ref())) else {
            return proto::ExtendReply::default();
        };
        let accepted = known.epoch == extend.epoch && known.end.is_none();
        if accepted {
            widen(&mut known.agents, &extend.agents);
        }
        proto::ExtendReply {
            accepted,
            epoch: known.epoch,
        }
    }

    fn finish(&mut self, finish: &proto::Finish) -> proto::FinishReply {
        let Some(known) = self.claims.get_mut(&key_text(finish.key.as_ref())) else {
            return proto::FinishReply::default();
        };
        let current = known.epoch == finish.epoch;
        if known.end.is_none() && current {
            let reason = finish.reason.clone();
            known.end = Some((finish.outcome(), reason, finish.never_started));
        }
        let (outcome, reason) = known
            .end
            .as_ref()
            .map_or((Outcome::Running, ""), |(o, r, _)| (*o, r));
        proto::FinishReply {
            accepted: current && outcome == finish.outcome(),
            outcome: outcome.into(),
            reason: reason.to_owned(),
            epoch: known.epoch,
        }
    }
}

fn widen(known: &mut Vec<proto::NodeRef>, agents: &[proto::NodeRef]) {
    for agent in agents {
        if !known.contains(agent) {
            known.push(agent.clone());
        }
    }
}

fn team_text() -> String {
    let token = Digest::of(TOKEN.as_bytes());
    format!(
        "[team]\nname = shop\ntoken_sha256 = {token}\nweight = 1\nquota_slots = 32\n\
         quota_per_second = 1000\nmax_tasks = 100\ndeadline_ms = 60000\nobjective = response\n\
         [kind once]\nrun_ms = 50\nrepeatable = false\ncores = 0\nmemory_mb = 0\naccelerators = 0\n\
         [kind again]\nrun_ms = 50\nrepeatable = true\ncores = 0\nmemory_mb = 0\naccelerators = 0\n"
    )
}
