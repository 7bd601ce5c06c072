//! The cases of the review. Usage: review-cases CASE RECORD; the environment variable TROUBLE=0 leaves the disruption out.
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod base;
mod huge_array;
mod one_machine;
mod region;
mod silence;
mod zero_amounts;

use base::Record;
use std::path::{Path, PathBuf};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-cases CASE RECORD");
        std::process::exit(2);
    };
    let repository: PathBuf = std::env::current_dir().expect("a working directory");
    let record = Record::new(Path::new(record));
    record.line(&format!("case {case}, trouble {trouble}"));
    let held = match case.as_str() {
        "huge-array" => huge_array::run(&repository, record.clone(), trouble),
        "zero-amounts" => zero_amounts::run(&repository, record.clone(), trouble),
        "one-machine" => one_machine::run(&repository, record.clone(), trouble),
        _ => None,
    };
    let (text, status) = match held {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.line(&format!("verdict: {text}"));
    println!("{case}: {text}");
    std::process::exit(status);
}
