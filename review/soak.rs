//! Random disruptions, to look for faults. Not part of a case: `standin soak FOLDER SEED` runs for
//! 65 s, and writes what happened to the folder. With `LATE=1` the workers leave one order in twelve
//! unanswered and execute it at once or seconds later; with `OVERLAP=1` two disruptions may overlap.

use super::*;
use std::collections::HashSet;

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

#[derive(Clone)]
struct Phase {
    count: u64,
    cpu: u64,
    limit: u64,
    label: Option<&'static str>,
    after: Vec<usize>,
}

struct Job {
    phases: Vec<Phase>,
    /// Statuses of the attempts; 0 for no response.
    statuses: Vec<u16>,
    cancelled: Option<u64>,
}

const CPU: u64 = 8_000;
const CLIENTS: u64 = 10;

fn client(
    cluster: &Cluster,
    jobs: &Mutex<HashMap<String, Job>>,
    mut rng: Rng,
    end: Instant,
    salt: u64,
) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{salt:04x}{:012x}", number);
        let steps = 1 + rng.below(4) as usize;
        let work = 40 + rng.below(800);
        let phases: Vec<Phase> = (0..steps)
            .map(|n| Phase {
                count: 1 + rng.below(5),
                cpu: 400 + rng.below(2_000),
                limit: rng.below(4).saturating_sub(1),
                label: [None, Some("a"), Some("b")][rng.below(3) as usize],
                after: (0..n).filter(|_| rng.below(3) > 0).collect(),
            })
            .collect();
        let rows: Vec<String> = phases
            .iter()
            .map(|p| {
                let mut row = format!(
                    "{{\"count\":{},\"cpu\":{},\"memMb\":64,\"estimateMs\":{work}",
                    p.count, p.cpu
                );
                if p.limit > 0 {
                    row += &format!(",\"maxPerServer\":{}", p.limit);
                }
                if let Some(label) = p.label {
                    row += &format!(",\"requiredLabel\":\"{label}\"");
                }
                if !p.after.is_empty() {
                    row += &format!(",\"after\":{:?}", p.after);
                }
                row + "}"
            })
            .collect();
        let body = format!(
            "{{\"spec\":\"{work}\",\"phases\":[{}],\"bestEffort\":true}}",
            rows.join(",")
        );
        let job = Job {
            phases,
            statuses: Vec::new(),
            cancelled: None,
        };
        jobs.lock().unwrap().insert(id.clone(), job);
        let cancel_after = (rng.below(6) == 0).then(|| rng.below(1_200));
        let deadline = 1_500 + rng.below(5_000);
        let mut edge = 1 + rng.below(EDGES as u64) as usize;
        for _ in 0..3 {
            let cancelled = thread::scope(|s| {
                let post = s.spawn(|| cluster.submit(edge, &id, &body, deadline));
                let mut cancelled = None;
                if let Some(after) = cancel_after {
                    thread::sleep(ms(after));
                    cancelled = cluster.cancel(edge, &id);
                }
                let status = post.join().unwrap().map_or(0, |(status, _)| status);
                jobs.lock()
                    .unwrap()
                    .get_mut(&id)
                    .unwrap()
                    .statuses
                    .push(status);
                cancelled.or([200, 400, 404, 429, 503].contains(&status).then_some(0))
            });
            if let Some(at) = cancelled {
                if at > 0 {
                    jobs.lock().unwrap().get_mut(&id).unwrap().cancelled = Some(at);
                }
                break;
            }
            thread::sleep(RETRY_DELAY);
            edge = edge % EDGES + 1;
        }
    }
}

