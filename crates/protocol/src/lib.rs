//! Identifiers, units and wire types of oatloom's interfaces to users, workers, the cloud and the state service, and the
//! types of the platform's settings. Wire names are defined in this crate only.

pub mod constants;
pub mod ids;
pub mod reply;
pub mod settings;
pub mod wire;
