//! Usage queries from the command line: all pages of the result, as a table, CSV or JSON.

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

/// Filters of a usage query, and where the rows are written.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct UsageQuery {
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
    /// Write every row to this file as CSV; `-` for standard output
    #[arg(long, value_name = "FILE")]
    pub csv: Option<PathBuf>,
}

/// Why a usage query failed.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    #[error("{0}")]
    Refused(String),
    #[error("no controller can be reached; --controllers says where they are")]
    Unreachable,
    #[error("no usable answer from any controller: {0}")]
    NoAnswer(String),
    #[error("{0}")]
    Write(String),
}

impl UsageError {
    /// The exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Unreachable | Self::Write(_) => exit::USAGE_ERROR,
            Self::NoAnswer(_) => exit::NO_ANSWER,
        }
    }
}

impl UsageQuery {
    /// The request path with the filters as query parameters; `after` is the position of the next page.
    fn build_path(&self, after: Option<&str>) -> String {
        let mut query = form_urlencoded::Serializer::new(String::new());
        let parameters = [
            ("team", self.team.as_deref()),
            ("class", self.class.as_deref()),
            ("from", self.from.as_deref()),
            ("to", self.to.as_deref()),
            ("after", after),
        ];
        for (name, value) in parameters {
            if let Some(value) = value {
                query.append_pair(name, value);
            }
        }
        format!("/v2/usage?{}", query.finish())
    }

    /// Fetches one page, trying the controllers in turn until one answers.
    fn fetch_page(
        &self,
        clients: &[HttpClient],
        after: Option<&str>,
    ) -> Result<UsagePage, UsageError> {
        let (started, mut last_error) = (Instant::now(), None);
        for client in clients.iter().cycle() {
            let response = client.request("GET", &self.build_path(after), &[]);
            let decode_body = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
            match &response {
                Some(response) if response.status == 200 => {
                    return serde_json::from_slice(&response.body)
                        .map_err(|e| UsageError::NoAnswer(e.to_string()));
                }
                Some(response) if matches!(response.status, 400 | 404) => {
                    return Err(UsageError::Refused(decode_body(&response.body)));
                }
                Some(response) => {
                    last_error =
                        Some(format!("{} {}", response.status, decode_body(&response.body)))
                }
                None => {}
            }
            let elapsed_ms = started.elapsed().as_millis() as u64;
            match &last_error {
                Some(last_error) if elapsed_ms >= REQUEST_RETRY_TIMEOUT_MS.0 => {
                    return Err(UsageError::NoAnswer(last_error.clone()));
                }
                None if elapsed_ms >= UNREACHABLE_TIMEOUT_MS.0 => {
                    return Err(UsageError::Unreachable);
                }
                _ => std::thread::sleep(Duration::from_millis(retry_delay(response.as_ref()).0)),
            }
        }
        Err(UsageError::Unreachable)
    }

    /// Fetches the pages of a result one after the other and joins them.
    fn fetch_all_pages<E>(
        mut fetch_page: impl FnMut(Option<&str>) -> Result<UsagePage, E>,
    ) -> Result<UsagePage, E> {
        let mut joined = UsagePage::default();
        let mut after: Option<String> = None;
        loop {
            let fetched = fetch_page(after.as_deref())?;
            joined.rows.extend(fetched.rows);
            joined.gaps.extend(fetched.gaps);
            after = fetched.next;
            if after.is_none() {
                return Ok(joined);
            }
        }
    }

    /// Fetches all rows without retries; `None` if a page is not available.
    pub fn try_fetch(&self, controllers: &[String]) -> Option<UsagePage> {
        let fetch_page = |after: Option<&str>| {
            let request_from = |address: &String| {
                let client = HttpClient::new(address, POLL_TIMEOUT_MS, MAX_RESPONSE_BYTES);
                client
                    .request("GET", &self.build_path(after), &[])
                    .filter(|response| response.status == 200)
            };
            let response = controllers.iter().find_map(request_from).ok_or(())?;
            serde_json::from_slice(&response.body).map_err(|_| ())
        };
        Self::fetch_all_pages(fetch_page).ok()
    }

    /// Fetches all rows; each page is requested with retries.
    ///
    /// # Errors
    /// The query is refused, or no controller answers it.
    pub fn fetch(&self, controllers: &[String]) -> Result<UsagePage, UsageError> {
        let make_client =
            |address: &String| HttpClient::new(address, SUBMIT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        let clients: Vec<HttpClient> = controllers.iter().map(make_client).collect();
        Self::fetch_all_pages(|after| self.fetch_page(&clients, after))
    }
}

/// Writes rows as CSV with a header line.
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
    for row in rows {
        let sums = &row.sums;
        let numbers = [
            sums.attempts,
            sums.held_ms,
            sums.ran_ms,
            sums.useful_ms,
            sums.repeated_ms,
            sums.lost_ms,
            row.waited_ms,
            sums.unseen_ms,
            sums.core_ms,
            sums.gpu_ms,
            sums.gb_ms,
            sums.cost_micros,
        ];
        let labels = [
            row.day.clone(),
            row.closed.to_string(),
            row.team.clone(),
            row.class.clone(),
            row.flavor.clone(),
            row.yard.clone(),
            row.loaners.to_string(),
            row.cause.clone(),
        ];
        writer.write_record(labels.into_iter().chain(numbers.map(|n| n.to_string())))?;
    }
    writer.flush()?;
    Ok(())
}

