//! Leased shares of teams' quotas.
//!
//! An entry may use a share until its lease expires, even if a later and smaller share was sent:
//! that one may have been lost. An entry is therefore charged with its largest unexpired share,
//! and no grant makes the sum of these charges exceed the team's quota. After the quota was
//! lowered, the sum may exceed it until the earlier shares expire, for at most one lease.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::proto::Share;
use sassafras_wire::proto::ShareDemand;

/// One part in this many of a quota is spread evenly over the entries as a base weight, so that
/// idle entries hold a share and their first job need not wait for one.
const BASE_WEIGHT_DIVISOR: u32 = 4;

/// A team's quota.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    /// Maximum number of running tasks.
    pub slots: u32,
    /// Maximum number of task starts per second.
    pub rate: u32,
}

/// A share granted to an entry, with the end of its lease.
#[derive(Clone, Copy, Debug)]
struct Grant {
    share: Quota,
    expires: Instant,
}

/// The grants and the demand of one entry for one team's quota.
#[derive(Clone, Debug, Default)]
struct Allocation {
    grants: Vec<Grant>,
    wanted: u32,
}

/// The granted shares of all entries, by team.
#[derive(Debug)]
pub struct Shares {
    lease: Duration,
    /// Until then only held shares are renewed, since entries may use shares that an earlier leader
    /// granted and this one does not know.
    renewal_until: Instant,
    teams: FastMap<Name, FastMap<Name, Allocation>>,
}

impl Shares {
    /// Creates the shares of a leader that starts at `now` and grants leases of this duration.
    pub fn new(now: Instant, lease: Duration) -> Self {
        Self {
            lease,
            renewal_until: now + lease,
            teams: FastMap::default(),
        }
    }

    /// Grants an entry its shares of the quotas of all teams, each for one lease from `now`.
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

    /// Returns the part of a team's quota that entries may be using at `now`.
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
        own.wanted = demand.map_or(0, |d| d.wanted);
        let others = allocations.iter().filter(|(name, _)| *name != entry);
        let charged = others.fold(Quota::default(), |sum, (_, allocation)| {
            let charge = allocation.charge(now);
            Quota {
                slots: sum.slots + charge.slots,
                rate: sum.rate + charge.rate,
            }
        });
        let available = Quota {
            slots: quota.slots.saturating_sub(charged.slots),
            rate: quota.rate.saturating_sub(charged.rate),
        };
        let target = if now < self.renewal_until {
            demand.map_or(0, |d| d.held)
        } else {
            fair_slots(quota.slots, allocations, entry)
        };
        let slots = target.min(available.slots);
        let share = Quota {
            slots,
            rate: rate_for(quota, slots).min(available.rate),
        };
        let expires = now + self.lease;
        if let Some(own) = allocations.get_mut(entry) {
            own.grants.push(Grant { share, expires });
        }
        share
    }
}

impl Allocation {
    /// Returns the largest unexpired share of the entry.
    fn charge(&self, now: Instant) -> Quota {
        let live = self.grants.iter().filter(|g| g.expires > now);
        live.fold(Quota::default(), |max, grant| Quota {
            slots: max.slots.max(grant.share.slots),
            rate: max.rate.max(grant.share.rate),
        })
    }
}

/// Returns the start rate that belongs to a number of slots.
///
/// It depends only on the quota and the slots, and is rounded down: a new leader learns only the
/// slots that an entry holds and must renew the same rate.
fn rate_for(quota: Quota, slots: u32) -> u32 {
    let rate = u64::from(quota.rate) * u64::from(slots) / u64::from(quota.slots.max(1));
    rate as u32
}

/// Returns the entry's part of the slots in proportion to its demand. It is at least 1, so that
/// small quotas are not rounded to 0.
fn fair_slots(slots: u32, allocations: &FastMap<Name, Allocation>, entry: &Name) -> u32 {
    let count = allocations.len().max(1) as u64;
    let base = (u64::from(slots / BASE_WEIGHT_DIVISOR) / count).max(1);
    let weight = |allocation: &Allocation| u64::from(allocation.wanted.min(slots)) + base;
    let total: u64 = allocations.values().map(weight).sum();
    let own = allocations.get(entry).map_or(base, weight);
    (u64::from(slots) * own / total.max(1)).max(1) as u32
}
