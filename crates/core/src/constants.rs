//! Every constant of the scheduler, with its unit and the reason for its value.

use oatloom_protocol::ids::Millis;

// --- Ordinary path (DESIGN) -------------------------------------------------

/// Cores added by one step of the additive increase; the document's α.
pub const ALPHA_CORES: f64 = 5.0;
/// Factor of the multiplicative decrease; the document's β.
pub const BETA: f64 = 0.9;
/// Variance added per tick (σz²), in (core-seconds)²; the document's figure.
pub const PROCESS_VARIANCE: f64 = 0.5;
/// Variance of a measurement (σv²), in (core-seconds)²; the document's figure.
pub const MEASURE_VARIANCE: f64 = 0.5;
/// Cores that a job gets before its first measurement; the document's cap.
pub const UNMEASURED_CAP_CORES: f64 = 10.0;
/// Time left that a job without any deadline is served in, in seconds (DESIGN).
pub const UNDATED_S: f64 = 600.0;
/// Default period of the control loop. DESIGN's 10 s adds one big machine per 100 s, slower than
/// aims of seconds allow; half a second keeps α and reaches a machine of 48 cores in five.
pub const TICK_MS: Millis = Millis(500);
/// Time in which rented cores are cut by β. Additions follow at every tick, but a machine given up
/// too early costs its boot again: cut by β at every half second, machines were returned and hired
/// anew.
pub const CUT_PERIOD_MS: Millis = Millis(5_000);
/// Weight of one task in what is held of its class's misjudged run times: some ten tasks count.
pub const BIAS_GAIN: f64 = 0.1;
/// What is left of a class's longest run, over its estimate, with each further task: a tenth of it
/// is forgotten in some two hundred.
pub const LONGEST_KEPT: f64 = 0.9995;
/// How much of the time that the longest run on beyond the mean is taken off an array's time left.
/// Few tasks are that long; without them counted, large arrays ended just too late.
pub const TAIL_WEIGHT: f64 = 0.5;

// --- Clocks and leadership --------------------------------------------------

/// What a process's steady clock shows at its start: jobs are older than the process that takes
/// them over, and their times must not be cut off at 0 (which slices use for "never").
pub const CLOCK_START_MS: Millis = Millis(1_000_000_000);
/// Bound on the drift between two steady clocks, as a share; twice the protocol's 0.05%.
pub const DRIFT: f64 = 0.001;
/// Time to live of the leader's lease: several renewals may be lost before a takeover, and a
/// takeover is still much quicker than a worker's lease.
pub const LEADER_TTL_MS: Millis = Millis(4_000);
/// Period of lease renewals: three chances within a time to live.
pub const RENEW_MS: Millis = Millis(1_000);
/// Taken off the lease's end, for the time between a check of validity and the answer's last byte
/// on a starved processor.
pub const VALIDITY_MARGIN_MS: Millis = Millis(400);
/// How often a follower re-reads the leader key, should its watch be stuck.
pub const LEADER_POLL_MS: Millis = Millis(3_000);
/// A read of the leader key that has no answer after this long is sent again beside the first: above what answers of the
/// state service take, so often that one of several is answered before [`UP_STORE_SILENCE_MS`], and so rarely that those
/// under way ([`RENEW_TIMEOUT_MS`] each) leave one of [`VITAL_INFLIGHT`] calls to a claim.
pub const READ_AGAIN_MS: Millis = Millis(1_000);
/// Pause after a failed claim, plus up to as much again at random.
pub const CLAIM_PAUSE_MS: Millis = Millis(300);
/// How often an owner of shares looks again at what its plan asks for and what is under way: moves and claims wait for
/// it, and it costs a look at two dozen shares.
pub const OWNERS_AGAIN_MS: Millis = Millis(500);
/// How long a share may be nobody's before whoever sees it claims it: four looks, in which the one whose it should be has
/// written its key.
pub const UNCLAIMED_MS: Millis = Millis(2_000);
/// How long until a share whose owner ended is answered again, in the median, while the state service serves: the rest of
/// the lease, the watch and a write.
pub const ORPHANED_MS: Millis = Millis(LEADER_TTL_MS.0 + OWNERS_AGAIN_MS.0);
/// How long an owner whose lease has ended is not reckoned with: longer than membership takes to miss it, so that its
/// shares are not kept for it meanwhile.
pub const LAPSED_MS: Millis = Millis(10_000);
/// How long one watch is held open.
pub const FOLLOW_HOLD_MS: Millis = Millis(10_000);

