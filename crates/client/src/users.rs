//! Users' requests to the controllers, sent again as the protocol allows.

use crate::constants::*;
use oatloom_protocol::ids::{JobId, Millis};
use oatloom_protocol::wire::{JobSpec, JobView};
use oatloom_web::client::{Answer, Caller};
use std::time::{Duration, Instant};

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    View(JobView),
    /// Refused for good, or not known: the status and what was said.
    Refused(u16, String),
    /// No answer that counts within the time.
    Nothing(String),
    /// No controller could be reached at all.
    Unreachable,
}

/// Why asking again and again came to nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// No answer that counts; the last one.
    Nothing(String),
    /// No controller could be reached at all.
    Unreachable,
}

/// What is asked about a job.
#[derive(Clone, Debug)]
pub enum Wish {
    Submit(Box<JobSpec>),
    View(JobId),
    Abort(JobId),
}

impl Wish {
    pub fn id(&self) -> &JobId {
        match self {
            Self::Submit(spec) => &spec.id,
            Self::View(id) | Self::Abort(id) => id,
        }
    }

    fn request(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            Self::Submit(spec) => {
                ("POST", "/v2/runs".into(), serde_json::to_vec(spec).unwrap_or_default())
            }
            Self::View(id) => ("GET", format!("/v2/runs/{id}"), Vec::new()),
            Self::Abort(id) => ("POST", format!("/v2/runs/{id}/abort"), Vec::new()),
        }
    }
}

/// Reads an answer; `None`: it is to be asked again, after the pause.
pub fn judge(wish: &Wish, answer: &Answer) -> Option<Told> {
    let text = || String::from_utf8_lossy(&answer.body).into_owned();
    match answer.status {
        200 | 201 => match serde_json::from_slice(&answer.body) {
            Ok(view) => Some(Told::View(view)),
            Err(e) => Some(Told::Refused(answer.status, format!("unreadable: {e}: {}", text()))),
        },
        400 | 422 | 413 if matches!(wish, Wish::Submit(_)) => {
            Some(Told::Refused(answer.status, text()))
        }
        404 if !matches!(wish, Wish::Submit(_)) => Some(Told::Refused(404, text())),
        _ => None,
    }
}

/// How long to wait before asking again.
pub fn pause(answer: Option<&Answer>) -> Millis {
    let asked = answer.and_then(|a| a.retry_after_s).unwrap_or(0).min(RETRY_MOST_S);
    Millis(RETRY_LEAST_MS.0.max(u64::from(asked) * 1_000))
}

/// The controllers as a user reaches them: one after the other.
#[derive(Clone, Debug)]
pub struct Controllers {
    submits: Vec<Caller>,
    polls: Vec<Caller>,
    next: usize,
}

impl Controllers {
    pub fn new(addresses: &[String]) -> Self {
        let callers = |timeout: Millis| {
            addresses.iter().map(|a| Caller::new(a, timeout, ANSWER_BYTES)).collect()
        };
        Self { submits: callers(SUBMIT_TIMEOUT_MS), polls: callers(POLL_TIMEOUT_MS), next: 0 }
    }

    pub fn len(&self) -> usize {
        self.polls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.polls.is_empty()
    }

    /// Asks one controller, once.
    pub fn ask(&self, at: usize, wish: &Wish) -> Option<Answer> {
        let (method, path, body) = wish.request();
        self.call(at, method, &path, &body)
    }

    fn call(&self, at: usize, method: &str, path: &str, body: &[u8]) -> Option<Answer> {
        let callers = if method == "GET" { &self.polls } else { &self.submits };
        callers.get(at % callers.len().max(1))?.ask(method, path, body)
    }

    /// Asks the next controller, once.
    pub fn ask_next(&mut self, method: &str, path: &str, body: &[u8]) -> Option<Answer> {
        let answer = self.call(self.next, method, path, body);
        self.next += 1;
        answer
    }

    /// Asks until there is an answer that counts, or the time is up.
    pub fn insist(&mut self, wish: &Wish, patience: Millis) -> Told {
        let (method, path, body) = wish.request();
        let counts = |answer: &Answer| judge(wish, answer);
        match self.retry((method, &path, &body), patience, UNREACHABLE_MS, counts) {
            Ok(told) => told,
            Err(Unanswered::Nothing(last)) => Told::Nothing(last),
            Err(Unanswered::Unreachable) => Told::Unreachable,
        }
    }

    /// Asks one controller after the other until `judge` makes something of an answer. `unreachable`: how long they are
    /// tried while none was ever reached.
    ///
    /// # Errors
    /// No answer counted in time.
    pub fn retry<T>(
        &mut self,
        (method, path, body): (&str, &str, &[u8]),
        patience: Millis,
        unreachable: Millis,
        judge: impl Fn(&Answer) -> Option<T>,
    ) -> Result<T, Unanswered> {
        let began = Instant::now();
        let mut last = None;
        loop {
            let answer = self.ask_next(method, path, body);
            if let Some(told) = answer.as_ref().and_then(&judge) {
                return Ok(told);
            }
            if let Some(answer) = &answer {
                last = Some(format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)));
            }
            // A controller that cannot be reached is passed over at once, though not in a circle.
            let round = self.next.is_multiple_of(self.len());
            let rest = if answer.is_none() && !round { Millis(0) } else { pause(answer.as_ref()) };
            let waited = began.elapsed().as_millis() as u64 + rest.0;
            match last.take_if(|_| waited >= patience.0) {
                Some(last) => return Err(Unanswered::Nothing(last)),
                None if last.is_none() && waited >= patience.0.min(unreachable.0) => {
                    return Err(Unanswered::Unreachable);
                }
                None => {}
            }
            std::thread::sleep(Duration::from_millis(rest.0));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What is final is told apart from what is to be asked again, as the protocol has it.
    #[test]
    fn answers_are_judged_by_what_was_asked() {
        let answer = |status, body: &str, retry_after_s| Answer {
            status,
            body: body.as_bytes().to_vec(),
            retry_after_s,
        };
        let view = Wish::View(JobId::new("req-1"));
        let text = r#"{"nameId":"req-1","status":"done","done":3,"running":0}"#;
        let Some(Told::View(seen)) = judge(&view, &answer(200, text, None)) else {
            panic!("unread")
        };
        assert_eq!(seen.done, 3);
        assert!(matches!(judge(&view, &answer(404, "", None)), Some(Told::Refused(404, _))));
        for status in [429, 500, 503, 504, 421] {
            assert_eq!(judge(&view, &answer(status, "", None)), None);
        }
        assert_eq!(pause(Some(&answer(503, "", Some(7)))), Millis(7_000));
        assert_eq!(pause(Some(&answer(503, "", Some(900)))), Millis(30_000));
        assert_eq!(pause(None), RETRY_LEAST_MS);
    }
}
