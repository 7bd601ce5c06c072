//! The operators' retry settings per job class.

use crate::constants::{MAX_CLASSES, MAX_RETRIES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What happens to a job when one of its tasks has no retries left.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnExhausted {
    /// The other tasks of the job are stopped.
    FailJob,
    /// Other tasks that have started run to completion; no further tasks are started.
    FinishRest,
}

/// Retry settings of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// How often a task may be retried after a failure of its own; with 0 its first failure ends the job.
    pub max_retries: u32,
    pub on_exhausted: OnExhausted,
}

/// Errors in a list of classes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClassesError {
    #[error("classes: a class without a name")]
    MissingName,
    #[error("classes: the default entry takes no name")]
    NamedDefault,
    #[error("classes: {0}: repeats is missing")]
    MissingRetries(String),
    #[error("classes: {0}: repeats must be from 0 to {MAX_RETRIES}")]
    RetriesOutOfRange(String),
    #[error("classes: {0}: named twice")]
    DuplicateClass(String),
    #[error("classes: {0}: {1} stands twice")]
    DuplicateField(String, &'static str),
    #[error("classes: more than {MAX_CLASSES}")]
    TooManyClasses,
}

/// The operators' list: `((class (name "a") (repeats 3) (on-exhausted fail-job)) (default (repeats 5)))`. Jobs
/// of a class without an entry, if there is no default either, are retried without limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(try_from = "Vec<Entry>")]
pub struct Classes {
    named: BTreeMap<String, RetryPolicy>,
    default: Option<RetryPolicy>,
}

#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Entry {
    Class(Vec<Field>),
    Default(Vec<Field>),
}

// One-element tuples, because a field is written as a list: `(repeats 3)`.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Field {
    Name((String,)),
    Repeats((i64,)),
    OnExhausted((OnExhausted,)),
}

/// Sets a field; it is an error if the field is set already.
fn set<T>(
    slot: &mut Option<T>,
    value: T,
    label: &str,
    field: &'static str,
) -> Result<(), ClassesError> {
    match slot.replace(value) {
        Some(_) => Err(ClassesError::DuplicateField(label.to_owned(), field)),
        None => Ok(()),
    }
}

fn parse_entry(
    fields: Vec<Field>,
    label: &str,
) -> Result<(Option<String>, RetryPolicy), ClassesError> {
    let (mut name, mut max_retries, mut on_exhausted) = (None, None, None);
    for field in fields {
        match field {
            Field::Name((value,)) => set(&mut name, value, label, "name")?,
            Field::Repeats((value,)) => set(&mut max_retries, value, label, "repeats")?,
            Field::OnExhausted((value,)) => set(&mut on_exhausted, value, label, "on-exhausted")?,
        }
    }
    let label = name.clone().unwrap_or_else(|| label.to_owned());
    let max_retries = max_retries.ok_or_else(|| ClassesError::MissingRetries(label.clone()))?;
    if !(0..=MAX_RETRIES).contains(&max_retries) {
        return Err(ClassesError::RetriesOutOfRange(label));
    }
    let on_exhausted = on_exhausted.unwrap_or(OnExhausted::FailJob);
    let max_retries =
        u32::try_from(max_retries).map_err(|_| ClassesError::RetriesOutOfRange(label))?;
    Ok((name, RetryPolicy { max_retries, on_exhausted }))
}

impl TryFrom<Vec<Entry>> for Classes {
    type Error = ClassesError;

    fn try_from(entries: Vec<Entry>) -> Result<Self, ClassesError> {
        if entries.len() > MAX_CLASSES {
            return Err(ClassesError::TooManyClasses);
        }
        let mut classes = Self::default();
        for item in entries {
            match item {
                Entry::Class(fields) => {
                    let (name, policy) = parse_entry(fields, "a class")?;
                    let name = name.ok_or(ClassesError::MissingName)?;
                    if classes.named.insert(name.clone(), policy).is_some() {
                        return Err(ClassesError::DuplicateClass(name));
                    }
                }
                Entry::Default(fields) => {
                    let (name, policy) = parse_entry(fields, "default")?;
                    if name.is_some() {
                        return Err(ClassesError::NamedDefault);
                    }
                    if classes.default.replace(policy).is_some() {
                        return Err(ClassesError::DuplicateClass("default".into()));
                    }
                }
            }
        }
        Ok(classes)
    }
}

impl Classes {
    /// Retry settings for jobs of a class; `None` if retries are unlimited.
    pub fn policy_for(&self, class: &str) -> Option<RetryPolicy> {
        self.named.get(class).copied().or(self.default)
    }

    /// Whether no class has a limit.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty() && self.default.is_none()
    }

    /// Classes with an entry of their own.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.named.keys().map(String::as_str)
    }
}

// The schema describes the list that operators write, not the fields of the struct.
#[cfg(feature = "schema")]
impl schemars::JsonSchema for Classes {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "Classes".into()
    }

    fn json_schema(generator: &mut schemars::SchemaGenerator) -> schemars::Schema {
        Vec::<Entry>::json_schema(generator)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<Classes, String> {
        serde_lexpr::from_str(text).map_err(|e| e.to_string())
    }

    #[test]
    fn entries_are_parsed() {
        let classes = parse(
            r#"((class (name "route-weave") (repeats 3) (on-exhausted finish-rest))
                (class (name "recount") (repeats 0))
                (default (repeats 5) (on-exhausted fail-job)))"#,
        )
        .unwrap();
        let route_weave = RetryPolicy { max_retries: 3, on_exhausted: OnExhausted::FinishRest };
        assert_eq!(classes.policy_for("route-weave"), Some(route_weave));
        assert_eq!(classes.policy_for("recount").map(|a| a.max_retries), Some(0));
        assert_eq!(classes.policy_for("other").map(|a| a.max_retries), Some(5));
        assert_eq!(classes.names().collect::<Vec<_>>(), ["recount", "route-weave"]);
        assert_eq!(parse("()").unwrap().policy_for("x"), None);
        assert!(Classes::default().is_empty());
    }

    /// Each invalid setting is reported in one line that names the field.
    #[test]
    fn errors_name_the_field() {
        for (text, expected) in [
            (r#"((class (repeats 3)))"#, "without a name"),
            (r#"((class (name "a")))"#, "a: repeats is missing"),
            (r#"((class (name "a") (repeats -1)))"#, "a: repeats must be from 0"),
            (r#"((class (name "a") (repeats 5000000000)))"#, "a: repeats must be from 0"),
            (r#"((class (name "a") (repeats 1) (repeats 2)))"#, "repeats stands twice"),
            (
                r#"((class (name "a") (repeats 1)) (class (name "a") (repeats 2)))"#,
                "a: named twice",
            ),
            (r#"((class (name "a") (repeats 1) (on-exhausted shrug)))"#, "shrug"),
            (r#"((class (name "a") (repeats 1) (novel 2)))"#, "novel"),
            (r#"((klass (name "a") (repeats 1)))"#, "klass"),
            (r#"((default (name "a") (repeats 1)))"#, "takes no name"),
            (r#"((default (repeats 1)) (default (repeats 2)))"#, "default: named twice"),
        ] {
            let message = parse(text).unwrap_err();
            assert!(message.contains(expected) && !message.contains('\n'), "{text}: {message}");
        }
    }
}