// --- Upgrades ---------------------------------------------------------------

/// The version that this program announces: raised with each change of stored forms or messages that an earlier
/// program cannot read.
pub const VERSION_RECORD: u32 = 2;
/// Pause between two looks at the members' versions: an upgrade takes minutes, and a look is one request.
pub const VERSIONS_EVERY_MS: Millis = Millis(1_000);

// --- State service ----------------------------------------------------------

/// Share of the request and change budgets that the leader may use.
pub const LEADER_SHARE: f64 = 0.62;
/// Share of the changes that the leader uses while the service does not object: its peers seldom
/// use theirs, and a fleet that starts waits for assignments to be written.
pub const LEADER_CHANGES: f64 = 0.9;
/// How long the leader keeps to its share once the service has objected.
pub const THROTTLED_MS: Millis = Millis(5_000);
/// Share that each other controller may use; with the leader's and the rest kept for renewals and
/// watches the sum stays under 1 for three controllers.
pub const FOLLOWER_SHARE: f64 = 0.14;
/// Share that all controllers together may use while nobody leads: the rest is kept for leases and watches.
pub const LEADERLESS_SHARE: f64 = 0.9;
/// Changes by which the writer may be ahead of submissions, or behind them: some transactions.
pub const AHEAD_MOST: f64 = 64.0;
/// Answers awaited at once besides the writer's.
pub const STORE_INFLIGHT: usize = 6;
/// Of these, places that users' reads leave to submissions: answers take a few hundred milliseconds at times.
pub const READS_LEAVE: usize = 2;
/// A submission that would wait longer than this for the pacer goes to the leader, which has what others leave of the
/// changes: users want some answered within 200 ms, and the way there and back takes some 10.
pub const HAND_ON_AFTER_MS: Millis = Millis(50);
/// Places in the queue for the pacer that users' reads leave to submissions: as many as are submitted in some ten seconds.
pub const READS_LEAVE_QUEUED: usize = 100;
/// Requests that may wait for the pacer before callers are told to come back.
pub const STORE_QUEUE: usize = 400;
/// How long a request may wait for the pacer before it is given up.
pub const STORE_PATIENCE_MS: Millis = Millis(1_500);
/// Time-out of one call to the state service.
pub const STORE_TIMEOUT_MS: Millis = Millis(2_500);
/// Time-out of a lease renewal. One begins every second, whether or not the one before was answered: an answer that comes
/// later than this is of no use to a lease that counts from its sending.
pub const RENEW_TIMEOUT_MS: Millis = Millis(2_500);
/// Calls about leases and the seat at once: as many renewals as begin within that time-out, and one more.
pub const VITAL_INFLIGHT: usize = 4;
/// Pause after 429 or 503 from the state service, plus up to as much again at random.
pub const STORE_PAUSE_MS: Millis = Millis(250);
/// Rows asked for per page; the service allows 1,000.
pub const PAGE_ROWS: u32 = 500;
/// Pause between two questions for the account of usage, and so between two pages of final states, of 500 each: it is
/// in no hurry, and a starved controller reads a page in some ten milliseconds.
pub const ACCOUNT_PAUSE_MS: Millis = Millis(200);
/// Entries of the account kept for tests; some 300 bytes each.
pub const LATEST_MOST: usize = 64;
/// How long roll-ups give way to ends and assignments at most: they count for the next leader's reading.
pub const POSTPONED_MS: Millis = Millis(20_000);
/// Bytes of values put into one transaction; the service allows 64 KiB in total.
pub const TXN_BYTES: usize = 40 * 1024;
/// Value limit where none is given, in bytes: the smallest seen fit to support before the second version.
pub const VALUE_BYTES: usize = 8 * 1024;
/// Share of the service's value limit that records use: how it writes what it measures is its own affair.
pub const VALUE_SHARE: f64 = 0.92;
/// What is kept free in a record for usage that comes after its assignments, in bytes: one day's joined row.
pub const USAGE_RESERVE_BYTES: usize = 240;
/// More than an assignment takes in a record beside twice the names of machine and zone, in bytes: records that are well
/// within their limit by it are not measured.
pub const ASSIGNMENT_BYTES_MOST: usize = 60;
/// More than a record takes beside assignments, usage and failures, in bytes: done tasks, team and sizes.
pub const CHUNK_HEAD_BYTES: usize = 300;
/// Rows of usage of one day in a final state, and machines that it names as where its job failed, where it has little
/// room.
pub const FINAL_ROWS: usize = 3;
pub const CAUSES_FEW: usize = 6;
/// Items that go into one transaction at most, and transactions in a row that have to be taken before twice as many
/// items are tried again after a refusal.
pub const ITEMS_MOST: usize = 64;
pub const GROW_AFTER: u32 = 8;
/// Pause before what the service refused alone is written again, and the longest such pause: it doubles each time.
pub const REFUSED_PAUSE_MS: Millis = Millis(1_000);
pub const REFUSED_PAUSE_MAX_MS: Millis = Millis(60_000);
/// How long the end of a task may wait to be written: workers keep results meanwhile, further ends
/// of the same job share the write, and the end of the job makes it needless.
pub const LAZY_WRITE_MS: Millis = Millis(4_000);
/// The same for an array of nodes of a graph, whose ends other nodes wait for: with the report period it stays a small
/// part of what nodes take, and ends that come together still share a write.
pub const BATCH_WRITE_MS: Millis = Millis(500);
/// Pause between two questions for what a new leader reads of graphs, after one that failed.
pub const GRAPHS_PAUSE_MS: Millis = Millis(200);
/// Share of the state service's changes in a transaction that graphs' records use: the rest is room for the pages'
/// own head and count.
pub const GRAPH_OPS_KEPT: usize = 2;
/// How much more a machine on which another task of its job is counts, for tasks that are better on unlike ones; as
/// much as a fetch that takes all the time there is.
pub const APART_WEIGHT: f64 = 1.0;
/// Tasks whose assignments share one key: 96 of them stay under 5 KiB as rows, and packed under 1.5 KiB.
pub const CHUNK_TASKS: u32 = 96;

