//! Constants of the scheduler, with units and the reasons for their values.

use oatloom_protocol::constants::MAX_BODY_BYTES;
use oatloom_protocol::ids::Millis;

// --- Control loop (design specification) ------------------------------------

/// Cores added by one step of the additive increase; α of the Dithen paper.
pub const ALPHA_CORES: f64 = 5.0;
/// Factor of the multiplicative decrease; β of the Dithen paper.
pub const BETA: f64 = 0.9;
/// Variance added per tick (σz²), in (core-seconds)²; from the Dithen paper.
pub const PROCESS_VARIANCE: f64 = 0.5;
/// Variance of a measurement (σv²), in (core-seconds)²; from the Dithen paper.
pub const MEASUREMENT_VARIANCE: f64 = 0.5;
/// Cores that a job gets before its first measurement; the cap of the Dithen paper.
pub const UNMEASURED_CAP_CORES: f64 = 10.0;
/// Time in which a job without any deadline is to be done, in seconds (design specification).
pub const DEFAULT_DEADLINE_S: f64 = 600.0;
/// Default period of the control loop. The 10 s of the design specification add one big machine per
/// 100 s, too slow for objectives of seconds; half a second keeps α and reaches a machine of 48
/// cores in five.
pub const TICK_PERIOD_MS: Millis = Millis(500);
/// Period of the cuts of rented cores by β. Cores are added at every tick, but a machine given up
/// too early costs another boot: with a cut every half second, machines were returned and hired
/// again.
pub const DECREASE_PERIOD_MS: Millis = Millis(5_000);
/// Weight of one task in the moving average of its class's estimate errors: about ten tasks count.
pub const BIAS_GAIN: f64 = 0.1;
/// Factor by which the longest run of a class, relative to its estimate, decays with each further
/// task: a tenth of it is gone after some two hundred.
pub const LONGEST_RUN_DECAY: f64 = 0.9995;
/// Share of the time by which the longest runs exceed the mean that is subtracted from an array's
/// time left. Few tasks run that long, but without allowing for them large arrays ended just too
/// late.
pub const TAIL_WEIGHT: f64 = 0.5;

// --- Clocks and leadership --------------------------------------------------

/// Value of a process's monotonic clock at its start: jobs are older than the process that takes
/// them over, and their times must not be clamped to 0, which stands for "never".
pub const CLOCK_START_MS: Millis = Millis(1_000_000_000);
/// Bound on the drift between two monotonic clocks, as a share; twice the 0.05% of the protocol.
pub const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Time to live of the leader's lease: several renewals may be lost before a takeover, and a
/// takeover is still much quicker than the expiry of a worker's lease.
pub const LEADER_LEASE_TTL_MS: Millis = Millis(4_000);
/// Period of lease renewals: three attempts within a time to live.
pub const LEASE_RENEWAL_PERIOD_MS: Millis = Millis(1_000);
/// Subtracted from the lease's end, for the time between a validity check and the last byte of the
/// answer on an overloaded processor.
pub const LEASE_VALIDITY_MARGIN_MS: Millis = Millis(400);
/// How often a follower re-reads the leader key, in case its watch is stuck.
pub const LEADER_KEY_POLL_PERIOD_MS: Millis = Millis(3_000);
/// A read of the leader key that is not answered after this long is sent again in parallel: longer
/// than the state service usually takes, so often that one of several reads is answered before
/// [`UNHEALTHY_STORE_SILENCE_MS`], and so rarely that those under way ([`LEASE_RENEWAL_TIMEOUT_MS`]
/// each) leave one of [`MAX_LEASE_INFLIGHT`] calls for a claim of the leader key.
pub const LEADER_KEY_READ_RETRY_MS: Millis = Millis(1_000);
/// Pause after a failed claim of the leader key, plus up to as much again at random.
pub const CLAIM_RETRY_PAUSE_MS: Millis = Millis(300);
/// How often an owner of shares compares its plan with what is under way: moves and claims wait for
/// it, and it costs a check of two dozen shares.
pub const OWNERS_CHECK_PERIOD_MS: Millis = Millis(500);
/// How long a share may be without an owner before any member that notices claims it: four checks,
/// in which the member that should own it has written its key.
pub const UNOWNED_CLAIM_DELAY_MS: Millis = Millis(2_000);
/// Median time until a share whose owner ended is served again while the state service works: the
/// rest of the lease, the watch and a write.
pub const OWNER_FAILOVER_MS: Millis = Millis(LEADER_LEASE_TTL_MS.0 + OWNERS_CHECK_PERIOD_MS.0);
/// How long an owner whose lease has ended is left out of the plan: longer than membership takes to
/// notice its absence, so that its shares are not kept for it meanwhile.
pub const LAPSED_OWNER_EXCLUSION_MS: Millis = Millis(10_000);
/// How long one watch request is held open.
pub const WATCH_HOLD_MS: Millis = Millis(10_000);

