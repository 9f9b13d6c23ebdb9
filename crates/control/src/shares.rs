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
    expires: Instant,
}

/// What an entry holds and wants of one team's quota.
#[derive(Clone, Debug, Default)]
struct Allocation {
    grants: Vec<Grant>,
    wanted: u32,
}

/// The shares of all entries.
#[derive(Debug)]
pub struct Shares {
    lease: Duration,
    /// Until then shares of an earlier leader may be in use that this one does not know.
    renewal_until: Instant,
    teams: FastMap<Name, FastMap<Name, Allocation>>,
}

impl Shares {
    /// Creates the shares of a leader that starts at `now`.
    pub fn new(now: Instant, lease: Duration) -> Self {
        Self {
            lease,
            renewal_until: now + lease,
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
                let demand = demand.iter().find(|d| d.team == **team);
                let share = self.grant_team(now, entry, team, *quota, demand);
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
        let Some(allocations) = self.teams.get(team) else {
            return Quota::default();
        };
        allocations
            .values()
            .fold(Quota::default(), |sum, allocation| {
                let charge = allocation.charge(now);
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
        demand: Option<&ShareDemand>,
    ) -> Quota {
        let allocations = self.teams.entry(team.clone()).or_default();
        allocations.retain(|name, allocation| {
            allocation.grants.retain(|g| g.expires > now);
            name == entry || !allocation.grants.is_empty()
        });
        let own = allocations.entry(entry.clone()).or_default();
        own.wanted = demand.map_or(0, |a| a.wanted);
        let others = allocations.iter().filter(|(name, _)| *name != entry);
        let taken = others.fold(Quota::default(), |sum, (_, allocation)| {
            let charge = allocation.charge(now);
            Quota {
                slots: sum.slots + charge.slots,
                rate: sum.rate + charge.rate,
            }
        });
        let free = Quota {
            slots: quota.slots.saturating_sub(taken.slots),
            rate: quota.rate.saturating_sub(taken.rate),
        };
        let wanted = if now < self.renewal_until {
            demand.map_or(0, |a| a.held)
        } else {
            fair_slots(quota.slots, allocations, entry)
        };
        let slots = wanted.min(free.slots);
        let share = Quota {
            slots,
            rate: rate_for(quota, slots).min(free.rate),
        };
        let expires = now + self.lease;
        if let Some(own) = allocations.get_mut(entry) {
            own.grants.push(Grant { share, expires });
        }
        share
    }
}

impl Allocation {
    /// Returns the largest share that the entry may be using.
    fn charge(&self, now: Instant) -> Quota {
        let live = self.grants.iter().filter(|g| g.expires > now);
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
fn rate_for(quota: Quota, slots: u32) -> u32 {
    let rate = u64::from(quota.rate) * u64::from(slots) / u64::from(quota.slots.max(1));
    rate as u32
}

/// Returns an entry's part of the slots in proportion to demand, at least 1 so that small
/// quotas do not round to nothing.
fn fair_slots(slots: u32, allocations: &FastMap<Name, Allocation>, entry: &Name) -> u32 {
    let count = allocations.len().max(1) as u64;
    let spare = (u64::from(slots / SPARE_DIVISOR) / count).max(1);
    let weight = |allocation: &Allocation| u64::from(allocation.wanted.min(slots)) + spare;
    let total: u64 = allocations.values().map(weight).sum();
    let own = allocations.get(entry).map_or(spare, weight);
    (u64::from(slots) * own / total.max(1)).max(1) as u32
}
