//! Two versions side by side: when the earlier one is known to be gone.

#[allow(dead_code)]
mod world;

use oatloom_core::controller::Event;
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::Revision;
use oatloom_protocol::wire::Change;
use world::solo::Solo;

fn announce(solo: &mut Solo, member: &str, version: u64) -> Revision {
    let value = serde_json::json!({ "v": version });
    solo.write(vec![Change::put(format!("version/{member}"), value)])
}

/// Guards against a new form that is written while a member that has not shown its version may still be old, and
/// against a switch that goes back when keys cannot be read.
#[test]
fn the_upgrade_is_known_once_every_member_has_shown_its_version() {
    let mut solo = Solo::new();
    solo.pass(3_000);
    let own = solo.state.rows("version/");
    assert_eq!(own.len(), 1, "{own:?}");
    assert_eq!((own[0].key.as_str(), &own[0].value), ("version/n-0", &serde_json::json!({"v": 2})));
    assert!(!solo.core.all_upgraded());
    announce(&mut solo, "n-1", 2);
    announce(&mut solo, "n-2", 1);
    // A stranger's key counts for nobody.
    announce(&mut solo, "n-7", 2);
    solo.pass(3_000);
    assert!(!solo.core.all_upgraded(), "one member shows an earlier version");
    announce(&mut solo, "n-2", 2);
    solo.pass(3_000);
    assert!(solo.core.all_upgraded());
    let written = solo.state.history().iter();
    let own = written.filter(|change| change.put.as_deref() == Some("version/n-0")).count();
    assert_eq!(own, 1, "its own key is written once");
    // Nothing is asked any more, and it stays so.
    solo.write(vec![Change::Delete { key: "version/n-1".into() }]);
    solo.pass(5_000);
    assert!(solo.core.all_upgraded());
}

/// Guards against a second write by a process that starts anew, and against one that never ends asking after an answer
/// is lost.
#[test]
fn a_members_version_survives_lost_answers_and_a_new_start() {
    let mut solo = Solo::new();
    // The write of its own key is applied, and its answer is lost.
    solo.hold = |op| matches!(op, StoreOp::Txn(_)) && format!("{op:?}").contains("version/");
    solo.execute_held = true;
    solo.pass(2_000);
    solo.hold = |_| false;
    assert_eq!(solo.held.len(), 1, "{:?}", solo.held);
    for (id, ..) in std::mem::take(&mut solo.held) {
        solo.event(Event::Store { id, reply: StoreReply::Lost });
    }
    for member in ["n-1", "n-2"] {
        announce(&mut solo, member, 2);
    }
    solo.pass(3_000);
    assert!(solo.core.all_upgraded());
    let mut again = Solo::new();
    again.state = std::mem::take(&mut solo.state);
    again.pass(3_000);
    assert!(again.core.all_upgraded());
    let own =
        |change: &&oatloom_protocol::wire::Logged| change.put.as_deref() == Some("version/n-0");
    assert_eq!(again.state.history().iter().filter(own).count(), 1);
}
