//! Jobs owned by other entries, and requests from other entries about jobs of this one.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use sassafras_util::Digest;
use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Attach;
use sassafras_wire::proto::AttachReply;
use sassafras_wire::proto::ClaimReply;
use sassafras_wire::proto::attach_reply::Kind;

use crate::engine::Caller;
use crate::engine::Engine;
use crate::engine::JobRequest;
use crate::engine::LinkPeer;
use crate::engine::Pending;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::response::Ran;
use crate::response::Response;

/// Delay before control is asked again for the owner of a job when the owner is unreachable.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait of one request to the owner. Control is asked in between, since an owner that
/// lost its lease still reports the job as running but cannot record its outcome.
const MAX_ATTACH_WAIT: Duration = Duration::from_secs(3);
/// Time beyond the caller's wait in which other entries may reply to a search.
const SEARCH_GRACE: Duration = Duration::from_secs(1);

/// A query to all other entries about a job that this one does not know.
#[derive(Debug)]
pub(super) struct Search {
    key: JobKey,
    remaining: usize,
    until: Instant,
    /// Whether the query was sent to every other entry.
    all_asked: bool,
}

impl Engine {
    /// Attaches to the owner of a job, or takes the job over if control reports the owner as dead.
    pub(super) fn follow_owner(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        self.release_all(job);
        self.clear_pending(job);
        job.first_claim = false;
        let Ok(owner) = NodeRef::try_from(reply.owner.clone()) else {
            let response = Response::unknown("the owner of the job is not readable");
            self.close_unowned(job, &response);
            return;
        };
        if !reply.owner_alive {
            self.claim(now, job, reply.epoch);
            return;
        }
        job.phase = Phase::Remote {
            owner,
            attach: None,
            retry_at: now + OWNER_RETRY_DELAY,
        };
        self.attach_to_owner(now, job);
    }

    /// Fetches the response of a complete job from its owner, or else its results from the agents.
    pub(super) fn fetch_results(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        self.clear_pending(job);
        job.first_claim = false;
        let owner = NodeRef::try_from(reply.owner.clone()).ok();
        if let Some(owner) = owner.filter(|o| self.entry_link(o).is_some() && !job.owner_asked) {
            job.owner_asked = true;
            job.phase = Phase::Remote {
                owner,
                attach: None,
                retry_at: now + OWNER_RETRY_DELAY,
            };
            self.attach_to_owner(now, job);
        } else {
            self.gather_results(now, job, reply);
        }
    }

    fn attach_to_owner(&mut self, now: Instant, job: &mut Job) {
        let Phase::Remote { owner, attach, .. } = &job.phase else {
            return;
        };
        let Some(link) = self.entry_link(owner).filter(|_| attach.is_none()) else {
            return;
        };
        let until = job.waiters.iter().map(|w| w.until).max().unwrap_or(now);
        let wait = until.saturating_duration_since(now).min(MAX_ATTACH_WAIT);
        let body = Attach {
            key: Some((&job.key).into()),
            digest: Bytes::copy_from_slice(job.digest.as_bytes()),
            wait_ms: wait.as_millis() as u64,
            cancel: job.cancelled,
        };
        let id = self.next_id();
        self.pending
            .insert(id, Pending::Attach(job.key.clone(), link));
        self.send_frame(link, id, false, Body::Attach(body));
        if let Phase::Remote { attach, .. } = &mut job.phase {
            *attach = Some((link, id));
        }
    }

    /// Claims a job again after the retry delay, to learn its current owner or outcome; ends it
    /// if no caller waits.
    pub(super) fn retry_owner(&mut self, now: Instant, job: &mut Job) {
        let Phase::Remote {
            owner,
            attach: None,
            retry_at,
            ..
        } = &job.phase
        else {
            return;
        };
        if job.waiters.is_empty() {
            job.ended = true;
        } else if now >= *retry_at {
            // The owner or the outcome may have changed; control has the current record.
            let linked = self.entry_link(owner).is_some();
            metrics::counter!("entry_owner_retries", "linked" => linked.to_string()).increment(1);
            self.claim(now, job, 0);
        }
    }

