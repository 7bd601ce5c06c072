//! Every constant of zones' standing, with its unit and the reason for its value.

use oatloom_protocol::ids::Millis;

/// Machines that have to be silent together before their zone is doubted: one or two end by themselves, or are taken
/// by the cloud at the same time.
pub const EVIDENCE_MACHINES: u32 = 3;
/// How long reports have to come again before machines are hired in a zone that was lost: about a report period, in
/// which those that are there show how many there still are.
pub const RETURN_MS: Millis = Millis(6_000);
/// Reports of a zone that are so far apart did not come in one go.
pub const AGAIN_MS: Millis = Millis(2_000);
/// With each further loss within the span below, the way back takes twice as long, up to this.
pub const RETURN_MOST_MS: Millis = Millis(96_000);
/// Losses further apart than this have nothing to do with each other.
pub const FLAP_SPAN_MS: Millis = Millis(600_000);
/// Period of hires that ask whether a lost zone lives: above the least that a machine is charged for, and so long that
/// one which cannot report costs little. Work that may run nowhere else waits for it, and some machines never come up:
/// with 120 s such work waited for up to four minutes.
pub const PROBE_EVERY_MS: Millis = Millis(75_000);
/// How much longer such a hire waits where no work needs just this zone: what is up elsewhere serves it, and a silent machine
/// that was kept tells as much for nothing.
pub const UNNEEDED_MORE_MS: Millis = Millis(75_000);
/// How long one silent machine of a lost zone is kept: it reports the moment the zone is back, where one hired then
/// would have to boot. What is silent for longer is dead as likely as cut off.
pub const SENTINEL_MS: Millis = Millis(300_000);