// --- Upgrades ---------------------------------------------------------------

/// The version that this program announces: raised with each change of stored forms or messages
/// that an earlier program cannot read.
pub const ANNOUNCED_VERSION: u32 = 2;
/// Period of reads of the members' versions: an upgrade takes minutes, and a read is one request.
pub const VERSION_READ_PERIOD_MS: Millis = Millis(1_000);

// --- State service ----------------------------------------------------------

/// Share of the request and change budgets that the leader may use.
pub const LEADER_BUDGET_SHARE: f64 = 0.62;
/// Share of the change budget that the leader uses while the service does not throttle: its peers
/// seldom use theirs, and a fleet that starts up waits for assignments to be written.
pub const LEADER_CHANGE_SHARE: f64 = 0.9;
/// How long the leader keeps to its share after the service has throttled it.
pub const THROTTLED_PERIOD_MS: Millis = Millis(5_000);
/// Share that each other controller may use; together with the leader's share and what is kept for
/// renewals and watches, the sum stays under 1 for three controllers.
pub const FOLLOWER_BUDGET_SHARE: f64 = 0.14;
/// Share that all controllers together may use while there is no leader: the rest is kept for
/// leases and watches.
pub const LEADERLESS_BUDGET_SHARE: f64 = 0.9;
/// Changes by which the writer may be ahead of submissions, or behind them: a few transactions.
pub const MAX_WRITER_LEAD_CHANGES: f64 = 64.0;
/// Maximum number of calls under way at once, besides the writer's.
pub const MAX_STORE_INFLIGHT: usize = 6;
/// Calls among these that users' reads leave to submissions: an answer sometimes takes a few
/// hundred milliseconds.
pub const SUBMISSION_RESERVED_INFLIGHT: usize = 2;
/// A submission that would wait longer than this for the rate limiter is forwarded to the leader,
/// which may use what others leave of the change budget: users want some submissions answered
/// within 200 ms, and the round trip takes some 10 ms.
pub const FORWARD_AFTER_MS: Millis = Millis(50);
/// Places in the rate limiter's queue that users' reads leave to submissions: as many as are
/// submitted in some ten seconds.
pub const SUBMISSION_RESERVED_QUEUE: usize = 100;
/// Requests that may wait for the rate limiter before callers are told to retry later.
pub const MAX_STORE_QUEUE: usize = 400;
/// How long a request may wait for the rate limiter before it is given up.
pub const MAX_STORE_WAIT_MS: Millis = Millis(1_500);
/// Timeout of one call to the state service.
pub const STORE_TIMEOUT_MS: Millis = Millis(2_500);
/// Timeout of a lease renewal. One starts every second, whether or not the previous one was
/// answered: a later answer is useless for a lease that counts from the sending.
pub const LEASE_RENEWAL_TIMEOUT_MS: Millis = Millis(2_500);
/// Concurrent calls for leases and the leader key: as many renewals as start within that timeout,
/// and one more.
pub const MAX_LEASE_INFLIGHT: usize = 4;
/// Pause after 429 or 503 from the state service, plus up to as much again at random.
pub const STORE_THROTTLED_PAUSE_MS: Millis = Millis(250);
/// Rows requested per page; the service allows 1,000.
pub const PAGE_ROWS: u32 = 500;
/// Pause between two requests of usage accounting, and so between two pages of final states, of 500
/// each: it is not urgent, and an overloaded controller takes some ten milliseconds to read a page.
pub const USAGE_ACCOUNTING_PAUSE_MS: Millis = Millis(200);
/// Usage accounting entries kept for tests; some 300 bytes each.
pub const MAX_RECENT_USAGE_ENTRIES: usize = 64;
/// Maximum time for which roll-ups give way to ends of tasks and assignments: they shorten the next
/// leader's initial read.
pub const MAX_ROLLUP_DELAY_MS: Millis = Millis(20_000);
/// Bytes of values put into one transaction; the service allows 64 KiB in total.
pub const MAX_TXN_BYTES: usize = 40 * 1024;
/// Value limit if the service states none, in bytes: the smallest that has to be supported before
/// the second protocol version.
pub const DEFAULT_MAX_VALUE_BYTES: usize = 8 * 1024;
/// Share of the service's value limit that records use: how the service counts bytes is not
/// specified.
pub const RECORD_VALUE_SHARE: f64 = 0.92;
/// Bytes kept free in a record for usage added after its assignments: the merged row of one day.
pub const USAGE_RESERVE_BYTES: usize = 240;
/// Upper bound of an assignment's bytes in a record, besides twice the names of machine and zone:
/// records that are well within their limit by it are not measured.
pub const MAX_ASSIGNMENT_BYTES: usize = 60;
/// Upper bound of a record's bytes besides assignments, usage and failures: done tasks, team and
/// sizes.
pub const MAX_CHUNK_HEADER_BYTES: usize = 300;
/// Rows of usage of one day in a final state, and machines that it names as where its job failed,
/// if space is short.
pub const REDUCED_USAGE_ROWS: usize = 3;
pub const REDUCED_FAILURE_HOSTS: usize = 6;
/// Maximum number of items in one transaction, and the number of consecutive transactions that have
/// to succeed after a refusal before the batch size is doubled again.
pub const MAX_TXN_ITEMS: usize = 64;
pub const BATCH_GROWTH_SUCCESSES: u32 = 8;
/// Pause before an item that the service refused on its own is written again, and its maximum: it
/// doubles each time.
pub const REJECTED_RETRY_PAUSE_MS: Millis = Millis(1_000);
pub const MAX_REJECTED_RETRY_PAUSE_MS: Millis = Millis(60_000);
/// How long the end of a task may wait to be written: workers keep results meanwhile, further ends
/// of the same job share the write, and the end of the job makes it unnecessary.
pub const MAX_TASK_END_WRITE_DELAY_MS: Millis = Millis(4_000);
/// The same for arrays that are nodes of a graph, whose ends other nodes wait for: together with
/// the report period it stays a small part of a node's run time, and ends that come together still
/// share a write.
pub const MAX_NODE_END_WRITE_DELAY_MS: Millis = Millis(500);
/// Pause before a new leader's read of graphs is retried after a failure.
pub const GRAPH_READ_RETRY_PAUSE_MS: Millis = Millis(200);
/// Changes per transaction of the state service that graph records leave free for the head and the
/// count of the pages.
pub const GRAPH_RESERVED_TXN_OPS: usize = 2;
/// Weight in a slot's score of another task of the same job on the machine, for tasks that are
/// better on different machines; as much as a fetch that takes all the time there is.
pub const SAME_MACHINE_WEIGHT: f64 = 1.0;
/// Tasks whose assignments share one key: 96 of them stay under 5 KiB as rows and under 1.5 KiB
/// packed.
pub const TASKS_PER_CHUNK: u32 = 96;

