//! Records and messages of the version in production: this version reads each, and writes each byte for byte as that
//! version does. `data/production.json` was made by that version from the same samples.

mod samples;

use std::collections::BTreeMap;

const PRODUCTION: &str = include_str!("data/production.json");

fn production() -> BTreeMap<String, String> {
    serde_json::from_str(PRODUCTION).expect("a map of names and texts")
}

#[test]
fn every_kind_has_a_sample_made_by_production() {
    let names: Vec<&str> = samples::all().iter().map(|sample| sample.name).collect();
    let known = production();
    assert!(names.iter().all(|name| known.contains_key(*name)) && known.len() == names.len());
}

/// Guards against an old process that cannot read, or reads as something else, what a new one writes before the switch.
#[test]
fn what_is_written_before_the_switch_is_productions_form() {
    for sample in samples::all() {
        let written = (sample.write)(&sample.text);
        assert_eq!(written.as_ref(), Ok(&production()[sample.name]), "{}", sample.name);
    }
}

/// Guards against a new process that loses something of what an old one has written.
#[test]
fn what_production_wrote_is_read_and_nothing_of_it_is_lost() {
    for sample in samples::all() {
        let old = &production()[sample.name];
        assert_eq!((sample.again)(old).as_ref(), Ok(old), "{}", sample.name);
    }
}
