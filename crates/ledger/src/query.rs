//! Usage queries: `GET /v2/usage?team=&class=&from=&to=`, with paged results.

use crate::constants::*;
use crate::rollup::{Cursor, ROLLUP_PREFIX, Rollup, RollupId};
use crate::sums::UsageSums;
use serde::{Deserialize, Serialize};
use time::Date;
use time::format_description::well_known::Iso8601;

/// Errors in the parameters of a query.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    #[error("{0}: a day looks like 2026-12-01")]
    InvalidDay(&'static str),
    #[error("from is after to, or the span is over {MAX_QUERY_DAYS} days")]
    InvalidSpan,
    #[error("most must be from 1 to {MAX_PAGE_ROWS}")]
    InvalidMost,
    #[error("after is not what an earlier page gave")]
    InvalidAfter,
    #[error("unknown parameter {0}")]
    Unknown(String),
}

/// Selects roll-ups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageQuery {
    pub team: Option<String>,
    pub class: Option<String>,
    /// First and last day, as days since 1970-01-01.
    pub from: u64,
    pub to: u64,
    /// Last key of the previous page.
    pub start_after: Option<String>,
    /// Row limit of a page; the last roll-up of a page is returned whole and may exceed it.
    pub max_rows: usize,
}

/// Julian day of 1970-01-01.
const EPOCH_JULIAN: i32 = 2_440_588;

/// Parses a date such as 2026-12-01 into days since 1970-01-01.
pub fn parse_day(text: &str) -> Option<u64> {
    // The format alone would also accept a time of day.
    let date = Date::parse(text, &Iso8601::DATE).ok().filter(|_| text.len() == 10)?;
    u64::try_from(date.to_julian_day() - EPOCH_JULIAN).ok()
}

/// Formats days since 1970-01-01 as a date.
pub fn format_day(day: u64) -> String {
    let julian = i32::try_from(day).ok().and_then(|day| day.checked_add(EPOCH_JULIAN));
    let date = julian.and_then(|julian| Date::from_julian_day(julian).ok());
    date.map_or_else(|| day.to_string(), |date| date.to_string())
}

impl UsageQuery {
    /// Parses the query string of a URL.
    ///
    /// # Errors
    /// A parameter is unknown or invalid.
    pub fn parse(text: &str) -> Result<Self, QueryError> {
        let (from, to) = (0, 999_999);
        let mut query =
            Self { team: None, class: None, from, to, start_after: None, max_rows: MAX_PAGE_ROWS };
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            let value = value.into_owned();
            match &*name {
                // An empty parameter counts as omitted.
                _ if value.is_empty() => {}
                "team" => query.team = Some(value),
                "class" => query.class = Some(value),
                "from" => query.from = parse_day(&value).ok_or(QueryError::InvalidDay("from"))?,
                "to" => query.to = parse_day(&value).ok_or(QueryError::InvalidDay("to"))?,
                "after" => {
                    RollupId::parse(&value).ok_or(QueryError::InvalidAfter)?;
                    query.start_after = Some(value);
                }
                "most" => {
                    let max_rows = value.parse().ok().filter(|n| (1..=MAX_PAGE_ROWS).contains(n));
                    query.max_rows = max_rows.ok_or(QueryError::InvalidMost)?;
                }
                other => return Err(QueryError::Unknown(other.chars().take(40).collect())),
            }
        }
        let span_allowed = query.to == to || query.to.saturating_sub(query.from) <= MAX_QUERY_DAYS;
        if query.from > query.to || !span_allowed {
            return Err(QueryError::InvalidSpan);
        }
        Ok(query)
    }

    /// The key after which roll-ups are to be read.
    pub fn start_key(&self) -> String {
        self.start_after.clone().unwrap_or_else(|| format!("{ROLLUP_PREFIX}{:06}", self.from))
    }

    fn matches(&self, rollup_id: &RollupId) -> bool {
        self.team.as_ref().is_none_or(|team| *team == rollup_id.team)
            && self.class.as_ref().is_none_or(|class| *class == rollup_id.class)
    }
}

/// One row of a usage report.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRow {
    pub day: String,
    /// Whether the sums of the day are final.
    pub closed: bool,
    pub team: String,
    pub class: String,
    /// Empty if several flavors were merged.
    pub flavor: String,
    pub yard: String,
    pub loaners: bool,
    pub cause: String,
    #[serde(rename = "waitedMs")]
    pub waited_ms: u64,
    #[serde(flatten)]
    pub sums: UsageSums,
}

/// One page of a usage report.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsagePage {
    pub rows: Vec<UsageRow>,
    /// Value of `after` for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
    /// Keys of roll-ups with unreadable data.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gaps: Vec<String>,
}