// --- Admission --------------------------------------------------------------

/// How long an input may wait for the core's thread and still be worth an answer: its caller's
/// timeout less what the answer itself may take. A load balancer's probe times out after 1 s, a
/// poll after 2 s, a report after 4 s, a submission after 5 s (protocol); a peer waits for
/// [`LEADER_QUERY_TIMEOUT_MS`].
pub const MAX_CONTROL_AGE_MS: Millis = Millis(900);
pub const MAX_QUERY_AGE_MS: Millis = Millis(1_500);
pub const MAX_REPORT_AGE_MS: Millis = Millis(3_000);
pub const MAX_SUBMISSION_AGE_MS: Millis = Millis(2_500);
pub const MAX_FORWARDED_AGE_MS: Millis = Millis(600);
/// Seconds over which the retries of rejected callers are spread: as long as the interval of
/// polls.
pub const RETRY_SPREAD_S: u32 = 5;

// --- Users ------------------------------------------------------------------

/// How long a query may wait for the leader before the state service is read instead.
pub const LEADER_QUERY_TIMEOUT_MS: Millis = Millis(700);
/// After this long a waiting user request is answered with 503; users wait 2 s for most answers.
pub const USER_REQUEST_TIMEOUT_MS: Millis = Millis(1_700);
/// Final states cached by each controller, so that polls need no read; about 4 MB. With 6,000
/// machines, on which some 12 jobs end a second, it holds those of the last half hour.
pub const MAX_CACHED_FINAL_STATES: usize = 20_000;
/// Maximum number of dependencies that a record holds as their ids; more are stored in the short
/// form.
pub const MAX_TEXT_DEPENDENCIES: usize = 16;
/// Maximum number of dependencies that an answer about a waiting job names; some 300 bytes.
pub const MAX_SHOWN_DEPENDENCIES: usize = 20;
/// Accepted jobs cached by each controller, so that submissions that name them need no read; about
/// 1 MB.
pub const MAX_CACHED_ACCEPTED_JOBS: usize = 20_000;
/// Period of the leader's scan for dependencies of waiting jobs that it has to read: short compared
/// with the read itself.
pub const DEPENDENCY_SCAN_PERIOD_MS: Millis = Millis(50);
/// Final records of dependencies read at once: leases and the writer's transactions are sent
/// beside them.
pub const MAX_DEPENDENCY_READS: usize = 4;
/// When a missing final record of a dependency is read again. The dependency is open, and becomes
/// known here once the watch delivers its acceptance.
pub const DEPENDENCY_RETRY_MS: Millis = Millis(1_000);
/// Requests from users under way at once, as a share of the connections, and the minimum; beyond it
/// users are told to retry later. Without a leader each waits for [`LEADER_QUERY_TIMEOUT_MS`]: at
/// 6,000 machines 1,250 polls a second are 875 at once.
pub const MAX_USER_INFLIGHT_SHARE: f64 = 0.5;
pub const MIN_USER_INFLIGHT_LIMIT: usize = 600;
/// A controller whose calls to the state service all failed for this long reports it at `/up` if a
/// peer is better off.
pub const UNHEALTHY_STORE_SILENCE_MS: Millis = Millis(6_000);