// --- Admission --------------------------------------------------------------

/// How long an input may wait for the core's thread and still be worth an answer: within its caller's time-out, less what
/// the answer itself may take. A load balancer's probe is given up after 1 s, a poll after 2 s, a report after 4 s, a
/// submission after 5 s (protocol); a peer waits for [`ASK_TIMEOUT_MS`].
pub const CONTROL_AGE_MS: Millis = Millis(900);
pub const QUESTION_AGE_MS: Millis = Millis(1_500);
pub const REPORT_AGE_MS: Millis = Millis(3_000);
pub const SUBMISSION_AGE_MS: Millis = Millis(2_500);
pub const FORWARDED_AGE_MS: Millis = Millis(600);
/// Over how many seconds those are spread who are told to come back: as long as polls are apart.
pub const RETRY_SPREAD_S: u32 = 5;

// --- Users ------------------------------------------------------------------

/// How long a question may wait for the leader before the store is read instead.
pub const ASK_TIMEOUT_MS: Millis = Millis(700);
/// After this long a waiting user request is answered 503; users wait 2 s for most answers.
pub const REQUEST_PATIENCE_MS: Millis = Millis(1_700);
/// Final states remembered by each controller, so that polls need no read; about 4 MB. At 6,000 machines, on which some 12 jobs
/// end a second, those of the last half hour.
pub const OVER_CACHE: usize = 20_000;
/// Dependencies that a record holds as their ids; more are kept in the short form.
pub const DEPENDENCIES_AS_TEXT: usize = 16;
/// Jobs that an answer about a waiting one names as what it waits for: some 300 bytes.
pub const SHOWN_DEPENDENCIES: usize = 20;
/// Accepted jobs remembered by each controller, so that submissions that name them need no read; about 1 MB.
pub const ACCEPTED_CACHE: usize = 20_000;
/// How often the leader looks for dependencies of waiting jobs that it has to read: a small part of what a read takes
/// beside the other work.
pub const DEPENDENCY_LOOK_MS: Millis = Millis(50);
/// Final records of dependencies read at once: leases and the writer's transactions go beside them.
pub const DEPENDENCY_READS_MOST: usize = 4;
/// When a dependency's final record that was not there is read again. Its job is open, and is known here once its
/// acceptance has come by the watch.
pub const DEPENDENCY_RETRY_MS: Millis = Millis(1_000);
/// Requests from users under way at once, as a share of the connections, and at least; beyond it they are told to come back.
/// With the leader away each waits for [`ASK_TIMEOUT_MS`]: at 6,000 machines 1,250 polls a second are 875 at once.
pub const USER_INFLIGHT_SHARE: f64 = 0.5;
pub const USER_INFLIGHT_LEAST: usize = 600;
/// A node whose store calls all failed for this long says so at `/up` if a peer is better off.
pub const UP_STORE_SILENCE_MS: Millis = Millis(6_000);

