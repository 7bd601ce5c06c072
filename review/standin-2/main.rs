//! Stand-ins for the state service, the cloud, workers, users and links between controllers, after PROTOCOL-oatloom.md,
//! and the cases 4 to 8 of the review, one sub-command each. Standard library only; loopback addresses only.

mod cases;
mod cloud;
mod http;
mod json;
mod region;
mod state;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() != 3 {
        eprintln!("usage: review-2 CASE DIRECTORY");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    exit(cases::run(&arguments[1], std::path::Path::new(&arguments[2]), trouble));
}
