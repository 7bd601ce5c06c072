//! The account of usage from the command line: all pages of a question, as a table, CSV or JSON.

use crate::constants::*;
use crate::jobs::exit;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::{CellAlignment, Table};
use oatloom_client::controllers::retry_delay;
use oatloom_ledger::query::{UsagePage, UsageRow};
use oatloom_web::client::HttpClient;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// What is asked.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Question {
    #[arg(long)]
    pub team: Option<String>,
    #[arg(long)]
    pub class: Option<String>,
    /// First day, such as 2026-12-01
    #[arg(long, value_name = "DAY")]
    pub from: Option<String>,
    /// Last day
    #[arg(long, value_name = "DAY")]
    pub to: Option<String>,
    /// Write every row there, as CSV; `-` for standard output
    #[arg(long, value_name = "FILE")]
    pub csv: Option<PathBuf>,
}

/// Why there is no account.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    #[error("{0}")]
    Refused(String),
    #[error("no controller can be reached; --controllers says where they are")]
    Unreachable,
    #[error("no answer that counts: {0}")]
    NoAnswer(String),
    #[error("{0}")]
    Write(String),
}

impl UsageError {
    /// What scripts see of it.
    pub fn status(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Unreachable | Self::Write(_) => exit::WRONG,
            Self::NoAnswer(_) => exit::NO_ANSWER,
        }
    }
}

impl Question {
    fn path(&self, after: Option<&str>) -> String {
        let mut query = form_urlencoded::Serializer::new(String::new());
        let given = [
            ("team", self.team.as_deref()),
            ("class", self.class.as_deref()),
            ("from", self.from.as_deref()),
            ("to", self.to.as_deref()),
            ("after", after),
        ];
        for (name, value) in given {
            if let Some(value) = value {
                query.append_pair(name, value);
            }
        }
        format!("/v2/usage?{}", query.finish())
    }

    /// One page, from whichever controller answers.
    fn page(&self, callers: &[HttpClient], after: Option<&str>) -> Result<UsagePage, UsageError> {
        let (began, mut last) = (Instant::now(), None);
        for caller in callers.iter().cycle() {
            let answer = caller.request("GET", &self.path(after), &[]);
            let text = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
            match &answer {
                Some(a) if a.status == 200 => {
                    return serde_json::from_slice(&a.body)
                        .map_err(|e| UsageError::NoAnswer(e.to_string()));
                }
                Some(a) if matches!(a.status, 400 | 404) => {
                    return Err(UsageError::Refused(text(&a.body)));
                }
                Some(a) => last = Some(format!("{} {}", a.status, text(&a.body))),
                None => {}
            }
            let waited = began.elapsed().as_millis() as u64;
            match &last {
                Some(last) if waited >= REQUEST_RETRY_TIMEOUT_MS.0 => {
                    return Err(UsageError::NoAnswer(last.clone()));
                }
                None if waited >= UNREACHABLE_TIMEOUT_MS.0 => return Err(UsageError::Unreachable),
                _ => std::thread::sleep(Duration::from_millis(retry_delay(answer.as_ref()).0)),
            }
        }
        Err(UsageError::Unreachable)
    }

    /// All pages of an answer, one after the other.
    fn pages<E>(
        mut page: impl FnMut(Option<&str>) -> Result<UsagePage, E>,
    ) -> Result<UsagePage, E> {
        let mut all = UsagePage::default();
        let mut after: Option<String> = None;
        loop {
            let next = page(after.as_deref())?;
            all.rows.extend(next.rows);
            all.gaps.extend(next.gaps);
            after = next.next;
            if after.is_none() {
                return Ok(all);
            }
        }
    }

    /// All rows, if the controllers give them at the first try.
    pub fn look(&self, controllers: &[String]) -> Option<UsagePage> {
        let page = |after: Option<&str>| {
            let ask = |a: &String| {
                let caller = HttpClient::new(a, POLL_TIMEOUT_MS, MAX_RESPONSE_BYTES);
                caller.request("GET", &self.path(after), &[]).filter(|a| a.status == 200)
            };
            let answer = controllers.iter().find_map(ask).ok_or(())?;
            serde_json::from_slice(&answer.body).map_err(|_| ())
        };
        Self::pages(page).ok()
    }