/// After so long without an answer of the leader to any question a controller says that it cannot take requests: well
/// under the 75 s in which each job has to be answered for, and above what a cut between controllers mostly lasts.
pub const APART_MS: Millis = Millis(30_000);
/// Questions that failed further apart than this do not make one time without an answer: above the period of greetings to a
/// peer that is taken to be gone.
pub const APART_GAP_MS: Millis = Millis(15_000);
/// How long that holds after the last one that did not come back: some greetings.
pub const APART_FRESH_MS: Millis = Millis(10_000);
/// How often it is looked whom to greet: a quarter of the period of greetings.
pub const GREET_LOOK_MS: Millis = Millis(500);
/// How long an answer to what was only said is waited for; the mesh answers within milliseconds, or its connection is
/// tried for about as long.
pub const TOLD_PATIENCE_MS: Millis = Millis(1_500);
/// How long a peer that did not answer is not asked for users: the state service is read at once instead.
pub const CUT_PAUSE_MS: Millis = Millis(2_000);

/// Period of the leader's notes to its peers.
pub const NOTES_EVERY_MS: Millis = Millis(3_000);
/// Machines whose images one note tells of, at least.
pub const NOTES_MACHINES: usize = 150;
/// Notes in which the whole fleet is told of: half of [`NOTES_OLD_MS`], so that one note may be lost for each that comes.
pub const NOTES_ROUND: usize = 10;
/// Bytes of images in one note, at most, as they are in a frame: half of the largest frame that any version reads, 256 KiB. At
/// 6,000 machines a note tells of 600, and so of five images of 40 bytes each before it is cut short.
pub const NOTES_BYTES: usize = 128 * 1024;
/// Bytes that a machine's name and an image take in a frame, beyond the image's name.
pub const NOTES_MACHINE_BYTES: usize = 24;
pub const NOTES_IMAGE_BYTES: usize = 16;
/// Machines of which a follower keeps what it was told, a few hundred bytes each: 6,000 at once, and as many that came in their
/// places during the leader's term.
pub const NOTES_MACHINES_KEPT: usize = 12_000;
/// Notes older than this are of no use to a new leader.
pub const NOTES_OLD_MS: Millis = Millis(60_000);
/// How fresh a leader's answer must be to show that only this node is refused.
pub const UP_TOLD_MS: Millis = Millis(2_000);

// --- Workers ----------------------------------------------------------------

