//! Settings of a region on one machine: sizes, times and limits, read from an S-expression.

use crate::constants::*;
use oatloom_protocol::ids::{Member, Zone};
use oatloom_protocol::settings::InvalidField;
use oatloom_protocol::wire::Flavor;
use serde::Deserialize;
use std::fmt::Write;

/// Settings of a region. Every field has a default; unknown fields are refused.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LocalSettings {
    /// Port of the first controller; 0: any free ports.
    pub port: u16,
    /// Maximum number of machines of each price kind (spot or ordinary) in a zone.
    pub machines: u32,
    /// Size of the larger machine type; the smaller one has half of it.
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    /// Usual boot time of a machine, in seconds.
    pub boot_s: f64,
    /// Time limits of the worker protocol, in seconds: `facts.workers` in the settings of the controllers.
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    /// Minimum age of a returned machine list, in seconds; the maximum is twice that.
    pub list_lag_s: f64,
    /// Objective for the time within which jobs of class `quick` are finished, in seconds; twice that for `slow`. Without an
    /// objective an array may take ten minutes, and no machine is rented to finish it sooner.
    pub finish_s: f64,
    /// Requests and writes per second that the state service accepts.
    pub state_rps: f64,
    pub write_rps: f64,
    /// Names of the teams; the first has a limit on its GPUs.
    pub teams: Vec<String>,
    /// Maximum number of GPUs that the first team may use; 0: no limit.
    pub gpus_max: f64,
}

impl Default for LocalSettings {
    fn default() -> Self {
        Self {
            port: FIRST_CONTROLLER_PORT,
            machines: 4,
            cpus: 32.0,
            gpus: 4.0,
            memory_gb: 128.0,
            boot_s: 2.0,
            report_s: 1.0,
            lease_s: 10.0,
            cancel_s: 20.0,
            gang_wait_s: 12.0,
            gang_peer_s: 2.0,
            list_lag_s: 1.0,
            finish_s: 12.0,
            state_rps: 400.0,
            write_rps: 100.0,
            teams: vec!["red".into(), "blue".into()],
            gpus_max: 14.0,
        }
    }
}

/// The zone of each controller by index; the cloud has the same zones.
pub const ZONES: [&str; CONTROLLER_COUNT] = ["a", "b", "c"];

/// The name of the controller with this index.
pub fn controller_name(controller: usize) -> Member {
    Member::new(&format!("loomer-{controller}"))
}

/// Addresses in the settings of a controller.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Its listening address for users and workers.
    pub serve: String,
    /// Its listening address for other controllers.
    pub mesh: String,
    /// Addresses at which it reaches the other controllers, by index.
    pub peers: Vec<String>,
    /// Address at which it reaches the state service.
    pub state: String,
    /// Address at which it reaches the cloud.
    pub cloud: String,
}

impl LocalSettings {
    /// Reads and checks an S-expression.
    ///
    /// # Errors
    /// The text is not an S-expression, names an unknown field, or a value is out of its range.
    pub fn parse(text: &str) -> Result<Self, InvalidField> {
        let local: Self = serde_lexpr::from_str(text)
            .map_err(|e| InvalidField::new("the region's file", &e.to_string()))?;
        local.check()?;
        Ok(local)
    }

