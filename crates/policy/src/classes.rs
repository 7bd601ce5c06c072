//! What operators allow each class of jobs.

use crate::constants::{CLASSES_MOST, REPEATS_MOST};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What becomes of a job of which a task has used up its repeats.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnExhausted {
    /// Its other tasks are stopped.
    FailJob,
    /// Its other tasks that have started run to their end; no further one starts.
    FinishRest,
}

/// What a class is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// How often a task may be started again after it failed by its own doing; 0: its first failure ends the job.
    pub repeats: u32,
    pub on_exhausted: OnExhausted,
}

/// Why a list of classes is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadClasses {
    #[error("classes: a class without a name")]
    NoName,
    #[error("classes: the default entry takes no name")]
    NamedDefault,
    #[error("classes: {0}: repeats is missing")]
    NoRepeats(String),
    #[error("classes: {0}: repeats must be from 0 to {REPEATS_MOST}")]
    Repeats(String),
    #[error("classes: {0}: named twice")]
    Twice(String),
    #[error("classes: {0}: {1} stands twice")]
    FieldTwice(String, &'static str),
    #[error("classes: more than {CLASSES_MOST}")]
    TooMany,
}

/// The operators' list: `((class (name "a") (repeats 3) (on-exhausted fail-job)) (default (repeats 5)))`. What
/// is in no entry is allowed to fail for ever, as without a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(try_from = "Vec<Entry>")]
pub struct Classes {
    named: BTreeMap<String, Allowance>,
    default: Option<Allowance>,
}

#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Entry {
    Class(Vec<Field>),
    Default(Vec<Field>),
}

// One-tuples, since a field is written `(repeats 3)`.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Field {
    Name((String,)),
    Repeats((i64,)),
    OnExhausted((OnExhausted,)),
}

/// Sets a field that may stand once.
fn once<T>(
    slot: &mut Option<T>,
    value: T,
    of: &str,
    field: &'static str,
) -> Result<(), BadClasses> {
    match slot.replace(value) {
        Some(_) => Err(BadClasses::FieldTwice(of.to_owned(), field)),
        None => Ok(()),
    }
}

fn entry(fields: Vec<Field>, of: &str) -> Result<(Option<String>, Allowance), BadClasses> {
    let (mut name, mut repeats, mut on_exhausted) = (None, None, None);
    for field in fields {
        match field {
            Field::Name((value,)) => once(&mut name, value, of, "name")?,
            Field::Repeats((value,)) => once(&mut repeats, value, of, "repeats")?,
            Field::OnExhausted((value,)) => once(&mut on_exhausted, value, of, "on-exhausted")?,
        }
    }
    let of = name.clone().unwrap_or_else(|| of.to_owned());
    let repeats = repeats.ok_or_else(|| BadClasses::NoRepeats(of.clone()))?;
    if !(0..=REPEATS_MOST).contains(&repeats) {
        return Err(BadClasses::Repeats(of));
    }
    let on_exhausted = on_exhausted.unwrap_or(OnExhausted::FailJob);
    let repeats = u32::try_from(repeats).map_err(|_| BadClasses::Repeats(of))?;
    Ok((name, Allowance { repeats, on_exhausted }))
}

impl TryFrom<Vec<Entry>> for Classes {
    type Error = BadClasses;

    fn try_from(entries: Vec<Entry>) -> Result<Self, BadClasses> {
        if entries.len() > CLASSES_MOST {
            return Err(BadClasses::TooMany);
        }
        let mut classes = Self::default();
        for given in entries {
            match given {
                Entry::Class(fields) => {
                    let (name, allowance) = entry(fields, "a class")?;
                    let name = name.ok_or(BadClasses::NoName)?;
                    if classes.named.insert(name.clone(), allowance).is_some() {
                        return Err(BadClasses::Twice(name));
                    }
                }
                Entry::Default(fields) => {
                    let (name, allowance) = entry(fields, "default")?;
                    if name.is_some() {
                        return Err(BadClasses::NamedDefault);
                    }
                    if classes.default.replace(allowance).is_some() {
                        return Err(BadClasses::Twice("default".into()));
                    }
                }
            }
        }
        Ok(classes)
    }
}

impl Classes {
    /// What jobs of a class are allowed; `None`: they may fail for ever.
    pub fn of(&self, class: &str) -> Option<Allowance> {
        self.named.get(class).copied().or(self.default)
    }

    /// Whether nothing is limited.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty() && self.default.is_none()
    }

    /// The classes that have an entry of their own.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.named.keys().map(String::as_str)
    }
}

// As operators write it, not as it is kept.
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

    fn read(text: &str) -> Result<Classes, String> {
        serde_lexpr::from_str(text).map_err(|e| e.to_string())
    }

    #[test]
    fn entries_are_read_as_operators_write_them() {
        let classes = read(
            r#"((class (name "route-weave") (repeats 3) (on-exhausted finish-rest))
                (class (name "recount") (repeats 0))
                (default (repeats 5) (on-exhausted fail-job)))"#,
        )
        .unwrap();
        let weave = Allowance { repeats: 3, on_exhausted: OnExhausted::FinishRest };
        assert_eq!(classes.of("route-weave"), Some(weave));
        assert_eq!(classes.of("recount").map(|a| a.repeats), Some(0));
        assert_eq!(classes.of("other").map(|a| a.repeats), Some(5));
        assert_eq!(classes.names().collect::<Vec<_>>(), ["recount", "route-weave"]);
        assert_eq!(read("()").unwrap().of("x"), None);
        assert!(Classes::default().is_empty());
    }

    /// Every mistake gives one line that names the field.
    #[test]
    fn mistakes_name_the_field() {
        for (text, says) in [
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
            let said = read(text).unwrap_err();
            assert!(said.contains(says) && !said.contains('\n'), "{text}: {said}");
        }
    }
}
