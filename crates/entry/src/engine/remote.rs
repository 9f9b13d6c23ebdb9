//! Jobs of other entries, and requests of other entries about jobs of this one.

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

use crate::answer::Answer;
use crate::answer::Ran;
use crate::engine::Caller;
use crate::engine::Engine;
use crate::engine::LinkPeer;
use crate::engine::Request;
use crate::engine::Submit;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::engine::submit::conflict;

/// Pause between questions to control about a job whose owner cannot be reached.
const OWNER_RETRY: Duration = Duration::from_millis(500);
/// Longest wait of one question to the owner. Control is asked in between, since an owner that
/// lost its lease still answers that the job runs, but can never finish it.
const ATTACH_WAIT: Duration = Duration::from_secs(3);
/// Time for other entries to say whether they own a job, beyond the caller's wait.
const SEARCH_LIMIT: Duration = Duration::from_secs(1);

/// A question to all other entries about a job that this one does not know.
#[derive(Debug)]
pub(super) struct Search {
    key: JobKey,
    open: usize,
    until: Instant,
    /// Whether every other entry could be asked.
    whole: bool,
}

impl Engine {
    /// Attaches to the owner of a job, or replaces it when control says that it is not alive.
    pub(super) fn owned_elsewhere(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        self.release_all(job);
        self.drop_waiting(job);
        job.fresh = false;
        let Ok(owner) = NodeRef::try_from(reply.owner.clone()) else {
            return;
        };
        if !reply.owner_alive {
            self.claim(now, job, reply.epoch);
            return;
        }
        job.phase = Phase::Remote {
            owner,
            attach: None,
            retry: now + OWNER_RETRY,
        };
        self.ask_owner(now, job);
    }

    /// Fetches the answer of a complete job from its owner, or its results from the agents.
    pub(super) fn fetch(&mut self, now: Instant, job: &mut Job, reply: &ClaimReply) {
        self.drop_waiting(job);
        job.fresh = false;
        let owner = NodeRef::try_from(reply.owner.clone()).ok();
        if let Some(owner) = owner.filter(|o| self.entry_link(o).is_some() && !job.asked_owner) {
            job.asked_owner = true;
            job.phase = Phase::Remote {
                owner,
                attach: None,
                retry: now + OWNER_RETRY,
            };
            self.ask_owner(now, job);
        } else {
            self.gather(now, job, reply);
        }
    }

    fn ask_owner(&mut self, now: Instant, job: &mut Job) {
        let Phase::Remote { owner, attach, .. } = &job.phase else {
            return;
        };
        let Some(link) = self.entry_link(owner).filter(|_| attach.is_none()) else {
            return;
        };
        let last = job.waiters.iter().map(|w| w.until).max().unwrap_or(now);
        let wait = last.saturating_duration_since(now).min(ATTACH_WAIT);
        let body = Attach {
            key: Some((&job.key).into()),
            digest: Bytes::copy_from_slice(job.digest.as_bytes()),
            wait_ms: wait.as_millis() as u64,
            cancel: job.cancelled,
        };
        let id = self.number();
        self.requests
            .insert(id, Request::Attach(job.key.clone(), link));
        self.send_frame(link, id, false, Body::Attach(body));
        if let Phase::Remote { attach, .. } = &mut job.phase {
            *attach = Some((link, id));
        }
    }

    /// Asks the owner again, or control when the owner cannot be reached.
    pub(super) fn retry_remote(&mut self, now: Instant, job: &mut Job) {
        let Phase::Remote {
            owner,
            attach: None,
            retry,
            ..
        } = &job.phase
        else {
            return;
        };
        if job.waiters.is_empty() {
            job.ended = true;
        } else if now >= *retry {
            // The owner may have changed or ended since; control knows.
            let known = self.entry_link(owner).is_some();
            metrics::counter!("entry_owner_retries", "linked" => known.to_string()).increment(1);
            self.claim(now, job, 0);
        }
    }

