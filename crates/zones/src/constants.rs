//! Constants of the zone states, with units and reasons.

use oatloom_protocol::ids::Millis;

/// Number of machines that have to be silent together before their zone is suspected: one or two
/// may fail, or be reclaimed by the cloud, at the same time.
pub const MIN_SILENT_MACHINES: u32 = 3;
/// How long reports have to arrive again before machines are hired in a zone that was lost: about
/// one report period, in which all surviving machines report.
pub const RECOVERY_MS: Millis = Millis(6_000);
/// Minimum time between two reports of a zone that shows that reports keep arriving, rather than a
/// single delayed batch.
pub const MIN_REPORT_SPACING_MS: Millis = Millis(2_000);
/// Each further loss within [`FLAP_WINDOW_MS`] doubles the recovery time, up to this.
pub const MAX_RECOVERY_MS: Millis = Millis(96_000);
/// Losses further apart than this are unrelated.
pub const FLAP_WINDOW_MS: Millis = Millis(600_000);
/// Period of probe hires in a lost zone: longer than the minimum charge for a machine, so that one
/// which cannot report costs little. Work that can run nowhere else waits for a probe, and some
/// machines never come up: with 120 s such work waited for up to four minutes.
pub const PROBE_PERIOD_MS: Millis = Millis(75_000);
/// Extra delay of a probe if no work needs the zone: machines elsewhere serve the work, and a
/// silent machine that was kept shows at no extra cost that the zone is back.
pub const UNNEEDED_PROBE_DELAY_MS: Millis = Millis(75_000);
/// How long one silent machine of a lost zone is kept: it reports as soon as the zone is back,
/// while one hired then would have to boot. A machine that is silent for longer is as likely dead
/// as cut off.
pub const SENTINEL_KEEP_MS: Millis = Millis(300_000);
