//! Plays one case of the review: `standin-3 CASE RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod cluster;
mod http;
mod json;
mod proxy;
mod record;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use cluster::Cluster;
use cluster::HOST;
use cluster::PREFIX;
use cluster::SIGKILL;
use cluster::entry;
use cluster::manifest;
use json::Json;
use record::Record;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(100);
/// Bounds of the small deployments.
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const RETRY_DELAY_MS: u64 = 1_300;

type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    cluster::watch(LIMIT);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    record.note(&format!("case {case}, disruption: {trouble}"));
    let verdict = match case.as_str() {
        "restarted-entry" => restarted_entry(&record, trouble),
        "cut-owner" => cut_owner(&record, trouble),
        "cut-receiver" => cut_receiver(&record, trouble),
        "same-place" => same_place(&record, trouble),
        "unreadable" => unreadable(&record, trouble),
        _ => Err("unknown case".into()),
    };
    match verdict {
        Ok(true) => {
            record.note("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.note("verdict: the rule was BROKEN");
            ExitCode::from(1)
        }
        Err(e) => {
            record.note(&format!("verdict: the case could not run: {e}"));
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}

/// Body of a best-effort job with one task a step, each step after the one before. `times` holds the
/// run time of each step, in milliseconds.
fn chain(times: &[u64]) -> String {
    let phases = times.iter().enumerate().map(|(n, ms)| {
        let after = if n > 0 { format!(",\"after\":[{}]", n - 1) } else { String::new() };
        format!("{{\"count\":1,\"cpu\":1000,\"memMb\":64,\"estimateMs\":{ms}{after}}}")
    });
    let phases: Vec<String> = phases.collect();
    let spec: Vec<String> = times.iter().map(u64::to_string).collect();
    format!(
        "{{\"spec\":\"ms:{}\",\"bestEffort\":true,\"phases\":[{}]}}",
        spec.join(","),
        phases.join(",")
    )
}

/// Waits until a task of the job has started, at most 5 s.
fn wait_start(record: &Record, job: &str) -> Result<(), String> {
    for _ in 0..500 {
        if !record.starts(job).is_empty() {
            return Ok(());
        }
        sleep(Duration::from_millis(10));
    }
    Err(format!("job {job} has not started"))
}

/// UNASKED: no machine in touch starts a task of the job later than `cancel_ms` after the
/// cancellation was acknowledged. `in_touch` is the time from which all machines are in touch.
fn stays_cancelled(record: &Record, job: &str, acked: u64, in_touch: u64) -> bool {
    let limit = (acked + CANCEL_MS).max(in_touch);
    let late = record.starts(job).into_iter().filter(|s| s.at_ms > limit);
    let late: Vec<_> = late.collect();
    for start in &late {
        let after = start.at_ms - acked;
        record.note(&format!(
            "UNASKED: {} started {} (attempt {}) {after} ms after the cancellation was acknowledged",
            start.worker, start.task, start.attempt
        ));
    }
    late.is_empty()
}

/// An entry is killed and started again after it has acknowledged a cancellation. A copy of the
/// submission arrives there some seconds later.
fn restarted_entry(record: &Record, trouble: bool) -> Verdict {
    let mut cluster = Cluster::start(record)?;
    let (job, front) = ("7f00000000000011", 4);
    let body = chain(&[900]);
    let budget = Duration::from_millis(1_500);
    let first = cluster.request_later(front, ("POST", HOST), job, &body, budget);
    wait_start(record, job)?;
    sleep(Duration::from_millis(500));
    let answer = cluster.request(front, "DELETE", job, "", Duration::from_secs(2));
    if answer.is_none_or(|s| s / 100 != 2) {
        return Err("the cancellation was not acknowledged".into());
    }
    let acked = record.now();
    let first = first.join().map_err(|_| "client failed")?;
    if first != Some(200) {
        return Err(format!("the submission was answered with {first:?}"));
    }
    if trouble {
        cluster.signal(&entry(front), SIGKILL);
        cluster.wait_end(&entry(front))?;
        sleep(Duration::from_millis(500));
        cluster.spawn(&entry(front))?;
    }
    let in_touch = record.now() + CONTACT_MS;
    sleep(Duration::from_millis(CONTACT_MS + 500));
    if !cluster.is_ready(front) {
        return Err("the entry is not ready again".into());
    }
    record.note("a copy of the submission arrives late");
    let copy = cluster.request_later(front, ("POST", HOST), job, &body, budget);
    let _ = copy.join();
    Ok(stays_cancelled(record, job, acked, in_touch))
}

/// The machine whose entry has the job is cut off from all other machines of the system. The client
/// cancels the job at another entry meanwhile.
fn cut_owner(record: &Record, trouble: bool) -> Verdict {
    let cluster = Cluster::start(record)?;
    let (job, owner, other) = ("7f00000000000012", 4, 2);
    let body = chain(&[800; 14]);
    let first = cluster.request_later(owner, ("POST", HOST), job, &body, Duration::from_secs(30));
    wait_start(record, job)?;
    sleep(Duration::from_millis(300));
    if trouble {
        cluster.cut(&entry(owner));
    }
    sleep(Duration::from_secs(3));
    if trouble && cluster.is_ready(owner) {
        record.note("the entry that is cut off still reports that it is ready");
    }
    let answer = cluster.request(other, "DELETE", job, "", Duration::from_secs(2));
    if answer.is_none_or(|s| s / 100 != 2) {
        return Err("the cancellation was not acknowledged".into());
    }
    let acked = record.now();
    sleep(Duration::from_millis(2_400));
    cluster.heal(&entry(owner));
    let in_touch = if trouble { record.now() + CONTACT_MS } else { 0 };
    sleep(Duration::from_secs(9));
    drop(first);
    Ok(stays_cancelled(record, job, acked, in_touch))
}

/// A machine is cut off from all other machines of the system, and its entry still gets requests. The
/// client cancels a job there that another entry has, which is never disturbed: the client's first
/// connection broke, and its retry reached that other entry.
fn cut_receiver(record: &Record, trouble: bool) -> Verdict {
    let cluster = Cluster::start(record)?;
    let (job, owner, receiver) = ("7f00000000000013", 2, 4);
    let body = chain(&[800; 9]);
    record.note("the client's connection breaks after 300 ms");
    let broken = cluster.break_off(receiver, job, &body, Duration::from_millis(300));
    if broken.is_some() {
        return Err("the first submission was answered".into());
    }
    sleep(Duration::from_millis(RETRY_DELAY_MS));
    let before = record.starts(job).len();
    let first = cluster.request_later(owner, ("POST", HOST), job, &body, Duration::from_secs(30));
    while record.starts(job).len() == before {
        sleep(Duration::from_millis(10));
    }
    if trouble {
        cluster.cut(&entry(receiver));
    }
    sleep(Duration::from_millis(1_200));
    let answer = cluster.request(receiver, "DELETE", job, "", Duration::from_secs(2));
    if answer.is_none_or(|status| status / 100 != 2 && status != 410) {
        record.note("the cancellation was not acknowledged");
        return Ok(true);
    }
    let acked = record.now();
    sleep(Duration::from_millis(4_200));
    cluster.heal(&entry(receiver));
    sleep(Duration::from_secs(4));
    drop(first);
    Ok(stays_cancelled(record, job, acked, 0))
}

/// The operator sends a manifest with a second route at the same place as the first: the same path
/// prefix, and a host that differs in the case of its letters only. Without the disruption the second
/// route has a host of its own.
fn same_place(record: &Record, trouble: bool) -> Verdict {
    let cluster = Cluster::start(record)?;
    let host = if trouble { "Queue.Example" } else { "other.example" };
    let routes = [("r-1", HOST, PREFIX, "svc1"), ("r-2", host, PREFIX, "svc2")];
    let status = cluster.put_config(2, "version 6 with r-2 beside r-1", manifest(6, &routes).as_bytes());
    if status.is_some_and(|s| s / 100 == 4) {
        record.note("the manifest was refused");
        return Ok(true);
    }
    if status != Some(200) {
        return Err(format!("the manifest got {status:?}"));
    }
    sleep(Duration::from_millis(CONFIG_APPLY_MS + 500));
    let mut wrong = 0;
    for (front, job) in [(1, "7f00000000000014"), (3, "7f00000000000015")] {
        let wait = Duration::from_secs(3);
        let answer = cluster.request_later(front, ("POST", host), job, &chain(&[100]), wait);
        let _ = answer.join();
        for start in record.starts(job) {
            let found = cluster.workers.iter().find(|w| w.id == start.worker);
            let service = found.map_or("none", |w| w.service.as_str());
            record.note(&format!("{} was started on {}, a worker of {service}", start.task, start.worker));
            if service != "svc2" {
                record.note("ROUTE: the manifest sends this queue to svc2 only");
                wrong += 1;
            }
        }
    }
    if trouble {
        record.note("CONFIG: a manifest with two routes at the same host and prefix was acknowledged");
    }
    Ok(wrong == 0)
}

/// The operator sends a manifest with a byte that is no text, in a field of a service. Without the
/// disruption the byte is a letter.
fn unreadable(record: &Record, trouble: bool) -> Verdict {
    let cluster = Cluster::start(record)?;
    let mut bytes = manifest(6, &[("r-1", HOST, PREFIX, "svc1")]).into_bytes();
    let place = bytes.windows(7).position(|w| w == b"/health").ok_or("no such field")?;
    if trouble {
        bytes[place + 3] = 0xff;
    }
    let status = cluster.put_config(2, "version 6", &bytes);
    if status.is_some_and(|s| s / 100 == 4) {
        record.note("the manifest was refused");
        return Ok(!trouble || held(&cluster, record) == Some(3));
    }
    if status != Some(200) {
        return Err(format!("the manifest got {status:?}"));
    }
    sleep(Duration::from_millis(CONFIG_APPLY_MS + 500));
    let version = held(&cluster, record);
    if trouble {
        record.note("CONFIG: a manifest that cannot be read in full was acknowledged");
        return Ok(false);
    }
    Ok(version == Some(6))
}

/// Reads the manifest back, and returns its version if it can be read.
fn held(cluster: &Cluster, record: &Record) -> Option<u64> {
    let answer = cluster.get_config(1)?;
    let version = Json::parse(&answer.body).and_then(|m| m.number("version"));
    let text = match version {
        Some(version) => format!("version {version}"),
        None => format!("{} bytes that cannot be read", answer.bytes.len()),
    };
    record.note(&format!("operator reads the manifest back: {} {text}", answer.status()));
    version
}