    fn check(&self) -> Result<(), InvalidField> {
        let ranges = [
            ("machines", f64::from(self.machines), 1.0, 100.0),
            ("cpus", self.cpus, 1.0, 1_000.0),
            ("gpus", self.gpus, 0.0, 64.0),
            ("memory-gb", self.memory_gb, 1.0, 10_000.0),
            ("boot-s", self.boot_s, 0.1, 600.0),
            ("report-s", self.report_s, 0.5, 60.0),
            ("lease-s", self.lease_s, 6.0, 600.0),
            ("cancel-s", self.cancel_s, 6.0, 1_200.0),
            ("gang-wait-s", self.gang_wait_s, 1.0, 600.0),
            ("gang-peer-s", self.gang_peer_s, 0.5, 60.0),
            ("list-lag-s", self.list_lag_s, 0.1, 60.0),
            ("finish-s", self.finish_s, 1.0, 3_600.0),
            ("state-rps", self.state_rps, 30.0, 100_000.0),
            ("write-rps", self.write_rps, 20.0, 100_000.0),
            ("gpus-max", self.gpus_max, 0.0, 100_000.0),
        ];
        for (name, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                return Err(InvalidField::new(name, &format!("must be from {min} to {max}")));
            }
        }
        if self.lease_s + 2.0 * self.report_s > self.cancel_s {
            return Err(InvalidField::new("cancel-s", "must be above lease-s and two reports"));
        }
        if self.port > 65_000 {
            return Err(InvalidField::new("port", "must be at most 65000"));
        }
        let is_valid_name = |t: &String| t.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        if self.teams.is_empty() || !self.teams.iter().all(is_valid_name) {
            return Err(InvalidField::new("teams", "must be names of letters, digits and dashes"));
        }
        Ok(())
    }

    /// The machine types of the emulated cloud.
    pub fn flavors(&self) -> Vec<Flavor> {
        let make_flavor = |label: &str, share: f64| Flavor {
            label: label.into(),
            cpus: self.cpus * share,
            gpus: self.gpus * share,
            memory_gb: self.memory_gb * share,
            cache_gb: 100.0,
            fetch_gb_per_s: 4.0,
            price: 4.0 * share,
            spot_price: 1.6 * share,
            boot_s: self.boot_s,
            zones: ZONES.iter().map(|zone| Zone::new(zone)).collect(),
        };
        vec![make_flavor("whole", 1.0), make_flavor("half", 0.5)]
    }

    /// The settings file of a controller.
    pub fn controller_settings(&self, index: usize, addresses: &[Addresses]) -> String {
        let mut text = format!(
            "member = \"{}\"\nlocation = \"{}\"\nserve_on = \"{}\"\nmesh_addr = \"{}\"\n",
            controller_name(index),
            ZONES[index],
            addresses[index].serve,
            addresses[index].mesh
        );
        for (peer, address) in
            addresses[index].peers.iter().enumerate().filter(|(peer, _)| *peer != index)
        {
            let _ = write!(
                text,
                "\n[[peers]]\nmember = \"{}\"\nlocation = \"{}\"\npeer_addr = \"{}\"\n",
                controller_name(peer),
                ZONES[peer],
                address
            );
        }
        let _ = write!(
            text,
            "\n[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n\n[facts]\nzones = {ZONES:?}\n\
             clock_off_ms = 25.0\n",
            addresses[index].cloud, addresses[index].state
        );
        for (team_index, team) in self.teams.iter().enumerate() {
            let gpus_max = if team_index == 0 { self.gpus_max } else { 0.0 };
            let _ = write!(text, "\n[[facts.teams]]\nname = \"{team}\"\ngpus_max = {gpus_max:?}\n");
        }
        let _ = write!(
            text,
            "\n[[facts.objectives]]\nkind = \"wait\"\nclass = \"quick\"\nwithin_s = 5.0\n\
             \n[[facts.objectives]]\nkind = \"finished\"\nclass = \"quick\"\nwithin_s = {:?}\n\
             \n[[facts.objectives]]\nkind = \"finished\"\nclass = \"slow\"\nwithin_s = {:?}\n\
             \n[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\n\
             gang_peer_s = {:?}\ncancel_s = {:?}\n\n[facts.state]\nrps = {:?}\nwrite_rps = {:?}\n\
             value_kb = 16.0\ntxn_ops = 20\n\n[facts.cloud]\nrps = 6.0\nlist_lag_s = {:?}\n\
             \n[facts.limits]\ncpu_share = 1.0\nmemory_mb = 200.0\nsockets = 1000\n",
            self.finish_s,
            self.finish_s * 2.0,
            self.report_s,
            self.lease_s,
            self.gang_wait_s,
            self.gang_peer_s,
            self.cancel_s,
            self.state_rps,
            self.write_rps,
            self.list_lag_s
        );
        text
    }

    /// The settings file of the state service.
    pub fn state_settings(&self) -> String {
        format!("((rps . {:?}) (write-rps . {:?}))\n", self.state_rps, self.write_rps)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// `deploy/local.lisp` has the default values, and an error names the field that is invalid.
    #[test]
    fn the_shipped_file_is_the_default() {
        let shipped = include_str!("../../../deploy/local.lisp");
        assert_eq!(LocalSettings::parse(shipped).unwrap(), LocalSettings::default());
        for (text, field) in [
            ("((lease-s . 1))", "lease-s"),
            ("((cancel-s . 11))", "cancel-s"),
            ("((machines . 0))", "machines"),
            ("((teams . (\"a b\")))", "teams"),
            ("((novel . 1))", "novel"),
        ] {
            let message = LocalSettings::parse(text).unwrap_err().to_string();
            assert!(message.contains(field) && !message.contains('\n'), "{message}");
        }
    }
}
