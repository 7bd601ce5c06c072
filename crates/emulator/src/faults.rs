//! Which faults are active at a time, and what happens to a request while they are. Deterministic.

use oatloom_protocol::ids::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The service that a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    State,
    Cloud,
}

/// A fault of the requests to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceFault {
    /// Answers are delayed by this many milliseconds.
    Slow(u64),
    /// Requests are answered with 503 and not executed.
    Refuse,
    /// Requests are answered with 429 and not executed.
    Throttle,
    /// Requests are executed, and this share of the replies is lost.
    Lose(f64),
    /// This share of the requests is executed after a delay in milliseconds and never answered.
    Late(f64, u64),
    /// Neither requests nor answers are delivered.
    Silent,
}

/// A fault that lasts for some time, or happens once.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A fault of a service, for all controllers or for one.
    OnService { service: Service, service_fault: ServiceFault, controller: Option<usize> },
    /// A controller reaches neither the services nor workers nor other controllers.
    PartitionController(usize),
    /// A zone's workers reach no controller outside it.
    PartitionZone(String),
    /// A controller is killed and restarted after this time; `None`: when its supervisor restarts it.
    CrashController(usize, Option<Millis>),
    /// All controllers are killed at once and restarted after this time; `None` as above.
    CrashAll(Option<Millis>),
    /// The state service is killed and restarted.
    RestartState,
    /// The cloud takes back this many spot machines.
    PreemptSpot(usize),
    /// This many machines are lost without notice.
    MachinesDie(usize),
    /// This many machines hang for the duration of the fault.
    MachinesHang(usize),
    /// Every task fails on one machine from now on.
    MachineFaulty,
    /// This share of a job's attempts fails, on whichever machine.
    JobFails(String, f64),
}

/// A fault with its start and end, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Start.
    pub at: u64,
    /// End.
    pub until: u64,
    pub fault: Fault,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Forwarded after a delay.
    Pass { delay_ms: u64 },
    /// Answered with this status, not executed.
    Refuse(u16),
    /// Executed, but the connection is closed without an answer.
    Lose,
    /// Executed after a delay, without an answer.
    Late { delay_ms: u64 },
    /// Neither executed nor answered.
    Silent,
}

/// All faults that are active now or later.
#[derive(Debug, Default)]
pub struct FaultSet {
    active: Vec<ScheduledFault>,
}

impl FaultSet {
    /// Adds a fault.
    pub fn add(&mut self, scheduled: ScheduledFault) {
        self.active.push(scheduled);
    }

    /// Removes all faults.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Removes faults that have ended.
    pub fn remove_expired(&mut self, now: u64) {
        self.active.retain(|scheduled| now < scheduled.until);
    }

    /// Faults that have started and not ended at `now`.
    fn find_active_faults(&self, now: u64) -> impl Iterator<Item = &Fault> {
        let is_active =
            move |scheduled: &&ScheduledFault| (scheduled.at..scheduled.until).contains(&now);
        self.active.iter().filter(is_active).map(|scheduled| &scheduled.fault)
    }

    /// Decides what happens to a request of a controller to a service. Of several active faults, a silent
    /// one overrides the others, and a refusal with 503 all but a silent one; of the rest, the first one added
    /// applies. Delays add up, and apply only to requests that are passed on.
    pub fn decide(
        &self,
        service: Service,
        controller: usize,
        now: u64,
        rng: &mut ChaCha8Rng,
    ) -> RequestAction {
        let mut total_delay_ms = 0;
        let mut action = None;
        for fault in self.find_active_faults(now) {
            let service_fault = match fault {
                Fault::PartitionController(partitioned) if *partitioned == controller => {
                    ServiceFault::Silent
                }
                Fault::OnService { service: faulty_service, service_fault, controller: target }
                    if *faulty_service == service
                        && target.is_none_or(|target| target == controller) =>
                {
                    *service_fault
                }
                _ => continue,
            };
            match service_fault {
                ServiceFault::Silent => return RequestAction::Silent,
                ServiceFault::Slow(ms) => total_delay_ms += ms,
                ServiceFault::Refuse => action = Some(RequestAction::Refuse(503)),
                ServiceFault::Throttle => action = action.or(Some(RequestAction::Refuse(429))),
                ServiceFault::Lose(share) if rng.random_bool(share) => {
                    action = action.or(Some(RequestAction::Lose));
                }
                ServiceFault::Late(share, delay_ms) if rng.random_bool(share) => {
                    action = action.or(Some(RequestAction::Late { delay_ms }));
                }
                ServiceFault::Lose(_) | ServiceFault::Late(..) => {}
            }
        }
        action.unwrap_or(RequestAction::Pass { delay_ms: total_delay_ms })
    }

    /// Whether a worker's zone and a controller in `controller_zone` cannot reach each other.
    pub fn is_partitioned(
        &self,
        zone: &str,
        controller: usize,
        controller_zone: &str,
        now: u64,
    ) -> bool {
        self.find_active_faults(now).any(|fault| match fault {
            Fault::PartitionController(partitioned) => *partitioned == controller,
            Fault::PartitionZone(partitioned) => {
                (partitioned == zone) != (partitioned == controller_zone)
            }
            _ => false,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn the_most_severe_active_fault_applies() {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut faults = FaultSet::default();
        let build_service_fault = |service_fault, controller| Fault::OnService {
            service: Service::State,
            service_fault,
            controller,
        };
        faults.add(ScheduledFault {
            at: 0,
            until: 100,
            fault: build_service_fault(ServiceFault::Slow(30), None),
        });
        faults.add(ScheduledFault {
            at: 0,
            until: 90,
            fault: build_service_fault(ServiceFault::Slow(20), Some(1)),
        });
        faults.add(ScheduledFault {
            at: 50,
            until: 80,
            fault: build_service_fault(ServiceFault::Refuse, Some(1)),
        });
        faults.add(ScheduledFault { at: 60, until: 70, fault: Fault::PartitionController(1) });
        let mut decide = |node, now| faults.decide(Service::State, node, now, &mut rng);
        assert_eq!(decide(1, 10), RequestAction::Pass { delay_ms: 50 });
        assert_eq!(decide(0, 10), RequestAction::Pass { delay_ms: 30 });
        assert_eq!(
            (decide(1, 55), decide(1, 65)),
            (RequestAction::Refuse(503), RequestAction::Silent)
        );
        assert_eq!(decide(0, 65), RequestAction::Pass { delay_ms: 30 });
        assert_eq!(decide(1, 100), RequestAction::Pass { delay_ms: 0 });
        let cloud = faults.decide(Service::Cloud, 1, 55, &mut rng);
        assert_eq!(cloud, RequestAction::Pass { delay_ms: 0 });
    }

    /// A partitioned zone is still connected within itself.
    #[test]
    fn a_partitioned_zone_reaches_only_itself() {
        let mut faults = FaultSet::default();
        let fault = Fault::PartitionZone("b".into());
        faults.add(ScheduledFault { at: 0, until: 100, fault });
        let is_partitioned =
            |zone, controller_zone| faults.is_partitioned(zone, 0, controller_zone, 50);
        assert!(is_partitioned("b", "a") && is_partitioned("a", "b"));
        assert!(!is_partitioned("b", "b") && !is_partitioned("a", "c"));
    }
}
