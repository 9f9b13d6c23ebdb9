//! An endpoint of the agent's host: its clock, its lease and the runs that it lists.

use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;

use super::call::Announcement;
use super::call::Command;
use super::call::Completion;
use super::call::RunList;
use super::pace::Pace;
use crate::health::Health;
use crate::timing::TASK_LEASE;

/// Longest wait of a hold for a run to end. When the answer gets lost, ends are learned late by
/// this time and the caller's limit.
const HOLD_WAIT: Duration = Duration::from_millis(80);
/// Longest wait of a hold at an endpoint that left a call unanswered lately.
const SHORT_HOLD_WAIT: Duration = Duration::from_millis(20);
/// Time for an endpoint on the same host to answer, beyond a wait that it was asked for.
const ANSWER_LIMIT: Duration = Duration::from_millis(100);
/// The same at an endpoint that left a call unanswered lately. Answers take less than 5 ms.
const SHORT_ANSWER_LIMIT: Duration = Duration::from_millis(35);
/// How long an unanswered call is remembered.
const SILENCE_MEMORY: Duration = Duration::from_secs(3);
/// After so many unanswered calls in a row the long limit applies again: the host may be slow.
const MAX_SHORT_LIMITS: u32 = 2;
/// Lease that a start asks for. An order to start that is carried out later is void, and holds
/// extend the lease at once.
const START_LEASE: Duration = Duration::from_millis(200);
/// A reading of the endpoint's clock is used for this long: a clock that runs 2 % slow is then
/// known to 40 ms.
const CLOCK_MEMORY: Duration = Duration::from_secs(2);
/// Without an answer for this long, an endpoint's lease is no longer renewed.
const RENEW_PATIENCE: Duration = Duration::from_millis(400);
/// Added to the end of a lease on the endpoint's clock before its runs count as ended.
const LAPSE_MARGIN_MS: u64 = 40;
/// Steps by which a rejected token grows: clocks jump by seconds.
const TOKEN_STEP: u64 = 10_000;
/// An idle endpoint that has not announced itself for this long takes no tasks.
const ANNOUNCE_SILENCE: Duration = Duration::from_millis(4_500);

/// An endpoint of the agent's host.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) announced: Announcement,
    pub(super) announced_at: Instant,
    pub(super) token: u64,
    /// A moment, and the endpoint's clock then. The clock is never overestimated.
    clock: Option<(Instant, u64)>,
    /// Latest end of a lease that was sent, on the endpoint's clock.
    pub(super) lease_ms: u64,
    /// Ends up to this number were taken note of.
    pub(super) acked: u64,
    /// The number that the endpoint knows to be taken note of.
    pub(super) confirmed: u64,
    /// Number and sending time of the hold that waits for its answer.
    pub(super) hold: Option<(u64, Instant)>,
    pub(super) next_hold: Instant,
    /// When the endpoint last answered.
    pub(super) answered: Instant,
    /// When the first of the holds was sent that got no answer since the last one that did.
    pub(super) silent_since: Option<Instant>,
    /// When a call was last left unanswered, and how many were in a row.
    unanswered: Option<(Instant, u32)>,
    /// Runs that the endpoint lists and the agent did not order, and when each was last ordered
    /// to stop.
    pub(super) unknown: FastMap<(Name, u32), Option<Instant>>,
    /// Whether a listing has been seen since the agent met the endpoint.
    pub(super) listed: bool,
    /// Until when the endpoint said that it takes no work.
    pub(super) unwell_until: Option<Instant>,
    /// A run that was to be stopped still runs; the lease is not renewed until it has ended.
    pub(super) withhold: bool,
    pub(super) health: Health,
    pub(super) pace: Pace,
}

impl Endpoint {
    pub(super) fn new(now: Instant, announced: Announcement, token: u64) -> Self {
        Self {
            announced,
            announced_at: now,
            token,
            clock: None,
            lease_ms: 0,
            acked: 0,
            confirmed: 0,
            hold: None,
            next_hold: now,
            answered: now,
            silent_since: None,
            unanswered: None,
            unknown: FastMap::default(),
            listed: false,
            unwell_until: None,
            withhold: false,
            health: Health::default(),
            pace: Pace::new(now),
        }
    }

    /// Takes the endpoint's clock from an answer to a call.
    pub(super) fn note_clock(&mut self, now: Instant, clock_ms: u64) {
        self.answered = now;
        self.silent_since = None;
        if let Some((_, row)) = &mut self.unanswered {
            *row = 0;
        }
        let known = self.clock_at(now).unwrap_or(0);
        // The answer was on its way for some time, so the latest reading is the best one.
        if clock_ms >= known || known - clock_ms > 5 {
            self.clock = Some((now, clock_ms));
        }
    }