/// After this long without an answer of the leader to any query a controller reports that it
/// cannot take requests: well under the 75 s within which each job has to be answered for, and
/// longer than most partitions between controllers.
pub const LEADER_UNREACHABLE_MS: Millis = Millis(30_000);
/// Queries that failed further apart than this do not count as one continuous time without an
/// answer: longer than the period of probes of a peer that is considered down.
pub const MAX_UNANSWERED_GAP_MS: Millis = Millis(15_000);
/// How long that state lasts after the last unanswered query: several probes.
pub const LEADER_UNREACHABLE_TTL_MS: Millis = Millis(10_000);
/// How often due probes of peers are checked for: a quarter of the probe period.
pub const PEER_PROBE_CHECK_PERIOD_MS: Millis = Millis(500);
/// How long the acknowledgement of a one-way message is awaited; the mesh acknowledges within
/// milliseconds, or tries to connect for about as long.
pub const ONE_WAY_ACK_TIMEOUT_MS: Millis = Millis(1_500);
/// How long a peer that did not answer is not asked on behalf of users: the state service is read
/// at once instead.
pub const UNREACHABLE_PEER_PAUSE_MS: Millis = Millis(2_000);

/// Period of the leader's hints to its peers.
pub const HINTS_PERIOD_MS: Millis = Millis(3_000);
/// Minimum number of machines whose images one hint covers.
pub const MIN_HINT_MACHINES: usize = 150;
/// Hints in which the whole fleet is covered: half of [`MAX_HINT_AGE_MS`], so that every other hint
/// may be lost.
pub const HINTS_PER_ROUND: usize = 10;
/// Maximum bytes of images in one hint, as encoded in a frame: half of the largest frame that any
/// version reads, 256 KiB. At 6,000 machines a hint covers 600, and so five images of 40 bytes each
/// before it is truncated.
pub const MAX_HINT_IMAGES_BYTES: usize = 128 * 1024;
/// Bytes that a machine's name and an image take in a frame, besides the image's name.
pub const HINT_MACHINE_BYTES: usize = 24;
pub const HINT_IMAGE_BYTES: usize = 16;
/// Machines whose hints a follower keeps, a few hundred bytes each: 6,000 at once, and as many that
/// replaced them during the leader's term.
pub const MAX_KEPT_HINT_MACHINES: usize = 12_000;
/// Hints older than this are of no use to a new leader.
pub const MAX_HINT_AGE_MS: Millis = Millis(60_000);
/// Maximum age of a leader's answer that shows that only this controller is refused by the state
/// service.
pub const MAX_LEADER_ANSWER_AGE_MS: Millis = Millis(2_000);

