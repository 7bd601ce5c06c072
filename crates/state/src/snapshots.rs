//! Decides when a snapshot is taken and which step of it is next. Rows are copied in slices while the keyspace keeps
//! changing (a fuzzy snapshot). Recovery makes the snapshot consistent by applying the log from the snapshot's
//! beginning on, which is idempotent. The snapshot is therefore completed only once the log up to its end is durable.

use crate::constants::*;
use crate::keyspace::Keyspace;
use crate::records::SnapshotFooter;
use crate::settings::Settings;
use crate::wal::SnapshotStep;
use oatloom_protocol::ids::Mono;
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    /// Rows up to the cursor were sent to the writer.
    CopyingRows {
        cursor: Option<Arc<str>>,
        row_count: u64,
    },
    /// All rows were sent to the writer; the log up to the snapshot's end is not durable yet.
    AwaitingLog(SnapshotFooter),
    /// The footer is being written, and the file synced and renamed.
    Closing,
    /// Older snapshots and log files are being removed.
    Pruning,
    /// A step failed; the temporary file is being removed.
    Aborting,
}

/// State machine of snapshots. At most one snapshot is taken at a time, and at most one of its steps
/// is executed.
#[derive(Debug)]
pub struct SnapshotScheduler {
    stage: Stage,
    /// A step is being executed.
    is_step_running: bool,
    /// Number of the first group that recovery applies to the current snapshot.
    first_group: u64,
    /// Numbers of the completed snapshots that are retained, oldest first.
    completed: Vec<u64>,
    /// Bytes written to the log since the last snapshot began, and the size that starts another one.
    log_bytes: u64,
    threshold_bytes: u64,
    slice_rows: usize,
    /// Earliest time of the next snapshot, after a failed one.
    not_before: Mono,
}

impl SnapshotScheduler {
    /// Starts with the snapshots and the log size that recovery found.
    pub fn new(completed: Vec<u64>, log_bytes: u64, settings: &Settings) -> Self {
        let (threshold_bytes, slice_rows) = (settings.snapshot_bytes(), settings.slice_rows);
        let (stage, first_group, not_before) = (Stage::Idle, 0, Mono(0));
        Self {
            stage,
            is_step_running: false,
            first_group,
            completed,
            log_bytes,
            threshold_bytes,
            slice_rows,
            not_before,
        }
    }

    /// Changes the stage. All transitions go through here.
    fn set_stage(&mut self, stage: Stage) {
        self.stage = stage;
    }

    /// Counts bytes that were written to the log.
    pub fn add_log_bytes(&mut self, bytes: usize) {
        self.log_bytes += bytes as u64;
    }

    /// Bytes written to the log since the last snapshot began.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Number of completed snapshots that are retained.
    pub fn completed_count(&self) -> usize {
        self.completed.len()
    }

    /// Begins a snapshot if one is due; the group `next_group` must then begin a new log file.
    pub fn try_begin(&mut self, next_group: u64, now: Mono) -> Option<SnapshotStep> {
        let is_due = self.stage == Stage::Idle
            && !self.is_step_running
            && self.log_bytes >= self.threshold_bytes
            && now >= self.not_before
            // A snapshot that begins at the same group as the last one would be identical.
            && self.completed.last().is_none_or(|last| *last < next_group);
        is_due.then(|| {
            self.first_group = next_group;
            self.log_bytes = 0;
            self.is_step_running = true;
            self.set_stage(Stage::CopyingRows { cursor: None, row_count: 0 });
            SnapshotStep::Begin
        })
    }

    /// Returns the next step, if one can be executed now. `last_applied` is the number of the group that holds the
    /// latest change, `last_durable` that of the last durable group.
    pub fn next_step(
        &mut self,
        keyspace: &Keyspace,
        last_applied: u64,
        last_durable: u64,
    ) -> Option<SnapshotStep> {
        if self.is_step_running {
            return None;
        }
        let step = match &self.stage {
            Stage::Idle | Stage::Closing | Stage::Pruning | Stage::Aborting => return None,
            Stage::CopyingRows { cursor, row_count } => {
                let slice = keyspace.copy_rows(cursor.as_deref(), self.slice_rows);
                match slice.last() {
                    Some(last) => {
                        let (cursor, row_count) =
                            (Some(last.key.clone()), row_count + slice.len() as u64);
                        self.set_stage(Stage::CopyingRows { cursor, row_count });
                        SnapshotStep::Rows(slice)
                    }
                    None => {
                        let footer = SnapshotFooter {
                            row_count: *row_count,
                            first_group: self.first_group,
                            last_group: last_applied,
                            revision: keyspace.revision(),
                            last_lease: keyspace.last_lease(),
                            leases: keyspace.list_lease_ttls(),
                        };
                        self.set_stage(Stage::AwaitingLog(footer));
                        return self.next_step(keyspace, last_applied, last_durable);
                    }
                }
            }
            Stage::AwaitingLog(footer) if last_durable < footer.last_group => return None,
            Stage::AwaitingLog(footer) => {
                let step = SnapshotStep::Close(footer.clone());
                self.set_stage(Stage::Closing);
                step
            }
        };
        self.is_step_running = true;
        Some(step)
    }

    /// Handles the result of a step and returns the step that follows it directly, if any.
    pub fn on_step_done(&mut self, succeeded: bool, now: Mono) -> Option<SnapshotStep> {
        self.is_step_running = false;
        match self.stage {
            Stage::Aborting | Stage::Pruning => {
                // Files that could not be removed are removed by the next snapshot.
                self.set_stage(Stage::Idle);
                None
            }
            _ if !succeeded => {
                self.log_bytes = self.log_bytes.max(self.threshold_bytes);
                self.not_before = now.plus(SNAPSHOT_RETRY_INTERVAL_MS);
                self.set_stage(Stage::Aborting);
                self.is_step_running = true;
                Some(SnapshotStep::Abort)
            }
            Stage::Closing => {
                self.completed.push(self.first_group);
                while self.completed.len() > MAX_SNAPSHOT_COUNT {
                    self.completed.remove(0);
                }
                self.set_stage(Stage::Pruning);
                self.is_step_running = true;
                // With a single snapshot, the complete log is the fallback if that snapshot is damaged.
                let keeps_all_logs = self.completed.len() < MAX_SNAPSHOT_COUNT;
                let oldest = self.completed.first().copied().unwrap_or(0);
                let logs_below = if keeps_all_logs { 0 } else { oldest };
                Some(SnapshotStep::Prune { snapshots_below: oldest, logs_below })
            }
            Stage::Idle | Stage::CopyingRows { .. } | Stage::AwaitingLog(_) => None,
        }
    }
}
