//! An endpoint of the agent's host: its clock, leases, and the runs that it lists.

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

/// Longest time that a poll waits for a run to end. If its response is lost, ends become known
/// later by this time plus the response timeout.
const POLL_WAIT: Duration = Duration::from_millis(80);
/// `POLL_WAIT` at an endpoint with a recently failed call.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(20);
/// Time for an endpoint on the same host to respond, in addition to the wait of a poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// `RESPONSE_TIMEOUT` at an endpoint with a recently failed call. Responses take less than 5 ms.
const SHORT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(35);
/// How long a failed call counts as recent.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);
/// After this many failed calls in a row the long timeout applies again, since the host may be
/// slow.
const MAX_SHORT_TIMEOUTS: u32 = 2;
/// Lease requested by a start. The endpoint rejects a start that reaches it later; polls extend the
/// lease at once.
const START_LEASE: Duration = Duration::from_millis(200);
/// How long a reading of the endpoint's clock is used. A clock that runs 2 % slow is then known
/// within 40 ms.
const CLOCK_MAX_AGE: Duration = Duration::from_secs(2);
/// Leases are not renewed at an endpoint whose polls have failed for this long.
const RENEWAL_CUTOFF: Duration = Duration::from_millis(400);
/// Time that an endpoint may need to end after it has withdrawn.
pub(super) const LEAVE_TIME: Duration = Duration::from_millis(200);
/// How long an endpoint in doubt may take to answer. Longer than `TASK_LEASE`.
const DOUBT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an endpoint is kept that neither answers nor announces itself. Commands without a response
/// are void by then.
const SILENCE_RETENTION: Duration = super::LATE_EXECUTION_LIMIT;
/// Added to the end of a lease on the endpoint's clock before its runs count as ended.
const EXPIRY_MARGIN_MS: u64 = 40;
/// An idle endpoint without an announcement for this long receives no tasks.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(4_500);

/// An endpoint of the agent's host.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) announced: Announcement,
    pub(super) announced_at: Instant,
    /// A time, and the endpoint's clock at that time. The clock is never overestimated.
    clock: Option<(Instant, u64)>,
    /// Latest end of any lease that this instance may have been granted, on its clock.
    pub(super) lease_ms: u64,
    /// Highest sequence number of a completion that was processed.
    pub(super) acked: u64,
    /// Highest sequence number that the endpoint knows to be processed.
    pub(super) confirmed: u64,
    /// Id and sending time of the outstanding poll.
    pub(super) pending_poll: Option<(u64, Instant)>,
    pub(super) next_poll: Instant,
    /// When the endpoint last responded.
    pub(super) last_response: Instant,
    /// When the first of the polls was sent that have failed since the last response.
    pub(super) failing_since: Option<Instant>,
    /// Time of the last failed call, and the number of failures in a row.
    failed_calls: Option<(Instant, u32)>,
    /// Listed runs that this agent did not start, and when each was last sent a stop.
    pub(super) unknown: FastMap<(Name, u32), Option<Instant>>,
    /// Whether a listing has been received since the endpoint was announced.
    pub(super) listed: bool,
    /// Until when the endpoint receives no tasks, after it rejected one as unhealthy or replaced.
    pub(super) unavailable_until: Option<Instant>,
    /// Whether a run is still listed though it was stopped. Leases are not renewed until it has ended.
    pub(super) suspend_renewal: bool,
    /// Set while it is said to have ended, by a withdrawal or by the announcement of another instance.
    /// It is there after all if it answers a poll sent from this time on.
    pub(super) doubted: Option<Instant>,
    /// Whether another instance has responded at its address.
    pub(super) replaced: bool,
    pub(super) health: Health,
    pub(super) pace: Pace,
}

impl Endpoint {
    pub(super) fn new(now: Instant, announced: Announcement) -> Self {
        Self {
            announced,
            announced_at: now,
            clock: None,
            lease_ms: 0,
            acked: 0,
            confirmed: 0,
            pending_poll: None,
            next_poll: now,
            last_response: now,
            failing_since: None,
            failed_calls: None,
            unknown: FastMap::default(),
            listed: false,
            unavailable_until: None,
            suspend_renewal: false,
            doubted: None,
            replaced: false,
            health: Health::default(),
            pace: Pace::new(now),
        }
    }