    pub(super) fn entry_down(&mut self, link: u64) {
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

    pub(super) fn attach_reply(&mut self, now: Instant, id: u64, reply: AttachReply) {
        match self.requests.remove(&id) {
            Some(Request::Attach(key, _)) => {
                self.with_job(&key, |engine, job| {
                    engine.owner_reply(now, job, id, reply);
                });
            }
            Some(Request::Search(key, caller)) => self.search_reply(&key, caller, reply),
            Some(other) => {
                self.requests.insert(id, other);
            }
            None => {}
        }
    }

    fn owner_reply(&mut self, now: Instant, job: &mut Job, id: u64, reply: AttachReply) {
        let Phase::Remote { attach, retry, .. } = &mut job.phase else {
            return;
        };
        if !attach.is_some_and(|(_, i)| i == id) {
            return;
        }
        match reply.kind() {
            Kind::Answer => {
                let answer = Answer {
                    status: reply.status as u16,
                    body: reply.body,
                };
                self.refuse_claim(job, &answer);
            }
            Kind::Running => {
                self.expire_now(now, job);
                if let Phase::Remote { attach, retry, .. } = &mut job.phase {
                    *attach = None;
                    *retry = now;
                }
            }
            Kind::Conflict => self.refuse_claim(job, &conflict()),
            Kind::Unknown | Kind::Unspecified => {
                *attach = None;
                *retry = now + OWNER_RETRY;
                if job.asked_owner {
                    // A complete job whose owner no longer holds the answer.
                    *retry = now;
                }
            }
        }
    }

    /// Answers the callers whose time is over while the owner says that the job runs.
    fn expire_now(&mut self, now: Instant, job: &mut Job) {
        let waiters = std::mem::take(&mut job.waiters);
        for waiter in waiters {
            if now >= waiter.until {
                self.answer(waiter.caller, Answer::running());
            } else {
                job.waiters.push(waiter);
            }
        }
        if job.waiters.is_empty() {
            job.ended = true;
        }
    }

    /// Takes another entry's request about a job of this one.
    pub(super) fn attach(&mut self, now: Instant, link: u64, request: u64, attach: Attach) {
        let caller = Caller::Peer { link, request };
        let Ok(key) = JobKey::try_from(attach.key) else {
            return self.attach_kind(link, request, Kind::Unknown);
        };
        let same = |digest: &Digest| {
            attach.digest.is_empty() || attach.digest.as_ref() == digest.as_bytes().as_slice()
        };
        if let Some(done) = self.done.get(&key) {
            if same(&done.digest) {
                let answer = done.answer.clone();
                self.answer(caller, answer);
            } else {
                self.attach_kind(link, request, Kind::Conflict);
            }
            return;
        }
        let owned = |job: &Job| {
            !matches!(job.phase, Phase::Remote { .. } | Phase::Gathering { .. })
                && (job.fresh || job.epoch > 0)
        };
        match self.jobs.get_mut(&key) {
            Some(job) if !same(&job.digest) => self.attach_kind(link, request, Kind::Conflict),
            Some(job) if owned(job) => {
                job.wait_until(caller, now + Duration::from_millis(attach.wait_ms));
                if attach.cancel {
                    self.cancel(now, &key);
                }
            }
            _ => self.attach_kind(link, request, Kind::Unknown),
        }
    }

    fn attach_kind(&mut self, link: u64, request: u64, kind: Kind) {
        let reply = AttachReply {
            kind: kind.into(),
            ..AttachReply::default()
        };
        self.send_frame(link, request, true, Body::AttachReply(reply));
    }

    /// Takes a query or a cancellation of a caller.
    pub(super) fn query(&mut self, now: Instant, query: Submit, cancel: bool) {
        let Submit {
            caller, key, wait, ..
        } = query;
        if let Err(answer) = self.authorize(&key.team, &query.token) {
            return self.answer(caller, answer);
        }
        if let Some(done) = self.done.get(&key) {
            let answer = done.answer.clone();
            return self.answer(caller, answer);
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            job.wait_until(caller, now + wait);
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
                engine.ask_owner(now, job);
            }
        });
    }

    /// Asks all other entries about a job.
    fn search(&mut self, now: Instant, caller: Caller, key: &JobKey, wait: Duration, cancel: bool) {
        let peers: Vec<NodeRef> = self
            .entries
            .values()
            .map(|(node, _)| node.clone())
            .collect();
        let links: Vec<u64> = peers.iter().filter_map(|n| self.entry_link(n)).collect();
        let mut search = Search {
            key: key.clone(),
            open: 0,
            until: now + wait + SEARCH_LIMIT,
            whole: links.len() == peers.len(),
        };
        for link in links {
            let id = self.number();
            self.requests
                .insert(id, Request::Search(key.clone(), caller));
            let attach = Attach {
                key: Some(key.into()),
                digest: Bytes::new(),
                wait_ms: wait.as_millis() as u64,
                cancel,
            };
            self.send_frame(link, id, false, Body::Attach(attach));
            search.open += 1;
        }
        if search.open == 0 {
            self.answer(caller, not_found(search.whole));
        } else {
            self.searches.insert(caller, search);
        }
    }

    fn search_reply(&mut self, key: &JobKey, caller: Caller, reply: AttachReply) {
        let Some(search) = self.searches.get_mut(&caller).filter(|s| s.key == *key) else {
            return;
        };
        search.open -= 1;
        let answer = match reply.kind() {
            Kind::Answer => Answer {
                status: reply.status as u16,
                body: reply.body,
            },
            Kind::Running => Answer::running(),
            _ if search.open == 0 => not_found(search.whole),
            _ => return,
        };
        self.searches.remove(&caller);
        self.answer(caller, answer);
    }

    pub(super) fn expire_searches(&mut self, now: Instant) {
        let over: Vec<Caller> = self
            .searches
            .iter()
            .filter(|(_, s)| now >= s.until)
            .map(|(caller, _)| *caller)
            .collect();
        for caller in over {
            self.searches.remove(&caller);
            self.answer(caller, not_found(false));
        }
        if self.searches.is_empty() {
            let links = &self.links;
            let stale = |about: &Request| match about {
                Request::Search(..) => true,
                Request::Attach(_, link) => !matches!(links.get(link), Some(LinkPeer::Entry(_))),
                _ => false,
            };
            self.requests.retain(|_, about| !stale(about));
        }
    }
}

/// `whole` tells whether every other entry was asked.
fn not_found(whole: bool) -> Answer {
    if whole {
        Answer::refusal(404, "not_found", Ran::Unknown, "no entry knows this job")
    } else {
        Answer::unknown("not every entry could be asked")
    }
}