// --- Workers ----------------------------------------------------------------

/// Bytes that a task of a job with a six-digit id takes in a worker's report at most.
pub const MAX_TASK_REPORT_BYTES: usize = 128;
/// Maximum number of tasks on a machine: its report, a request body, lists them all, and beside them as many that have ended
/// and wait to be forgotten.
pub const MAX_MACHINE_TASKS: i64 = (MAX_BODY_BYTES / MAX_TASK_REPORT_BYTES / 2) as i64;
/// Maximum number of orders in one answer: far below a line of 64 KiB.
pub const MAX_ORDERS: usize = 300;
/// A worker gives up waiting for an answer after this long (protocol).
pub const WORKER_ANSWER_TIMEOUT_MS: Millis = Millis(4_000);
/// How long the answer to a report may be held back until there is something to send: with delays
/// on the way and on a slow processor it still arrives well before its worker gives up.
pub const MAX_PARK_MS: Millis = Millis(2_800);
/// Maximum number of parked reports answered per event: a new leader has thousands to answer once
/// its job table is read, and its lease is renewed between events. At some 50 µs each it is 10 ms
/// of a whole processor.
pub const MAX_PARKED_ANSWERS_PER_EVENT: usize = 200;
/// How often all parked reports are checked, whether or not anything is known to have changed for
/// them: one check costs well under a microsecond, so that 6,000 cost about a hundredth of a
/// processor.
pub const PARKED_SWEEP_PERIOD_MS: Millis = Millis(500);
/// Up to this many parked reports are all checked at every event: some 50 µs, as much as a report
/// costs.
pub const MAX_PARKED_FULL_SCAN: usize = 64;
/// How often parked reports that wait for a write or a stop are checked.
pub const PARKED_CHECK_PERIOD_MS: Millis = Millis(50);
/// Answers are held back if users want a class started within this many report periods: otherwise
/// starts are not what is late.
pub const URGENT_REPORT_PERIODS: f64 = 1.75;
/// Direct commands under way at once, and threads that send them: enough for the tasks of a few
/// gangs; each costs a socket and, while it waits, a small stack. They need not grow with the
/// fleet: a command that is answered takes some milliseconds, so that six threads send a thousand a
/// second; and reports carry the same stops.
pub const MAX_COMMANDS_INFLIGHT: usize = 24;
pub const COMMAND_THREADS: usize = 6;
/// Maximum number of these for machines that do not report: half of the threads, so that their
/// timeouts delay nothing urgent.
pub const MAX_OVERDUE_COMMANDS: usize = 3;
/// Report periods without a report after which a machine is sent direct commands to stop tasks of
/// finished jobs: a report normally comes within one and a quarter.
pub const OVERDUE_REPORT_PERIODS: f64 = 1.5;
/// Timeout of a direct command: its content goes with the answer to the next report in any case.
pub const COMMAND_TIMEOUT_MS: Millis = Millis(800);
/// Allowance beyond a worker's lease and drift: a worker checks its lease periodically, and stops
/// its tasks one by one.
pub const LEASE_SLACK_MS: Millis = Millis(500);
/// Consecutive answers that did not reach a machine after which tasks that did not start there go
/// elsewhere: single answers are lost now and then.
pub const MAX_MISSED_ANSWERS: u32 = 2;
/// How long such a machine gets no new tasks: short, since a leader whose answers all come too late
/// takes every machine for unreachable.
pub const MISSED_ANSWERS_PAUSE_MS: Millis = Millis(10_000);
/// Missed reports (in report periods) after which a machine is considered lost and released.
pub const SILENT_REPORT_PERIODS: f64 = 3.5;
/// Share of that time after which a machine counts as silent in the detection of partitions.
pub const EARLY_SILENCE_SHARE: f64 = 0.6;
/// As [`SILENT_REPORT_PERIODS`] for a machine that the cloud has announced it will reclaim: it is
/// most likely gone.
pub const RECLAIMED_REPORT_PERIODS: f64 = 1.7;
/// Seconds that a worker may need to find a new leader: a timeout, then one attempt per second.
pub const MAX_REDIRECT_S: f64 = 8.0;
/// A worker that comes back this soon after it was redirected to the leader could not reach it.
pub const REDIRECT_RETURN_WINDOW_MS: Millis = Millis(12_000);
/// How long such a worker's reports are relayed before it is redirected to the leader again.
pub const RELAY_PERIOD_MS: Millis = Millis(15_000);
/// Workers whose reports are relayed at their first visit: a few need it at once, unlike a whole
/// fleet that comes by after an outage. Workers that come back are relayed whatever their number.
pub const MAX_FIRST_VISIT_RELAYS: usize = 40;
/// How long no report is relayed to a leader that refused one or could not be reached.
pub const RELAY_FAILURE_PAUSE_MS: Millis = Millis(1_000);
/// How often workers that stayed away are removed.
pub const RELAY_SWEEP_PERIOD_MS: Millis = Millis(1_000);
/// Period of the log line about incoming traffic.
pub const TRAFFIC_LOG_PERIOD_MS: Millis = Millis(5_000);
/// Failures of different jobs that make a machine faulty.
pub const FAULTY_MACHINE_ERRORS: usize = 2;
/// A job that failed on this many machines is considered faulty itself.
pub const FAULTY_JOB_HOSTS: usize = 3;
/// Pause before a failed job is retried; doubles with each failure.
pub const ERROR_RETRY_PAUSE_MS: Millis = Millis(2_000);
/// Maximum of that pause.
pub const MAX_ERROR_RETRY_PAUSE_MS: Millis = Millis(60_000);
/// A task that has run this long shows that its job's specification is sound.
pub const MIN_SOUND_RUN_MS: Millis = Millis(30_000);
/// Maximum number of machines that a final record names as where a job failed.
pub const MAX_FAILURE_HOSTS: usize = 20;
/// Pause of a machine that refused a start for lack of room: its next reports show why.
pub const NO_ROOM_PAUSE_MS: Millis = Millis(5_000);
/// Released machines are remembered this long, to recognise their late reports.
pub const TOMBSTONE_TTL_MS: Millis = Millis(600_000);

