//! Leased shares of teams' quotas.
//!
//! An entry may use a share until its lease is over, also when a later and smaller share
//! was sent and lost. An entry is therefore charged with the largest share whose lease is
//! not over, and the charges of all entries of a team never exceed its quota.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::proto::Share;
use sassafras_wire::proto::ShareDemand;

/// Idle quota is spread over the entries, so that a first job need not wait for a share.
/// Weight of that spare part, as a divisor of the quota per entry.
const SPARE_DIVISOR: u32 = 4;

/// A team's quota.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    /// Tasks that may run at a time.
    pub slots: u32,
    /// Tasks that may start in a second.
    pub rate: u32,
}

/// A share that was sent to an entry.
#[derive(Clone, Copy, Debug)]
struct Grant {
    share: Quota,
    until: Instant,
}

/// What an entry holds and wants of one team's quota.
#[derive(Clone, Debug, Default)]
struct Account {
    grants: Vec<Grant>,
    wanted: u32,
}

/// The shares of all entries.
#[derive(Debug)]
pub struct Shares {
    lease: Duration,
    /// Until then shares of an earlier leader may be in use that this one does not know.
    settled: Instant,
    teams: FastMap<Name, FastMap<Name, Account>>,
}

impl Shares {
    /// Creates the shares of a leader that starts at `now`.
    pub fn new(now: Instant, lease: Duration) -> Self {
        Self {
            lease,
            settled: now + lease,
            teams: FastMap::default(),
        }
    }

    /// Grants an entry its shares of all teams, each until one lease from `now`.
    pub fn grant(
        &mut self,
        now: Instant,
        entry: &Name,
        demand: &[ShareDemand],
        quotas: &FastMap<Name, Quota>,
    ) -> Vec<Share> {
        self.teams.retain(|team, _| quotas.contains_key(team));
        let mut shares: Vec<Share> = quotas
            .iter()
            .map(|(team, quota)| {
                let asked = demand.iter().find(|d| d.team == **team);
                let share = self.grant_team(now, entry, team, *quota, asked);
                Share {
                    team: team.to_string(),
                    slots: share.slots,
                    per_second: share.rate,
                }
            })
            .collect();
        shares.sort_by(|a, b| a.team.cmp(&b.team));
        shares
    }

    /// Returns what the entries may use of a team's quota at `now`.
    pub fn charged(&self, now: Instant, team: &str) -> Quota {
        let Some(accounts) = self.teams.get(team) else {
            return Quota::default();
        };
        accounts.values().fold(Quota::default(), |sum, account| {
            let charge = account.charge(now);
            Quota {
                slots: sum.slots + charge.slots,
                rate: sum.rate + charge.rate,
            }
        })
    }

    fn grant_team(
        &mut self,
        now: Instant,
        entry: &Name,
        team: &Name,
        quota: Quota,
        asked: Option<&ShareDemand>,
    ) -> Quota {
        let accounts = self.teams.entry(team.clone()).or_default();
        accounts.retain(|name, account| {
            account.grants.retain(|g| g.until > now);
            name == entry || !account.grants.is_empty()
        });
        let own = accounts.entry(entry.clone()).or_default();
        own.wanted = asked.map_or(0, |a| a.wanted);
        let others = accounts.iter().filter(|(name, _)| *name != entry);
        let taken = others.fold(Quota::default(), |sum, (_, account)| {
            let charge = account.charge(now);
            Quota {
                slots: sum.slots + charge.slots,
                rate: sum.rate + charge.rate,
            }
        });
        let free = Quota {
            slots: quota.slots.saturating_sub(taken.slots),
            rate: quota.rate.saturating_sub(taken.rate),
        };
        let wanted = if now < self.settled {
            asked.map_or(0, |a| a.held)
        } else {
            fair(quota.slots, accounts, entry)
        };
        let slots = wanted.min(free.slots);
        let share = Quota {
            slots,
            rate: rate(quota, slots).min(free.rate),
        };
        let until = now + self.lease;
        if let Some(own) = accounts.get_mut(entry) {
            own.grants.push(Grant { share, until });
        }
        share
    }
}

impl Account {
    /// Returns the largest share that the entry may be using.
    fn charge(&self, now: Instant) -> Quota {
        let live = self.grants.iter().filter(|g| g.until > now);
        live.fold(Quota::default(), |max, grant| Quota {
            slots: max.slots.max(grant.share.slots),
            rate: max.rate.max(grant.share.rate),
        })
    }
}

/// Returns the rate that comes with a number of slots.
///
/// It follows from the slots alone and is rounded down, because a new leader learns only the
/// slots that an entry holds and must renew the same rate.
fn rate(quota: Quota, slots: u32) -> u32 {
    let rate = u64::from(quota.rate) * u64::from(slots) / u64::from(quota.slots.max(1));
    rate as u32
}

/// Returns an entry's part of the slots in proportion to demand, at least 1 so that small
/// quotas do not round to nothing.
fn fair(slots: u32, accounts: &FastMap<Name, Account>, entry: &Name) -> u32 {
    let count = accounts.len().max(1) as u64;
    let spare = (u64::from(slots / SPARE_DIVISOR) / count).max(1);
    let weight = |account: &Account| u64::from(account.wanted.min(slots)) + spare;
    let total: u64 = accounts.values().map(weight).sum();
    let own = accounts.get(entry).map_or(spare, weight);
    (u64::from(slots) * own / total.max(1)).max(1) as u32
}
