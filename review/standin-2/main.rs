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
    // A case takes 120 s at most. The controllers end with this process.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs_f64(118.8));
        let _ = std::fs::remove_dir_all(std::env::temp_dir().join(format!("oatloom-review-{}", std::process::id())));
        println!("the case could not run: it took too long");
        exit(2);
    });
    let case = std::panic::catch_unwind(|| cases::run(&arguments[1], std::path::Path::new(&arguments[2]), trouble));
    exit(case.unwrap_or(2));
}