// --- Placement --------------------------------------------------------------

/// Minimum time between two placement passes: batches changes that come together.
pub const MIN_PLACEMENT_INTERVAL_MS: Millis = Millis(150);
/// A job that can reach none of its objectives any more is placed as if it had to start this long
/// after its submission, in seconds: after those that still can, but ahead of ever newer ones.
pub const MISSED_OBJECTIVES_START_S: f64 = 300.0;
/// How far back arrivals are counted when room is kept ready for a class, in seconds.
pub const ARRIVAL_WINDOW_S: f64 = 180.0;
/// Length of the buckets in which arrivals of a class are counted, each up to the number below.
pub const ARRIVAL_BUCKET_MS: Millis = Millis(10_000);
/// Maximum number of arrivals of a class that count per bucket.
pub const MAX_ARRIVALS_PER_BUCKET: u32 = 2;
/// Room kept ready for a class that users want started sooner than a machine boots: this many times
/// the mean number of arrivals during a boot, plus this many of their standard deviations.
pub const READY_MEAN_FACTOR: f64 = 1.0;
pub const READY_DEVIATIONS: f64 = 0.5;
/// Boot times vary up to this many times the usual one.
pub const MAX_BOOT_FACTOR: f64 = 1.5;
/// Minimum time between two moves of replicas: a move costs a replica a few seconds, and users
/// count the worst half minute.
pub const MIN_MOVE_INTERVAL_MS: Millis = Millis(30_000);
/// Machines being emptied at once so that they can be returned.
pub const MAX_CLOSING_MACHINES: usize = 2;
/// Seconds of image fetch that weigh as much as a whole free machine.
pub const FETCH_WEIGHT_S: f64 = 20.0;
/// A gang has to have run this long before it is moved to spot machines: users do not count a start
/// that is followed by a stop within half a minute.
pub const MIN_RUN_BEFORE_MOVE_S: f64 = 35.0;
/// Seconds of run time, by its owner's estimate, that a gang must have left to be moved to spot
/// machines: a move costs it some five seconds of progress, and the machines a boot.
pub const MIN_REMAINING_RUN_FOR_MOVE_S: f64 = 40.0;
/// Longest image fetch that a move may wait for, in seconds.
pub const MAX_MOVE_FETCH_S: f64 = 2.0;
/// Machines in a zone at which its prices count double: among equal prices the emptier zone wins.
pub const ZONE_PRICE_DOUBLING_MACHINES: f64 = 1_000.0;
/// An array of which nothing runs after this long gets a machine whatever the control loop's
/// target, in seconds.
pub const STARVATION_S: f64 = 60.0;
/// An array that has waited this long without any task placed gets its first task placed before
/// others, in seconds: under half of the four minutes within which the largest have to begin, since
/// room becomes free only now and then, and what was placed may be preempted by higher ranks.
pub const FIRST_TASK_WAIT_S: f64 = 100.0;
/// Pause before that is repeated if the placed task did not stay, in seconds: each preemption costs
/// another image fetch.
pub const FIRST_TASK_RETRY_S: f64 = 30.0;
/// Weight in a slot's score of reusing a machine that is being emptied, in whole free machines.
pub const REOPEN_WEIGHT: f64 = 3.0;
/// Maximum number of starts per pass, to bound its processor time.
pub const MAX_STARTS_PER_PASS: usize = 200;
/// Searches per pass for tasks to preempt: each goes through every task on every machine.
pub const MAX_PREEMPTION_SEARCHES: usize = 8;
/// Searches per pass for tasks to preempt on machines that have the image of a replica that is
/// down: they skip most machines, and after the loss of a zone some hundred are needed at once.
pub const MAX_IMAGE_SEARCHES: usize = 40;
/// A replica that is down takes the first available room if its image is there within this, in
/// seconds: stopping another task takes two reports, and both lose work. With fetches of 14 s
/// preemption got it up no sooner, with 50 s it did.
pub const MAX_DOWN_REPLICA_FETCH_S: f64 = 25.0;
/// How long after its loss a replica waits for room where its image is instead of fetching it, in
/// seconds and as a part of the fetch time: in that time some task ends on most machines, and if
/// none does the wait costs half as much again as fetching at once.
pub const MAX_DOWN_REPLICA_WAIT_S: f64 = 25.0;
pub const MAX_DOWN_REPLICA_WAIT_SHARE: f64 = 0.5;
/// Searches per pass for a replica that could change its zone, and slots of each kind of machine
/// that each considers.
pub const MAX_EXCHANGE_SEARCHES: usize = 4;
pub const MAX_EXCHANGE_TARGETS: usize = 2;
/// How long a replica has run before it may be moved, in seconds: a start counts for users only if
/// nothing stops it sooner.
pub const MIN_REPLICA_RUN_S: f64 = 30.0;
/// Steps counted per machine for a search for tasks to preempt.
pub const PREEMPTION_SEARCH_STEPS: u64 = 8;
/// Processor time of one step of a placement pass, in nanoseconds, on a machine of 2026.
pub const STEP_NS: f64 = 60.0;
/// Share of this controller's processor that placement may take: reports, renewals and queries
/// need the rest.
pub const MAX_PLACEMENT_CPU_SHARE: f64 = 0.3;
/// Machines per tick for which it is checked whether their services would find room elsewhere.
pub const EMPTYING_CHECKS_PER_TICK: usize = 3;
/// How long a machine that is being cleared for a job is reserved for it.
pub const RESERVATION_TTL_MS: Millis = Millis(20_000);