    pub(super) fn entry_link_down(&mut self, link: u64) {
        for key in self.job_keys() {
            self.with_job(&key, |_, job| {
                if let Phase::Remote { attach, .. } = &mut job.phase
                    && attach.is_some_and(|(l, _)| l == link)
                {
                    *attach = None;
                }
            });
        }
    }

    pub(super) fn handle_attach_reply(&mut self, now: Instant, id: u64, reply: AttachReply) {
        match self.pending.remove(&id) {
            Some(Pending::Attach(key, _)) => {
                self.with_job(&key, |engine, job| {
                    engine.owner_reply(now, job, id, reply);
                });
            }
            Some(Pending::Search(key, caller)) => self.search_reply(&key, caller, reply),
            Some(other) => {
                self.pending.insert(id, other);
            }
            None => {}
        }
    }

    fn owner_reply(&mut self, now: Instant, job: &mut Job, id: u64, reply: AttachReply) {
        let Phase::Remote {
            attach, retry_at, ..
        } = &mut job.phase
        else {
            return;
        };
        if !attach.is_some_and(|(_, i)| i == id) {
            return;
        }
        match reply.kind() {
            Kind::Answer => {
                let response = Response {
                    status: reply.status as u16,
                    body: reply.body,
                };
                self.close_unowned(job, &response);
            }
            Kind::Running => {
                self.expire_due_waiters(now, job);
                if let Phase::Remote {
                    attach, retry_at, ..
                } = &mut job.phase
                {
                    *attach = None;
                    *retry_at = now;
                }
            }
            Kind::Conflict => self.close_conflict(job),
            Kind::Unknown | Kind::Unspecified => {
                *attach = None;
                *retry_at = now + OWNER_RETRY_DELAY;
                if job.owner_asked {
                    // The owner of a complete job no longer retains the response.
                    *retry_at = now;
                }
            }
        }
    }

    /// Responds to the callers whose wait is over while the owner reports the job as running.
    fn expire_due_waiters(&mut self, now: Instant, job: &mut Job) {
        let waiters = std::mem::take(&mut job.waiters);
        for waiter in waiters {
            if now >= waiter.until {
                self.respond(waiter.caller, Response::running());
            } else {
                job.waiters.push(waiter);
            }
        }
        if job.waiters.is_empty() {
            job.ended = true;
        }
    }

    /// Handles a request from another entry about a job that this entry may own.
    pub(super) fn handle_attach(&mut self, now: Instant, link: u64, request: u64, attach: Attach) {
        let caller = Caller::Peer { link, request };
        let Ok(key) = JobKey::try_from(attach.key) else {
            return self.send_attach_reply(link, request, Kind::Unknown);
        };
        let same_digest = |digest: &Digest| {
            attach.digest.is_empty() || attach.digest.as_ref() == digest.as_bytes().as_slice()
        };
        if let Some(job) = self.finished.get(&key) {
            if same_digest(&job.digest) {
                let response = job.response.clone();
                self.respond(caller, response);
            } else {
                self.send_attach_reply(link, request, Kind::Conflict);
            }
            return;
        }
        let owned = |job: &Job| {
            !matches!(job.phase, Phase::Remote { .. } | Phase::Gathering { .. })
                && (job.first_claim || job.epoch > 0)
        };
        match self.jobs.get_mut(&key) {
            Some(job) if !same_digest(&job.digest) && job.is_claimed() => {
                self.send_attach_reply(link, request, Kind::Conflict);
            }
            Some(job) if same_digest(&job.digest) && owned(job) => {
                let until = now + Duration::from_millis(attach.wait_ms);
                job.add_waiter(caller, until, !attach.digest.is_empty());
                if attach.cancel {
                    self.cancel(now, &key);
                }
            }
            _ => self.send_attach_reply(link, request, Kind::Unknown),
        }
    }