/// Orders in one answer: far below a line of 64 KiB.
pub const MAX_ORDERS: usize = 300;
/// A worker gives up on an answer after this long (protocol).
pub const REPORT_DROP_MS: Millis = Millis(4_000);
/// How long the answer to a report may wait for something to say: with what is lost on the way and
/// on a slow processor it still comes well before its worker gives up.
pub const PARK_MS: Millis = Millis(2_800);
/// Parked reports that are answered by one event at most: a new leader has thousands to answer once its book is read, and its
/// lease is renewed between events. At some 50 µs each it is 10 ms of a whole processor.
pub const PARKED_AT_ONCE: usize = 200;
/// How often all parked reports are looked at, whether or not anything is known to have changed for them: one look costs well
/// under a microsecond, so that 6,000 cost about a hundredth of a processor.
pub const PARKED_SWEEP_MS: Millis = Millis(500);
/// So many parked reports are all looked at with every event: some 50 µs, as much as a report costs.
pub const PARKED_FEW: usize = 64;
/// How often those are looked at that wait for a write or a stop.
pub const PARKED_LOOK_MS: Millis = Millis(50);
/// Answers wait where users want a class started within this many report periods: else starts are
/// not what is late.
pub const EAGER_REPORTS: f64 = 1.75;
/// Direct commands under way at once, and threads that send them: enough for the tasks of a few
/// gangs; each costs a socket and, while it waits, a small stack. They need not grow with machines: a command that is answered
/// takes some milliseconds, so that six threads send a thousand a second; and reports carry the same stops.
pub const COMMANDS_MOST: usize = 24;
pub const COMMAND_THREADS: usize = 6;
/// Of these, how many may be taken by machines that do not report: half of the threads, so that their time-outs keep
/// nothing urgent waiting.
pub const OVERDUE_COMMANDS_MOST: usize = 3;
/// Report periods without a report after which a machine is told directly to stop what belongs to jobs that are over: a
/// report comes within one and a quarter.
pub const OVERDUE_REPORTS: f64 = 1.5;
/// Time-out of a direct command: what it says goes with the answer to the next report in any case.
pub const COMMAND_TIMEOUT_MS: Millis = Millis(800);
/// Beyond a worker's lease and drift: a worker looks at its lease now and then, and stops its tasks one by one.
pub const LEASE_SLACK_MS: Millis = Millis(500);
/// Answers in a row that a machine has not heard after which what was not started there goes elsewhere: one is lost now
/// and then.
pub const UNHEARD_MOST: u32 = 2;
/// How long such a machine gets nothing new: short, since a leader whose answers all come too late takes every machine
/// for deaf.
pub const UNHEARD_PAUSE_MS: Millis = Millis(10_000);
/// Missed reports (in report periods) after which a machine is taken for lost and released.
pub const SILENT_REPORTS: f64 = 3.5;
/// Share of that patience after which a machine counts as silent when a cut is looked for.
pub const EARLY_SILENCE: f64 = 0.6;
/// The same for a machine of which the cloud had given notice: it is gone most likely.
pub const TAKEN_REPORTS: f64 = 1.7;
/// A worker may need this long to find a new leader: a time-out, then a try per second.
pub const REDIRECT_S: f64 = 8.0;
/// A worker that comes back this soon after it was sent to the leader could not reach it.
pub const COME_BACK_MS: Millis = Millis(12_000);
/// How long such a worker's reports are passed on before it is sent to the leader again.
pub const RELAY_MS: Millis = Millis(15_000);
/// Workers whose reports are passed on at their first visit: a few need it at once, a fleet that
/// comes by after an outage does not. Those that come back are passed on however many they are.
pub const RELAY_AT_ONCE: usize = 40;
/// How long a leader that refused a report, or could not be reached, is not asked again.
pub const LINE_PAUSE_MS: Millis = Millis(1_000);
/// How often workers that stayed away are forgotten.
pub const RELAY_SWEEP_MS: Millis = Millis(1_000);
/// Period of the log's line on what came in.
pub const TRAFFIC_EVERY_MS: Millis = Millis(5_000);
/// Failures of different jobs that make a machine faulty.
pub const FAULTY_ERRORS: usize = 2;
/// A job that failed on this many machines is taken to be at fault itself.
pub const OWN_FAULT_HOSTS: usize = 3;
/// Pause before a job that failed is tried again; doubles with each failure.
pub const ERROR_PAUSE_MS: Millis = Millis(2_000);
/// Longest such pause.
pub const ERROR_PAUSE_MAX_MS: Millis = Millis(60_000);
/// A task that has run so long shows that its job was not submitted with a mistake.
pub const SOUND_RUN_MS: Millis = Millis(30_000);
/// Machines that a final answer names as where a job failed.
pub const CAUSES_MOST: usize = 20;
/// Pause of a machine that refused a start for want of room: its next reports show why.
pub const NO_ROOM_PAUSE_MS: Millis = Millis(5_000);
/// Names of released machines are kept this long, to know their late reports.
pub const TOMBSTONE_MS: Millis = Millis(600_000);