// --- Cloud ------------------------------------------------------------------

/// Period of machine lists.
pub const LIST_PERIOD_MS: Millis = Millis(4_000);
/// Period of catalogue reads; spot prices change.
pub const CATALOG_PERIOD_MS: Millis = Millis(60_000);
/// Timeout of one call to the cloud.
pub const CLOUD_TIMEOUT_MS: Millis = Millis(5_000);
/// How long a kind of machine that was refused for lack of capacity is not requested.
pub const NO_CAPACITY_PAUSE_MS: Millis = Millis(15_000);
/// Pause after 429, 503 or no answer from the cloud.
pub const CLOUD_PAUSE_MS: Millis = Millis(1_000);
/// Machines hired by one request (protocol: 50). One request after another, each answered in some
/// 0.2 s, hires 6,000 machines in 24 s, less than a boot; the cloud's rate limit mostly allows no
/// more.
pub const MAX_HIRE_MACHINES: u32 = 50;
/// How long a new leader's hires wait for its first list of machines: in an outage of the cloud
/// they would fail as well.
pub const FIRST_LIST_TIMEOUT_MS: Millis = Millis(15_000);
/// Machines released by one request (protocol: 100): 6,000 in a quarter of a minute at 4 requests a
/// second.
pub const MAX_RELEASE_MACHINES: usize = 100;
/// A machine that is not up after this many times its usual boot time is returned.
pub const MAX_BOOT_WAIT_FACTOR: f64 = 4.0;
/// Minimum time that an idle machine is kept after its last task: starts come in bursts, and the
/// first minute is paid for in any case.
pub const MIN_IDLE_KEEP_MS: Millis = Millis(10_000);
/// Minimum charge for a machine (protocol): a younger one is kept, since it is paid for.
pub const MIN_CHARGE_MS: Millis = Millis(60_000);
/// Attempts at a hire whose answer was lost; after that its machines are found in the list.
pub const MAX_HIRE_ATTEMPTS: u32 = 6;