    fn send_attach_reply(&mut self, link: u64, request: u64, kind: Kind) {
        let reply = AttachReply {
            kind: kind.into(),
            ..AttachReply::default()
        };
        self.send_frame(link, request, true, Body::AttachReply(reply));
    }

    /// Handles a query or, with `cancel`, a cancellation from a caller.
    pub(super) fn query_or_cancel(&mut self, now: Instant, request: JobRequest, cancel: bool) {
        let JobRequest {
            caller, key, wait, ..
        } = request;
        if let Err(response) = self.authorize(&key.team, &request.token) {
            return self.respond(caller, response);
        }
        if let Some(job) = self.finished.get(&key) {
            let response = job.response.clone();
            return self.respond(caller, response);
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            job.add_waiter(caller, now + wait, false);
            if cancel {
                self.cancel(now, &key);
            }
            return;
        }
        self.search(now, caller, &key, wait, cancel);
    }

    fn cancel(&mut self, now: Instant, key: &JobKey) {
        self.with_job(key, |engine, job| {
            job.cancelled = true;
            engine.fail(now, job, "cancelled");
            if let Phase::Remote { attach, .. } = &mut job.phase {
                *attach = None;
                engine.attach_to_owner(now, job);
            }
        });
    }

    /// Queries all other entries about a job.
    fn search(&mut self, now: Instant, caller: Caller, key: &JobKey, wait: Duration, cancel: bool) {
        let peers: Vec<NodeRef> = self
            .entries
            .values()
            .map(|(node, _)| node.clone())
            .collect();
        let links: Vec<u64> = peers.iter().filter_map(|n| self.entry_link(n)).collect();
        let mut search = Search {
            key: key.clone(),
            remaining: 0,
            until: now + wait + SEARCH_GRACE,
            all_asked: links.len() == peers.len(),
        };
        for link in links {
            let id = self.next_id();
            self.pending
                .insert(id, Pending::Search(key.clone(), caller));
            let attach = Attach {
                key: Some(key.into()),
                digest: Bytes::new(),
                wait_ms: wait.as_millis() as u64,
                cancel,
            };
            self.send_frame(link, id, false, Body::Attach(attach));
            search.remaining += 1;
        }
        if search.remaining == 0 {
            self.respond(caller, not_found(search.all_asked));
        } else {
            self.searches.insert(caller, search);
        }
    }

    fn search_reply(&mut self, key: &JobKey, caller: Caller, reply: AttachReply) {
        let Some(search) = self.searches.get_mut(&caller).filter(|s| s.key == *key) else {
            return;
        };
        search.remaining -= 1;
        let response = match reply.kind() {
            Kind::Answer => Response {
                status: reply.status as u16,
                body: reply.body,
            },
            Kind::Running => Response::running(),
            _ if search.remaining == 0 => not_found(search.all_asked),
            _ => return,
        };
        self.searches.remove(&caller);
        self.respond(caller, response);
    }

    pub(super) fn expire_searches(&mut self, now: Instant) {
        let expired: Vec<Caller> = self
            .searches
            .iter()
            .filter(|(_, s)| now >= s.until)
            .map(|(caller, _)| *caller)
            .collect();
        for caller in expired {
            self.searches.remove(&caller);
            self.respond(caller, not_found(false));
        }
        if self.searches.is_empty() {
            let links = &self.links;
            let stale = |subject: &Pending| match subject {
                Pending::Search(..) => true,
                Pending::Attach(_, link) => !matches!(links.get(link), Some(LinkPeer::Entry(_))),
                _ => false,
            };
            self.pending.retain(|_, subject| !stale(subject));
        }
    }
}

/// Returns the response for a job that no queried entry has; `all_asked` tells whether every
/// other entry was queried.
fn not_found(all_asked: bool) -> Response {
    if all_asked {
        Response::rejected(404, "not_found", Ran::Unknown, "no entry has this job")
    } else {
        Response::unknown("not all entries could be queried")
    }
}