impl UsagePage {
    /// Builds a page from stored roll-ups in key order, with `None` for unreadable values. `more` says whether the
    /// store has further roll-ups.
    pub fn build(
        query: &UsageQuery,
        found: impl IntoIterator<Item = (String, Option<Rollup>)>,
        more: bool,
        cursor: Cursor,
    ) -> Self {
        let mut page = Self::default();
        let mut last = None;
        for (key, rollup) in found {
            let Some(rollup_id) = RollupId::parse(&key) else { continue };
            if rollup_id.day > query.to {
                return page;
            }
            // A roll-up is never split between pages.
            if page.rows.len() >= query.max_rows {
                page.next = last;
                return page;
            }
            last = Some(key.clone());
            if !query.matches(&rollup_id) {
                continue;
            }
            let Some(rollup) = rollup else {
                page.gaps.push(key);
                continue;
            };
            if rollup.incomplete {
                page.gaps.push(key);
            }
            let row = |(bucket, sums): (&crate::sums::UsageBucket, &UsageSums)| UsageRow {
                day: format_day(rollup_id.day),
                closed: rollup_id.day < cursor.closed_before,
                team: rollup_id.team.clone(),
                class: rollup_id.class.clone(),
                flavor: bucket.flavor.clone(),
                yard: bucket.zone.clone(),
                loaners: bucket.spot,
                cause: bucket.end.clone(),
                waited_ms: sums.waited_ms(),
                sums: *sums,
            };
            page.rows.extend(rollup.usage.rows().map(row));
        }
        page.next = last.filter(|_| more);
        page
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::AttemptEnd;
    use crate::entry::tests::entry;
    use oatloom_protocol::wire::ExitCause;

    #[test]
    fn days_are_parsed_and_formatted() {
        assert_eq!(parse_day("1970-01-01"), Some(0));
        assert_eq!(parse_day("2026-12-01").map(format_day), Some("2026-12-01".into()));
        for invalid in ["", "2026-13-01", "yesterday", "1969-12-31", "2026-12-01T00:00:00Z"] {
            assert_eq!(parse_day(invalid), None, "{invalid}");
        }
    }

    #[test]
    fn invalid_parameters_are_distinguished() {
        let error = |text: &str| UsageQuery::parse(text).unwrap_err();
        assert_eq!(error("from=soon"), QueryError::InvalidDay("from"));
        assert_eq!(error("from=2026-02-01&to=2026-01-01"), QueryError::InvalidSpan);
        assert_eq!(error("from=1980-01-01&to=2026-01-01"), QueryError::InvalidSpan);
        assert_eq!(error("most=0"), QueryError::InvalidMost);
        assert_eq!(error("after=live/req-1"), QueryError::InvalidAfter);
        assert_eq!(error("tem=red"), QueryError::Unknown("tem".into()));
        assert!(UsageQuery::parse("team=&class=&from=&to=").is_ok());
        let query = UsageQuery::parse("team=a%20b&from=2026-11-01&to=2026-11-30").unwrap();
        assert_eq!(query.team.as_deref(), Some("a b"));
        assert!(query.start_key().starts_with("use/0207"));
    }

    /// Pages of any size return each row exactly once and name unreadable roll-ups.
    #[test]
    fn pages_return_every_row_once() {
        let mut store = Vec::new();
        for day in 10..14 {
            for team in ["red", "blue"] {
                let mut rollup = Rollup::default();
                for cause in [ExitCause::Done, ExitCause::Error] {
                    rollup.usage.add(&entry(AttemptEnd::Reported(cause), 7));
                }
                let rollup_id = RollupId { day, team: team.into(), class: "c".into() };
                store.push((rollup_id.key(), Some(rollup)));
            }
        }
        store.sort_by(|a, b| a.0.cmp(&b.0));
        store[3].1 = None;
        let cursor = Cursor { closed_before: 12, ..Cursor::default() };
        for (max_rows, page_size) in [(1, 3), (2, 2), (3, 8), (200, 1), (200, 500)] {
            let mut query =
                UsageQuery { max_rows, ..UsageQuery::parse("team=red&to=1970-01-13").unwrap() };
            let (mut rows, mut gaps, mut pages) = (Vec::new(), Vec::new(), 0);
            loop {
                let start = query.start_key();
                let rest: Vec<_> = store.iter().filter(|(key, _)| *key > start).collect();
                let found = rest.iter().take(page_size).map(|(k, r)| (k.clone(), r.clone()));
                let page = UsagePage::build(&query, found, rest.len() > page_size, cursor);
                rows.extend(page.rows);
                gaps.extend(page.gaps);
                pages += 1;
                assert!(pages < 30);
                match page.next {
                    Some(next) => query.start_after = Some(next),
                    None => break,
                }
            }
            // Days 10 and 12 of team red have two rows each; day 11 is unreadable.
            assert_eq!(rows.len(), 4, "{max_rows} {page_size}");
            assert_eq!(gaps.len(), 1);
            assert!(rows.iter().all(|r| r.team == "red" && r.closed == (r.day == "1970-01-11")));
        }
    }
}