/// Disrupts processes in turn. Of two calls with `part` 0 and 1 the first takes odd machines and
/// the second even ones; without a second call the first takes all.
fn disrupt(cluster: &Cluster, mut rng: Rng, end: Instant, part: usize) -> Res<()> {
    let overlap = std::env::var("OVERLAP").is_ok();
    let mut boots: Vec<(String, &str)> = (0..SIDES)
        .map(|n| (format!("i-{:08x}", 0xa0 + n), ["a", "a", "b"][n % 3]))
        .collect();
    let mut number = 0;
    while Instant::now() < end {
        thread::sleep(ms(300 + rng.below(2_500)));
        let role = ["entry", "agent", "control", "worker", "entry", "agent"][rng.below(6) as usize];
        let side = rng.below(SIDES as u64) as usize;
        let machine = if role == "agent" {
            EDGES + 1 + side
        } else {
            1 + rng.below(EDGES as u64) as usize
        };
        let name = format!("{role}-{machine}");
        let affected = if role == "worker" {
            EDGES + 1 + side
        } else {
            machine
        };
        if overlap && affected % 2 == part {
            continue;
        }
        if role == "worker" {
            cluster.kill(&boots[side].0);
            thread::sleep(ms(20 + rng.below(2_500)));
            // Half of the boots keep the id.
            if rng.below(2) == 0 {
                number += 1;
                boots[side].0 = format!("i-{:08x}", 0x1000 * (part + 1) + number);
            }
            cluster.start_worker(side + 1, &boots[side].0, boots[side].1, CPU as u32)?;
            continue;
        }
        match rng.below(3) {
            0 => {
                cluster.kill(&name);
                thread::sleep(ms(100 + rng.below(900)));
                cluster.start_program(role, machine, false)?;
            }
            1 => {
                cluster.signal(&name, "TERM");
                cluster.reap(&name);
                cluster.start_program(role, machine, false)?;
            }
            _ => {
                cluster.signal(&name, "STOP");
                thread::sleep(ms(50 + rng.below(2_500)));
                cluster.signal(&name, "CONT");
            }
        }
    }
    Ok(())
}