/// Builds a table of the sums by day, team and class.
pub fn build_table(rows: &[UsageRow]) -> Table {
    let mut totals_by_key: BTreeMap<(String, String, String), ([u64; 8], bool)> = BTreeMap::new();
    for row in rows {
        let key = (row.day.clone(), row.team.clone(), row.class.clone());
        let (totals, closed) = totals_by_key.entry(key).or_default();
        let attempt_sums = &row.sums;
        let added = [
            attempt_sums.attempts,
            attempt_sums.useful_ms,
            attempt_sums.repeated_ms,
            attempt_sums.lost_ms,
            row.waited_ms,
            attempt_sums.core_ms,
            attempt_sums.gpu_ms,
            attempt_sums.cost_micros,
        ];
        totals.iter_mut().zip(added).for_each(|(total, added)| *total += added);
        *closed = row.closed;
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
    for ((day, team, class), (totals, closed)) in totals_by_key {
        let format_hours = |ms: u64| format!("{:.3}", ms as f64 / 3_600_000.0);
        let [attempts, durations @ .., cost] = totals;
        let mut row = vec![day, team, class, attempts.to_string()];
        row.extend(durations.map(format_hours));
        row.push(format!("{:.4}", cost as f64 / 1e6));
        row.push(if closed { "closed".into() } else { "open".into() });
        table.add_row(row);
    }
    for column in table.column_iter_mut().skip(3).take(8) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Runs a usage query and prints the result or writes it to a file.
///
/// # Errors
/// The query is refused, no controller answers, or the file cannot be written.
pub fn run(query: &UsageQuery, controllers: &[String], json: bool) -> Result<u8, UsageError> {
    let page = query.fetch(controllers)?;
    let to_write_error =
        |e: &dyn std::fmt::Display| UsageError::Write(format!("cannot write: {e}"));
    match &query.csv {
        Some(path) if path.as_os_str() == "-" => {
            write_csv(&page.rows, std::io::stdout()).map_err(|e| to_write_error(&e))?;
        }
        Some(path) => {
            let file = std::fs::File::create(path)
                .map_err(|e| UsageError::Write(format!("{}: {e}", path.display())))?;
            write_csv(&page.rows, file).map_err(|e| to_write_error(&e))?;
        }
        None if json => println!("{}", serde_json::json!(page)),
        None => println!("{}", build_table(&page.rows)),
    }
    for gap in &page.gaps {
        eprintln!("oatloomctl: {gap}: the record could not be read and is missing from the sums");
    }
    Ok(if page.gaps.is_empty() { exit::SUCCESS } else { exit::FAILURE })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn example_rows() -> Vec<UsageRow> {
        let text = r#"{"rows":[{"day":"2026-12-01","closed":false,"team":"a,b","class":"c","flavor":"g",
            "yard":"z","loaners":true,"cause":"done","waitedMs":3,"attempts":2,"heldMs":13,"ranMs":10,
            "usefulMs":10,"repeatedMs":0,"lostMs":0,"unseenMs":0,"coreMs":20,"gpuMs":0,"gbMs":80,
            "costMicros":1500000}]}"#;
        let page: UsagePage = serde_json::from_str(text).unwrap();
        [page.rows.clone(), page.rows].concat()
    }

    /// The table and the CSV file have the same sums, also for a team name that needs quoting.
    #[test]
    fn table_and_csv_have_the_same_sums() {
        let mut file = Vec::new();
        write_csv(&example_rows(), &mut file).unwrap();
        let mut reader = csv::Reader::from_reader(&file[..]);
        let cost_column =
            reader.headers().unwrap().iter().position(|name| name == "costMicros").unwrap();
        let records: Vec<csv::StringRecord> = reader.records().map(Result::unwrap).collect();
        assert!(
            records.len() == 2
                && records.iter().all(|r| &r[2] == "a,b" && &r[cost_column] == "1500000")
        );
        let text = build_table(&example_rows()).to_string();
        assert!(text.contains("3.0000") && text.contains("a,b") && text.contains("open"), "{text}");
    }

    #[test]
    fn query_parameters_are_escaped() {
        let query = UsageQuery {
            team: Some("a b&c".into()),
            class: None,
            from: Some("2026-12-01".into()),
            to: None,
            csv: None,
        };
        let path = query.build_path(Some("use/020788/a/b"));
        assert_eq!(path, "/v2/usage?team=a+b%26c&from=2026-12-01&after=use%2F020788%2Fa%2Fb");
    }
}