// --- Placement --------------------------------------------------------------

/// Least time between two placement passes: batches what changes together.
pub const PLACE_EVERY_MS: Millis = Millis(150);
/// A job that can meet none of its aims any more is placed as if it had to start this long after
/// its submission, in seconds: after those that still can, yet ahead of ever newer ones.
pub const LATE_AFTER_S: f64 = 300.0;
/// How far back arrivals are counted when room is kept ready for a class, in seconds.
pub const ARRIVAL_WINDOW_S: f64 = 180.0;
/// Arrivals of a class within this span count up to the number below.
pub const ARRIVAL_BUCKET_MS: Millis = Millis(10_000);
/// The most arrivals of a class that count within one span.
pub const ARRIVAL_BUCKET_MOST: u32 = 2;
/// Room kept ready for a class that users want started sooner than a machine boots: this many times
/// the arrivals expected while one boots, plus this many of their standard deviations.
pub const READY_MEAN: f64 = 1.0;
pub const READY_DEVIATIONS: f64 = 0.5;
/// Boot times vary up to this many times the usual one.
pub const BOOT_SPREAD: f64 = 1.5;
/// Least time between two moves of replicas: a move costs a replica a few seconds, and users count
/// the worst half minute.
pub const MOVE_EVERY_MS: Millis = Millis(30_000);
/// Machines being emptied at once so that they can be returned.
pub const CLOSING_MOST: usize = 2;
/// Seconds of fetching that weigh as much as a whole machine left over.
pub const FETCH_WEIGHT_S: f64 = 20.0;
/// A gang has to have run this long before it is moved to cheap machines: users do not count a start
/// that is followed by a stop within half a minute.
pub const MOVE_SETTLED_S: f64 = 35.0;
/// A move costs a gang some five seconds of progress, and cheap machines their boot: so much of its
/// run has to be left, by its owner's estimate.
pub const MOVE_WORTH_S: f64 = 40.0;
/// Longest fetch that a move may wait for.
pub const MOVE_FETCH_S: f64 = 2.0;
/// Machines in a zone that make its prices count double: among equal prices the emptier zone wins.
pub const ZONE_EVENNESS: f64 = 1_000.0;
/// An array of which nothing runs after this long gets a machine whatever the loop's target, in
/// seconds.
pub const STARVED_S: f64 = 60.0;
/// An array that has waited so long without any task given a place gets one for its first task before others, in seconds:
/// under half of the four minutes within which the largest have to begin, since room falls free only now and then, and
/// what was placed may be stopped for higher ranks.
pub const BEGIN_S: f64 = 100.0;
/// How soon that comes again if what was placed did not stay, in seconds: what makes way and comes back costs fetches.
pub const BEGIN_AGAIN_S: f64 = 30.0;
/// What using a machine again that is being emptied weighs, in whole machines left over.
pub const REOPEN_WEIGHT: f64 = 3.0;
/// Starts decided in one pass, to bound its processor time.
pub const PLACE_BATCH: usize = 200;
/// Searches in one pass for work that could make room: each looks at every task on every machine.
pub const MAKE_ROOM_MOST: usize = 8;
/// Searches in one pass for work that could make room where the image of a replica is that is down: they pass over most
/// machines, and after the loss of a zone there are some hundred of them at once.
pub const IMAGE_SEARCHES_MOST: usize = 40;
/// A replica that is down takes the first room there is if its image is there within this, in seconds: stopping another
/// task takes two reports, and both lose work. With fetches of 14 s it was up no sooner elsewhere, with 50 s it was.
pub const DOWN_FETCH_S: f64 = 25.0;
/// How long after its loss a replica waits for room where its image is rather than fetch it, at most, in seconds, and as a
/// part of the fetch: in so long some task ends on most machines, and it costs half as much again as fetching at once if
/// none does.
pub const DOWN_WAIT_S: f64 = 25.0;
pub const DOWN_WAIT_PART: f64 = 0.5;
/// Searches in one pass for a replica that could change its zone, and slots of each kind of machine that are looked at.
pub const EXCHANGE_SEARCHES_MOST: usize = 4;
pub const EXCHANGE_TARGETS: usize = 2;
/// How long a replica has run before it may be moved, in seconds: a start counts for users only if nothing stops it sooner.
pub const SETTLED_S: f64 = 30.0;
/// What a search for work that could make room costs per machine, in looks at a machine.
pub const VICTIM_STEPS: u64 = 8;
/// Processor time of one look at a machine in a placement pass, in nanoseconds, measured on a
/// machine of 2026.
pub const STEP_NS: f64 = 60.0;
/// Share of this controller's processor that placement may take: reports, renewals and questions
/// need the rest.
pub const PLACE_SHARE: f64 = 0.3;
/// Machines of which a tick asks whether their services would find room elsewhere.
pub const EMPTY_TRIES: usize = 3;
/// A machine that is being cleared for a job is kept for it this long.
pub const RESERVE_MS: Millis = Millis(20_000);

