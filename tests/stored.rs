//! Compatibility with the version in production: this version reads each of its records and messages, and writes each byte
//! for byte as it does. That version wrote `data/production.json` from the same samples.

mod samples;

use std::collections::BTreeMap;

const PRODUCTION: &str = include_str!("data/production.json");

fn production() -> BTreeMap<String, String> {
    serde_json::from_str(PRODUCTION).expect("a map of names and texts")
}

#[test]
fn every_sample_has_a_text_written_by_production() {
    let names: Vec<&str> = samples::all().iter().map(|sample| sample.name).collect();
    let production_texts = production();
    assert!(
        names.iter().all(|name| production_texts.contains_key(*name))
            && production_texts.len() == names.len()
    );
}

/// Guards against a process of the old version that cannot read, or misreads, what a new one writes before the switch to the
/// new formats.
#[test]
fn writes_before_the_switch_match_production() {
    for sample in samples::all() {
        let written = (sample.write)(&sample.text);
        assert_eq!(written.as_ref(), Ok(&production()[sample.name]), "{}", sample.name);
    }
}

/// Guards against a process of the new version that loses part of what an old one has written.
#[test]
fn texts_of_production_survive_a_round_trip() {
    for sample in samples::all() {
        let old = &production()[sample.name];
        assert_eq!((sample.rewrite)(old).as_ref(), Ok(old), "{}", sample.name);
    }
}
