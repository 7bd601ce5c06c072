//! Tests of the programs as users run them: a region on this machine, a job until it is done, a restart with the same
//! state, and errors of one line. Rehearsals with faults are left to `oatloomctl suite`.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn run_ctl(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oatloomctl"));
    command.args(arguments).env("LOG_LEVEL", "error").stdin(Stdio::null());
    command.output().expect("oatloomctl")
}

struct Region {
    child: Child,
    controllers: String,
    region_address: String,
}

impl Region {
    fn start(file: &Path, data: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_oatloomctl"))
            .args(["up", "--file"])
            .arg(file)
            .arg("--data")
            .arg(data)
            .arg("--operators")
            .arg(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/ledger.sample.lisp"))
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("started");
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let mut read_value = |name: &str| {
            let line = lines.next().expect("a line").expect("text");
            line.strip_prefix(name).unwrap_or_else(|| panic!("{line}")).to_owned()
        };
        let (controllers, region_address) = (read_value("controllers: "), read_value("region: "));
        std::thread::spawn(move || lines.for_each(drop));
        Self { child, controllers, region_address }
    }

    /// Stops the region with SIGINT, as Ctrl-C does.
    fn stop(mut self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-INT", &id]).status().expect("kill").success());
        let started = Instant::now();
        while self.child.try_wait().expect("its status").is_none() {
            assert!(started.elapsed() < Duration::from_secs(10), "the region does not stop");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn run_json(&self, arguments: &[&str]) -> (i32, String) {
        let options = ["--controllers", &self.controllers, "--json"];
        let output = run_ctl(&[arguments, &options].concat());
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code().unwrap_or(-1), text)
    }
}

#[test]
fn a_region_finishes_a_job_and_continues_after_a_restart() {
    let data = tempfile::tempdir().expect("a directory");
    let (file, data_directory) = (data.path().join("local.lisp"), data.path().join("region"));
    std::fs::write(&file, "((port . 0) (boot-s . 0.5))").expect("written");
    let region = Region::start(&file, &data_directory);
    let job = [
        "submit",
        "--shape",
        "array",
        "--tasks",
        "3",
        "--estimate-s",
        "0.5",
        "--wait",
        "--id",
        "req-1",
        "--region",
        &region.region_address,
    ];
    let (status, text) = region.run_json(&job);
    assert_eq!(status, 0, "{text}");
    assert!(text.lines().last().is_some_and(|l| l.contains(r#""status":"done""#)), "{text}");
    let service =
        ["submit", "--shape", "service", "--id", "req-2", "--region", &region.region_address];
    assert_eq!(region.run_json(&service).0, 0);
    let (status, text) = region.run_json(&[
        "submit",
        "--shape",
        "gang",
        "--gpus",
        "99",
        "--region",
        &region.region_address,
    ]);
    assert!(status == 1 && text.contains("422"), "{status} {text}");
    assert_eq!(region.run_json(&["status", "req-404"]).0, 1);
    assert_eq!(
        run_ctl(&["fault", "(crash-all)", "--region", &region.region_address]).status.code(),
        Some(0)
    );
    assert_eq!(
        run_ctl(&["fault", "(explode)", "--region", &region.region_address]).status.code(),
        Some(2)
    );
    region.stop();

    let region = Region::start(&file, &data_directory);
    let (status, text) = region.run_json(&["status", "req-1"]);
    assert!(status == 0 && text.contains(r#""status":"done""#), "{status} {text}");
    // The new leader accounts for jobs that finished before its term.
    let started = Instant::now();
    let has_recorded_usage =
        |text: &str| text.contains(r#""cause":"done""#) && text.contains(r#""team":"red""#);
    while !has_recorded_usage(&region.run_json(&["usage", "--team", "red"]).1) {
        assert!(started.elapsed() < Duration::from_secs(30), "no usage is recorded");
        std::thread::sleep(Duration::from_millis(200));
    }
    let (status, text) = region.run_json(&["usage", "--team", "blue"]);
    assert!(status == 0 && text.contains(r#""rows":[]"#), "{status} {text}");
    assert_eq!(region.run_json(&["usage", "--from", "soon"]).0, 2);
    // Its machines are new and fetch job descriptions that were uploaded before the restart.
    let started = Instant::now();
    while !region.run_json(&["status", "req-2"]).1.contains(r#""status":"running""#) {
        assert!(started.elapsed() < Duration::from_secs(30), "the service does not run again");
        std::thread::sleep(Duration::from_millis(200));
    }
    let (status, text) = region.run_json(&["abort", "req-2"]);
    assert!(status == 0 && text.contains(r#""status":"cancelled""#), "{status} {text}");
    region.stop();
}

/// Invalid arguments and files give one line of error text and exit code 2.
#[test]
fn invalid_arguments_give_an_error_of_one_line() {
    let data = tempfile::tempdir().expect("a directory");
    let path = |name: &str| data.path().join(name).display().to_string();
    let write = |name: &str, text: &str| std::fs::write(path(name), text).expect("written");
    write("bad.lisp", "((lease-s . 1))");
    write("times.lisp", "(at 1 crash-all)\n(at 2 state-explode)\n");
    write("job.json", "{\"nameId\": 1}");
    let cases: &[(&[&str], &str)] = &[
        (&["up", "--file", "/no/such"], "/no/such: cannot be read"),
        (&["up", "--file", &path("bad.lisp")], "lease-s: must be"),
        (&["up", "--timetable", &path("times.lisp")], "line 2: unknown fault state-explode"),
        (&["up", "--data", &path("job.json")], "job.json"),
        (&["suite", "--timetable", &path("times.lisp")], "line 2: unknown fault state-explode"),
        (&["submit"], "described by a file or by --shape"),
        (&["submit", &path("job.json")], "job.json: "),
        (&["submit", "--shape", "array", "--tasks", "0"], "shards must be"),
        (&["status", "nonsense"], "an id is"),
        (&["status", "req-1", "--controllers", "127.0.0.1:1"], "no controller can be reached"),
        (&["usage", "--controllers", "127.0.0.1:1"], "no controller can be reached"),
        (&["fault", "crash-all", "--region", "127.0.0.1:1"], "no region answers"),
    ];
    std::thread::scope(|scope| {
        for (arguments, expected) in cases {
            scope.spawn(move || {
                let output = run_ctl(arguments);
                let text = String::from_utf8_lossy(&output.stderr).into_owned();
                assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
                assert!(text.contains(expected) && text.trim_end().lines().count() == 1, "{text}");
            });
        }
    });
    assert_eq!(run_ctl(&["dance"]).status.code(), Some(2));
}
