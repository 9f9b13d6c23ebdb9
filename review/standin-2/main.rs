//! Cases of the second review that are scripts. Each starts a small deployment, disturbs it unless
//! `TROUBLE=0`, and judges a rule by what its clients, workers and operator have seen.
//!
//! Usage: `standin-2 CASE RECORD`, in the root of the repository. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod worker;

use std::process::ExitCode;

use crate::record::Record;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = args.as_slice() else {
        eprintln!("usage: standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|t| t == "0");
    let trouble = !trouble;
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{path}: {e}");
            return ExitCode::from(2);
        }
    };
    record.note(format!("case {case}, trouble={trouble}"));
    match cases::run(case, trouble, &record) {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            record.note(format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