    /// All rows.
    ///
    /// # Errors
    /// The question is refused, or no controller answers it.
    pub fn ask(&self, controllers: &[String]) -> Result<UsagePage, UsageError> {
        let caller = |a: &String| HttpClient::new(a, SUBMIT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        let callers: Vec<HttpClient> = controllers.iter().map(caller).collect();
        Self::pages(|after| self.page(&callers, after))
    }
}

/// Rows as CSV, with a line of names.
///
/// # Errors
/// They cannot be written.
pub fn write_csv(rows: &[UsageRow], to: impl Write) -> Result<(), csv::Error> {
    let mut writer = csv::Writer::from_writer(to);
    writer.write_record([
        "day",
        "closed",
        "team",
        "class",
        "flavor",
        "yard",
        "loaners",
        "cause",
        "attempts",
        "heldMs",
        "ranMs",
        "usefulMs",
        "repeatedMs",
        "lostMs",
        "waitedMs",
        "unseenMs",
        "coreMs",
        "gpuMs",
        "gbMs",
        "costMicros",
    ])?;
    for r in rows {
        let l = &r.sums;
        let numbers = [
            l.attempts,
            l.held_ms,
            l.ran_ms,
            l.useful_ms,
            l.repeated_ms,
            l.lost_ms,
            r.waited_ms,
            l.unseen_ms,
            l.core_ms,
            l.gpu_ms,
            l.gb_ms,
            l.cost_micros,
        ];
        let words = [
            r.day.clone(),
            r.closed.to_string(),
            r.team.clone(),
            r.class.clone(),
            r.flavor.clone(),
            r.yard.clone(),
            r.loaners.to_string(),
            r.cause.clone(),
        ];
        writer.write_record(words.into_iter().chain(numbers.map(|n| n.to_string())))?;
    }
    writer.flush()?;
    Ok(())
}

/// Sums by day, team and class, for people.
pub fn table(rows: &[UsageRow]) -> Table {
    let mut sums: BTreeMap<(String, String, String), ([u64; 8], bool)> = BTreeMap::new();
    for r in rows {
        let key = (r.day.clone(), r.team.clone(), r.class.clone());
        let (sum, closed) = sums.entry(key).or_default();
        let l = &r.sums;
        let more = [
            l.attempts,
            l.useful_ms,
            l.repeated_ms,
            l.lost_ms,
            r.waited_ms,
            l.core_ms,
            l.gpu_ms,
            l.cost_micros,
        ];
        sum.iter_mut().zip(more).for_each(|(sum, more)| *sum += more);
        *closed = r.closed;
    }
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header([
        "day",
        "team",
        "class",
        "attempts",
        "useful h",
        "repeated h",
        "lost h",
        "waited h",
        "core h",
        "GPU h",
        "cost",
        "",
    ]);
    for ((day, team, class), (sum, closed)) in sums {
        let hours = |ms: u64| format!("{:.3}", ms as f64 / 3_600_000.0);
        let [attempts, times @ .., cost] = sum;
        let mut row = vec![day, team, class, attempts.to_string()];
        row.extend(times.map(hours));
        row.push(format!("{:.4}", cost as f64 / 1e6));
        row.push(if closed { "closed".into() } else { "open".into() });
        table.add_row(row);
    }
    for column in table.column_iter_mut().skip(3).take(8) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Asks, and writes what was asked for.
///
/// # Errors
/// The question is refused, nobody answers, or the file cannot be written.
pub fn run(question: &Question, controllers: &[String], json: bool) -> Result<u8, UsageError> {
    let page = question.ask(controllers)?;
    let unwritten = |e: &dyn std::fmt::Display| UsageError::Write(format!("cannot write: {e}"));
    match &question.csv {
        Some(path) if path.as_os_str() == "-" => {
            write_csv(&page.rows, std::io::stdout()).map_err(|e| unwritten(&e))?;
        }
        Some(path) => {
            let file = std::fs::File::create(path)
                .map_err(|e| UsageError::Write(format!("{}: {e}", path.display())))?;
            write_csv(&page.rows, file).map_err(|e| unwritten(&e))?;
        }
        None if json => println!("{}", serde_json::json!(page)),
        None => println!("{}", table(&page.rows)),
    }
    for gap in &page.gaps {
        eprintln!("oatloomctl: {gap}: something could not be read and is not in the sums");
    }
    Ok(if page.gaps.is_empty() { exit::GOOD } else { exit::BAD })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rows() -> Vec<UsageRow> {
        let text = r#"{"rows":[{"day":"2026-12-01","closed":false,"team":"a,b","class":"c","flavor":"g",
            "yard":"z","loaners":true,"cause":"done","waitedMs":3,"attempts":2,"heldMs":13,"ranMs":10,
            "usefulMs":10,"repeatedMs":0,"lostMs":0,"unseenMs":0,"coreMs":20,"gpuMs":0,"gbMs":80,
            "costMicros":1500000}]}"#;
        let page: UsagePage = serde_json::from_str(text).unwrap();
        [page.rows.clone(), page.rows].concat()
    }

    /// The table and the file hold the same sums, whatever a team is called.
    #[test]
    fn tables_and_files_hold_the_sums() {
        let mut file = Vec::new();
        write_csv(&rows(), &mut file).unwrap();
        let mut reader = csv::Reader::from_reader(&file[..]);
        let at = reader.headers().unwrap().iter().position(|name| name == "costMicros").unwrap();
        let read: Vec<csv::StringRecord> = reader.records().map(Result::unwrap).collect();
        assert!(read.len() == 2 && read.iter().all(|r| &r[2] == "a,b" && &r[at] == "1500000"));
        let text = table(&rows()).to_string();
        assert!(text.contains("3.0000") && text.contains("a,b") && text.contains("open"), "{text}");
    }

    #[test]
    fn questions_are_escaped() {
        let question = Question {
            team: Some("a b&c".into()),
            class: None,
            from: Some("2026-12-01".into()),
            to: None,
            csv: None,
        };
        let path = question.path(Some("use/020788/a/b"));
        assert_eq!(path, "/v2/usage?team=a+b%26c&from=2026-12-01&after=use%2F020788%2Fa%2Fb");
    }
}