    /// Records the endpoint's clock from a response.
    pub(super) fn update_clock(&mut self, now: Instant, clock_ms: u64) {
        self.last_response = now;
        self.failing_since = None;
        if let Some((_, streak)) = &mut self.failed_calls {
            *streak = 0;
        }
        let estimate = self.estimate_clock(now).unwrap_or(0);
        // Network delay makes readings too low, so the highest estimate is the best one. A clock
        // that went back by more than 5 ms replaces the estimate.
        if clock_ms >= estimate || estimate - clock_ms > 5 {
            self.clock = Some((now, clock_ms));
        }
    }

    /// Returns a lower bound of the endpoint's clock.
    pub(super) fn estimate_clock(&self, now: Instant) -> Option<u64> {
        let (at, clock_ms) = self.clock?;
        let passed = now.saturating_duration_since(at).as_millis() as u64;
        // The clock may run 2 % slow.
        Some(clock_ms + passed * 98 / 100)
    }

    /// Grants a lease from now on, and returns its end.
    fn grant_lease(&mut self, now: Instant, lease: Duration) -> Option<u64> {
        let end = self.estimate_clock(now)? + lease.as_millis() as u64;
        self.lease_ms = self.lease_ms.max(end);
        Some(end)
    }

    /// Grants the lease of a start, and returns its end.
    pub(super) fn start_lease_end(&mut self, now: Instant) -> Option<u64> {
        self.grant_lease(now, START_LEASE)
    }

    /// Counts the lease that calls for earlier instances with this id may have granted. They have been
    /// executed before the first listing, at which the clock was `clock_ms`, or never will be: it
    /// carried a higher fencing token.
    pub(super) fn inherit_lease(&mut self, clock_ms: u64, max_lease: Duration) {
        let end = clock_ms + max_lease.as_millis() as u64;
        self.lease_ms = self.lease_ms.max(end);
    }

    /// Reports whether every lease that this instance was granted has certainly expired.
    pub(super) fn leases_expired(&self, now: Instant) -> bool {
        let clock = self.estimate_clock(now);
        clock.is_some_and(|clock| clock > self.lease_ms + EXPIRY_MARGIN_MS)
    }

    /// Reports whether recent polls succeeded.
    fn is_responding(&self, now: Instant) -> bool {
        let silence = |since| now.saturating_duration_since(since);
        self.failing_since
            .is_none_or(|since| silence(since) < RENEWAL_CUTOFF)
    }

    /// Records a call that failed or timed out.
    pub(super) fn record_failed_call(&mut self, now: Instant) {
        let streak = self.failed_calls.map_or(0, |(_, streak)| streak);
        self.failed_calls = Some((now, streak + 1));
    }

    /// Reports whether calls failed recently, but not many in a row.
    fn recently_unresponsive(&self, now: Instant) -> bool {
        self.failed_calls.is_some_and(|(at, streak)| {
            now.saturating_duration_since(at) < FAILURE_WINDOW && streak <= MAX_SHORT_TIMEOUTS
        })
    }

    /// Returns the timeout of a command.
    pub(super) fn response_timeout(&self, now: Instant, command: &Command) -> Duration {
        let timeout = if self.recently_unresponsive(now) {
            SHORT_RESPONSE_TIMEOUT
        } else {
            RESPONSE_TIMEOUT
        };
        match command {
            Command::Poll { wait_ms, .. } => timeout + Duration::from_millis(*wait_ms),
            _ => timeout,
        }
    }

    /// Reports whether an announcement is about the id or the address of this endpoint.
    pub(super) fn is_related(&self, other: &Announcement) -> bool {
        self.announced.id == other.id || self.announced.address == other.address
    }