/// Checks the starts that the workers have recorded. Runs of a killed worker end with it.
fn judge(cluster: &Cluster, jobs: &HashMap<String, Job>) -> Vec<String> {
    let mut kills = HashMap::<String, Vec<u64>>::new();
    for line in cluster.record.lock().unwrap().iter() {
        let (at, text) = line.split_once(' ').unwrap_or_default();
        if let Some(id) = text.strip_prefix("disruption: SIGKILL i-") {
            kills
                .entry(format!("i-{id}"))
                .or_default()
                .push(at.parse().unwrap_or(0));
        }
    }
    let mut breaks = Vec::new();
    let mut kinds = HashMap::new();
    // Runs at work: task and worker, with the time of the start.
    let mut at_work: Vec<(String, String, u64)> = Vec::new();
    let mut done: HashSet<String> = HashSet::new();
    let mut started: HashSet<String> = HashSet::new();
    for (at, id, event) in cluster.worker_events() {
        at_work.retain(|(_, worker, start)| {
            let kills = kills.get(worker).into_iter().flatten();
            !kills.into_iter().any(|k| start < k && *k <= at)
        });
        let words: Vec<&str> = event.split(' ').collect();
        let when = cluster.seconds(at);
        match words.as_slice() {
            ["born", .., labels] => {
                kinds.insert(id, labels.split(',').next().unwrap_or_default().to_owned());
            }
            ["start", task, ..] => {
                let parts: Vec<&str> = task.split('.').collect();
                let Some(job) = jobs.get(parts[0]) else {
                    breaks.push(format!("UNASKED unknown {task}"));
                    continue;
                };
                started.insert(parts[0].to_owned());
                let step: usize = parts[2].parse().unwrap_or(0);
                let phase = &job.phases[step];
                if let Some((_, worker, _)) = at_work.iter().find(|(t, ..)| t == task) {
                    breaks.push(format!("TWICE {task} at {id} and {worker} at {when:.3}"));
                }
                at_work.push(((*task).to_owned(), id.clone(), at));
                let cpu_of = |task: &str| {
                    let parts: Vec<&str> = task.split('.').collect();
                    let step: usize = parts[2].parse().unwrap_or(0);
                    jobs.get(parts[0]).map_or(0, |j| j.phases[step].cpu)
                };
                let here = at_work.iter().filter(|(_, w, _)| *w == id);
                let used: u64 = here.clone().map(|(t, ..)| cpu_of(t)).sum();
                if used > CPU {
                    breaks.push(format!("LIMIT {id} uses {used} at {when:.3}"));
                }
                let prefix = format!("{}.0.{step}.", parts[0]);
                let same = here.filter(|(t, ..)| t.starts_with(&prefix)).count() as u64;
                if phase.limit > 0 && same > phase.limit {
                    breaks.push(format!(
                        "ROUTE {task}: {same} of its step on {id} at {when:.3}"
                    ));
                }
                if phase
                    .label
                    .is_some_and(|l| kinds.get(&id).is_none_or(|k| k != l))
                {
                    breaks.push(format!("ROUTE {task} lacks its label on {id} at {when:.3}"));
                }
                for earlier in &phase.after {
                    for index in 0..job.phases[*earlier].count {
                        if !done.contains(&format!("{}.0.{earlier}.{index}", parts[0])) {
                            breaks.push(format!("ORDER {task} at {when:.3}"));
                        }
                    }
                }
                if job.cancelled.is_some_and(|c| at > c + CANCEL_MS * 1_000) {
                    breaks.push(format!("UNASKED {task} at {when:.3}, after its cancelling"));
                }
            }
            ["end", task, _, _, how] => {
                at_work.retain(|(t, w, _)| t != task || *w != id);
                if *how == "done" {
                    done.insert((*task).to_owned());
                }
            }
            _ => {}
        }
    }
    for (id, job) in jobs {
        let rejected = job
            .statuses
            .iter()
            .all(|s| [400, 404, 429, 503].contains(s));
        if rejected && !job.statuses.is_empty() && started.contains(id) {
            breaks.push(format!("REFUSED {id} has started: {:?}", job.statuses));
        }
        if job.statuses.contains(&0) {
            cluster.note(&format!("job {id} statuses {:?}", job.statuses));
        }
    }
    breaks
}

pub fn run(seed: u64, folder: &Path) -> ExitCode {
    let result = Cluster::start().and_then(|cluster| {
        cluster.start_workers(["a", "a", "b"], CPU as u32)?;
        cluster.configure()?;
        cluster.settle()?;
        let jobs = Mutex::new(HashMap::new());
        let end = Instant::now() + ms(60_000);
        thread::scope(|s| {
            for n in 0..CLIENTS {
                let (cluster, jobs) = (&cluster, &jobs);
                s.spawn(move || client(cluster, jobs, Rng(seed * 1_000 + n), end, seed * 100 + n));
            }
            let calm = std::env::var("OVERLAP").is_err();
            // Two disruptions may overlap, at different machines.
            if !calm {
                let cluster = &cluster;
                s.spawn(move || disrupt(cluster, Rng(seed * 104_729 + 7), end, 1));
            }
            disrupt(&cluster, Rng(seed * 7_919 + 13), end, 0)
        })?;
        cluster.stop();
        let jobs = jobs.into_inner().unwrap();
        let mut counts = HashMap::<Vec<u16>, usize>::new();
        for job in jobs.values() {
            *counts.entry(job.statuses.clone()).or_default() += 1;
        }
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
        println!(
            "seed {seed}: {} jobs, {} starts, attempts {counts:?}",
            jobs.len(),
            cluster.starts().len()
        );
        let breaks = judge(&cluster, &jobs);
        let result = Ok(breaks.clone());
        cluster.write_record(&folder.join(format!("soak-{seed}.txt")), true, &result)?;
        Ok(breaks)
    });
    match result {
        Ok(breaks) => {
            for line in &breaks {
                println!("{line}");
            }
            ExitCode::from(u8::from(!breaks.is_empty()))
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