    /// Returns the endpoint's clock, which may be a little later in truth.
    pub(super) fn clock_at(&self, now: Instant) -> Option<u64> {
        let (at, clock_ms) = self.clock?;
        let passed = now.saturating_duration_since(at).as_millis() as u64;
        // A clock that is 2 % slow has seen less time pass.
        Some(clock_ms + passed * 98 / 100)
    }

    /// Returns the end of a lease that starts now.
    fn lease_from(&mut self, now: Instant, lease: Duration) -> Option<u64> {
        let end = self.clock_at(now)? + lease.as_millis() as u64;
        self.lease_ms = self.lease_ms.max(end);
        Some(end)
    }

    /// Returns the end of the lease of a start that is ordered now.
    pub(super) fn start_lease(&mut self, now: Instant) -> Option<u64> {
        self.lease_from(now, START_LEASE)
    }

    /// Reports whether every lease that was sent is over for certain.
    pub(super) fn lapsed(&self, now: Instant) -> bool {
        let clock = self.clock_at(now);
        clock.is_some_and(|clock| clock > self.lease_ms + LAPSE_MARGIN_MS)
    }

    /// Reports whether the endpoint answers, as far as calls tell.
    fn answers(&self, now: Instant) -> bool {
        let silence = |since| now.saturating_duration_since(since);
        self.silent_since
            .is_none_or(|since| silence(since) < RENEW_PATIENCE)
    }

    /// Takes note of a call that got no answer.
    pub(super) fn note_silence(&mut self, now: Instant) {
        let row = self.unanswered.map_or(0, |(_, row)| row);
        self.unanswered = Some((now, row + 1));
    }

    /// Reports whether calls were left unanswered lately, but not many in a row.
    fn unresponsive(&self, now: Instant) -> bool {
        self.unanswered.is_some_and(|(at, row)| {
            now.saturating_duration_since(at) < SILENCE_MEMORY && row <= MAX_SHORT_LIMITS
        })
    }

    /// Returns the time for the answer to an order.
    pub(super) fn limit(&self, now: Instant, order: &Command) -> Duration {
        let limit = if self.unresponsive(now) {
            SHORT_ANSWER_LIMIT
        } else {
            ANSWER_LIMIT
        };
        match order {
            Command::Poll { wait_ms, .. } => limit + Duration::from_millis(*wait_ms),
            _ => limit,
        }
    }

    /// Reports whether new tasks may be started.
    pub(super) fn takes_tasks(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.announced_at) > ANNOUNCE_SILENCE;
        let unwell = self.unwell_until.is_some_and(|until| now < until);
        !self.announced.draining
            && !silent
            && !unwell
            && self.answers(now)
            && self.listed
            && self.unknown.is_empty()
            && !self.withhold
    }

    /// Returns when the next hold is due, unless one is under way. While there is nothing to
    /// learn, it is due when the endpoint's clock is no longer known well enough for the lease of
    /// the next start.
    pub(super) fn hold_due(&self, running: bool) -> Option<Instant> {
        if self.hold.is_some() {
            return None;
        }
        let behind = self.acked != self.confirmed;
        if running || behind || !self.listed || !self.unknown.is_empty() {
            return Some(self.next_hold);
        }
        let aged = self.clock.map(|(at, _)| at + CLOCK_MEMORY);
        Some(aged.map_or(self.next_hold, |at| at.max(self.next_hold)))
    }

    /// Returns the next hold. The lease is renewed only while the endpoint answers and runs
    /// nothing that must end.
    pub(super) fn next_order(&mut self, now: Instant, running: bool) -> Command {
        let renew = running && self.answers(now) && self.unknown.is_empty() && !self.withhold;
        let expires_ms = if renew {
            self.lease_from(now, TASK_LEASE)
        } else {
            None
        };
        let wait = match (running && self.listed, self.unresponsive(now)) {
            (false, _) => Duration::ZERO,
            (true, false) => HOLD_WAIT,
            (true, true) => SHORT_HOLD_WAIT,
        };
        Command::Poll {
            expires_ms,
            acked: self.acked,
            wait_ms: wait.as_millis() as u64,
        }
    }

    /// Returns the ends that were not taken note of before, and takes note of them.
    pub(super) fn take_ends(&mut self, runs: &RunList) -> Vec<Completion> {
        let news = runs.completed.iter().filter(|e| e.sequence > self.acked);
        let news: Vec<Completion> = news.cloned().collect();
        self.acked = news.iter().map(|e| e.sequence).fold(self.acked, u64::max);
        news
    }

    /// Raises a token that the endpoint rejected.
    pub(super) fn raise_token(&mut self) {
        self.token += TOKEN_STEP;
    }
}