    /// Reports whether the endpoint no longer announces itself.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.announced_at) > ANNOUNCEMENT_TIMEOUT
    }

    /// Returns why the endpoint counts as absent, if it does.
    pub(super) fn absence(&self, now: Instant) -> Option<&'static str> {
        let since = |at: Instant| now.saturating_duration_since(at);
        let failing = self
            .failing_since
            .is_some_and(|at| since(at) > SILENCE_RETENTION);
        if self.doubted.is_some_and(|at| since(at) > DOUBT_TIMEOUT) {
            Some("it was said to have ended, and has not answered since")
        } else if !self.listed && self.is_silent(now) {
            Some("it has not answered since it was announced")
        } else if failing && self.is_silent(now) {
            Some("it neither answers nor announces itself")
        } else {
            None
        }
    }

    /// Reports whether the endpoint is there to stay, as far as it and others have said.
    pub(super) fn is_open(&self) -> bool {
        !self.announced.draining && self.doubted.is_none()
    }

    /// Ends the doubt about the endpoint if it answers a poll that was sent late enough, and returns
    /// whether it does.
    pub(super) fn confirm_presence(&mut self, sent: Instant) -> bool {
        self.doubted.take_if(|at| sent >= *at).is_some()
    }

    /// Reports whether new tasks may be started.
    pub(super) fn accepts_tasks(&self, now: Instant) -> bool {
        let unavailable = self.unavailable_until.is_some_and(|until| now < until);
        self.is_open()
            && !self.is_silent(now)
            && !unavailable
            && self.is_responding(now)
            && self.listed
            && self.unknown.is_empty()
            && !self.suspend_renewal
    }

    /// Returns when the next poll is due, unless one is outstanding. At an idle endpoint it is due
    /// when the clock reading becomes too old for the lease of the next start.
    pub(super) fn next_poll_due(&self, running: bool) -> Option<Instant> {
        if self.pending_poll.is_some() {
            return None;
        }
        let behind = self.acked != self.confirmed;
        let open = self.listed && self.doubted.is_none() && self.unknown.is_empty();
        if running || behind || !open {
            return Some(self.next_poll);
        }
        let aged = self.clock.map(|(at, _)| at + CLOCK_MAX_AGE);
        Some(aged.map_or(self.next_poll, |at| at.max(self.next_poll)))
    }

    /// Returns the next poll. It renews the lease, at most until `limit`, only if the endpoint
    /// responds and has no run that must end. Without runs there is no limit and no lease.
    ///
    /// If another instance may execute the poll, `shared` is true, and it neither renews the lease nor
    /// acknowledges completions.
    pub(super) fn next_poll_command(
        &mut self,
        now: Instant,
        limit: Option<Instant>,
        shared: bool,
    ) -> Command {
        let running = limit.is_some();
        let renew = self.is_responding(now) && self.unknown.is_empty() && !self.suspend_renewal;
        let limit = limit.filter(|at| renew && !shared && *at > now);
        let lease = limit.map(|at| TASK_LEASE.min(at - now));
        let expires_ms = lease.and_then(|lease| self.grant_lease(now, lease));
        let may_wait = running && self.listed && self.doubted.is_none();
        let wait = match (may_wait, self.recently_unresponsive(now)) {
            (false, _) => Duration::ZERO,
            (true, false) => POLL_WAIT,
            (true, true) => SHORT_POLL_WAIT,
        };
        Command::Poll {
            expires_ms,
            acked: self.acknowledged(shared),
            wait_ms: wait.as_millis() as u64,
        }
    }

    /// Returns the sequence number up to which a poll acknowledges completions. If another instance may
    /// execute the poll, it must not forget its own.
    pub(super) fn acknowledged(&self, shared: bool) -> u64 {
        if shared { 0 } else { self.acked }
    }

    /// Returns the completions that were not processed before, and marks them as processed.
    pub(super) fn take_completions(&mut self, runs: &RunList) -> Vec<Completion> {
        let new = runs.completed.iter().filter(|e| e.sequence > self.acked);
        let new: Vec<Completion> = new.cloned().collect();
        self.acked = new.iter().map(|e| e.sequence).fold(self.acked, u64::max);
        new
    }
}