// --- Cloud ------------------------------------------------------------------

/// Period of machine lists.
pub const LIST_EVERY_MS: Millis = Millis(4_000);
/// Period of catalogue reads; spot prices move.
pub const CATALOG_EVERY_MS: Millis = Millis(60_000);
/// Time-out of one call to the cloud.
pub const CLOUD_TIMEOUT_MS: Millis = Millis(5_000);
/// Pause of a kind of machine that was refused for want of capacity.
pub const NO_CAPACITY_PAUSE_MS: Millis = Millis(15_000);
/// Pause after 429, 503 or no answer from the cloud.
pub const CLOUD_PAUSE_MS: Millis = Millis(1_000);
/// Machines hired by one request (protocol: 50). One request after another, each answered in some 0.2 s, hires 6,000 machines
/// in 24 s, less than a boot; the cloud's rate mostly allows no more.
pub const HIRE_MOST: u32 = 50;
/// How long a new leader's hires wait for its first list of machines: in an outage of the cloud they would fail as well.
pub const FIRST_LIST_MS: Millis = Millis(15_000);
/// Machines released by one request (protocol: 100): 6,000 in a quarter of a minute at 4 requests a second.
pub const RELEASE_MOST: usize = 100;
/// A machine that is not up after this many times its usual boot time is returned.
pub const BOOT_PATIENCE: f64 = 4.0;
/// An idle machine is kept at least this long after its last task: starts come in bursts, and the
/// first minute is paid for in any case.
pub const IDLE_KEEP_MS: Millis = Millis(10_000);
/// What a machine costs at least (protocol): one that is younger is kept, since it is paid for.
pub const LEAST_CHARGE_MS: Millis = Millis(60_000);
/// Attempts at a hire whose answer was lost, before the list is left to show the machines.
pub const HIRE_TRIES: u32 = 6;
