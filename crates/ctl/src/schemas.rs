//! JSON Schemas of the HTTP messages, derived from the types that read and write them.

use oatloom_core::operators::OperatorSettings;
use oatloom_graph::answers::{GraphView, JobNodes, SessionView};
use oatloom_graph::requests::{AddNodes, CreateGraph, OpenSession};
use oatloom_ledger::query::UsagePage;
use oatloom_protocol::wire::{
    Catalog, Command, HireRequest, Hosts, JobSpec, JobView, MachineList, Redirect, Report,
    ReportAnswer,
};
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, Schema};

fn derive_schema<T: JsonSchema>() -> Schema {
    SchemaSettings::draft2020_12().into_generator().into_root_schema_for::<T>()
}

/// Derives all published schemas; returns them with their names.
pub fn derive_all() -> Vec<(&'static str, Schema)> {
    vec![
        ("submission", derive_schema::<JobSpec>()),
        ("job", derive_schema::<JobView>()),
        ("usage", derive_schema::<UsagePage>()),
        ("operators", derive_schema::<OperatorSettings>()),
        ("session-open", derive_schema::<OpenSession>()),
        ("session", derive_schema::<SessionView>()),
        ("graph-create", derive_schema::<CreateGraph>()),
        ("graph-nodes", derive_schema::<AddNodes>()),
        ("graph", derive_schema::<GraphView>()),
        ("graph-job", derive_schema::<JobNodes>()),
        ("report", derive_schema::<Report>()),
        ("report-answer", derive_schema::<ReportAnswer>()),
        ("command", derive_schema::<Command>()),
        ("redirect", derive_schema::<Redirect>()),
        ("catalog", derive_schema::<Catalog>()),
        ("hire", derive_schema::<HireRequest>()),
        ("hosts", derive_schema::<Hosts>()),
        ("machines", derive_schema::<MachineList>()),
    ]
}

/// A schema in its published form: indented JSON with a final newline.
pub fn format_schema(schema: &Schema) -> String {
    serde_json::to_string_pretty(schema).unwrap_or_default() + "\n"
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    fn validator(name: &str) -> jsonschema::Validator {
        let (_, schema) =
            derive_all().into_iter().find(|(known_name, _)| *known_name == name).expect("known");
        jsonschema::validator_for(schema.as_value()).expect("a schema")
    }

    /// The files under docs/schemas match the types. `oatloomctl schema --write docs/schemas` updates them.
    #[test]
    fn published_schemas_match_the_types() {
        let directory = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/schemas");
        for (name, schema) in derive_all() {
            let path = directory.join(format!("{name}.json"));
            let published = std::fs::read_to_string(&path).unwrap_or_default();
            assert!(
                published == format_schema(&schema),
                "{}: differs from the types",
                path.display()
            );
        }
        let files = std::fs::read_dir(&directory).expect("a folder").count();
        assert_eq!(files, derive_all().len(), "docs/schemas has a file without a type");
    }

    /// The schema of the operator settings accepts and refuses the same JSON as the settings themselves.
    #[test]
    fn operator_settings_match_their_schema() {
        let schema = validator("operators");
        let all_settings = json!({"log-level":"info","tick-ms":500,"beta":0.9,"max-cores":0.0,"silent-reports":3.5,
            "idle-keep-ms":10000,"ledger":true,"ledger-every-ms":30000,"classes":[
                {"class":[{"name":["quick"]},{"repeats":[3]},{"on-exhausted":["finish-rest"]}]},
                {"default":[{"repeats":[5]}]}]});
        let is_accepted = |value: &Value| {
            serde_json::from_value::<OperatorSettings>(value.clone())
                .is_ok_and(|settings| settings.check().is_ok())
        };
        assert!(is_accepted(&all_settings) && schema.is_valid(&all_settings));
        assert!(is_accepted(&json!({})) && schema.is_valid(&json!({})));
        for (field, value) in [
            ("tick-ms", json!(5)),
            ("beta", json!(1.0)),
            ("beta", json!(0.0)),
            ("max-cores", json!(-1.0)),
            ("silent-reports", json!(1.5)),
            ("ledger-every-ms", json!(1)),
            ("ledger", json!("yes")),
            ("novel", json!(1)),
            ("classes", json!([{"klass":[]}])),
            ("classes", json!([{"class":[{"repeats":["many"]}]}])),
        ] {
            let mut invalid = all_settings.clone();
            invalid[field] = value;
            assert!(!is_accepted(&invalid) && !schema.is_valid(&invalid), "{invalid}");
        }
    }

    /// Examples of the protocol are valid, and a submission that is refused is invalid by its schema too.
    #[test]
    fn protocol_examples_are_valid() {
        let submission = json!({"nameId":"req-000412","jobclass":"train","owner":"vision","shape":"group",
            "rank":"high","shards":16,"cpus":8.0,"gpus":1.0,"memoryGb":64.0,"bundle":"img-07","pullGb":6.2,
            "flavors":["g8"],"yard":null,"samePlace":true,"spread":false,"loaners":true,"expectS":240.0,
            "snapshotS":30.0,"flushS":4.0,"dueS":900.0});
        let examples: [(&str, Value); 12] = [
            ("submission", submission.clone()),
            ("job", json!({"nameId":"req-000412","status":"queued"})),
            ("job", json!({"nameId":"req-000412","status":"running","done":3,"running":13})),
            (
                "job",
                json!({"nameId":"req-7","status":"failed","done":2,"running":0,"failure":{"jobclass":"quick",
                "shard":"req-7/3","failures":3,"repeats":2,"causes":[{"host":"i-1","cause":"error","number":3}]}}),
            ),
            (
                "report",
                json!({"host":"i-000231","addr":"10.1.0.232:9000","flavor":"g8","yard":"a","loaners":true,
                "shift":1,"tally":88,"baton":41,"warningS":null,
                "shards":[{"shard":"req-000412/3","try":2,"status":"running"},
                    {"shard":"req-000398/0","try":1,"status":"ended","cause":"done"}]}),
            ),
            (
                "report-answer",
                json!({"baton":41,"orders":[{"verb":"run","shard":"req-000412/4","try":2},
                {"verb":"stop","shard":"req-000377/1","try":1,"windDownS":10},
                {"verb":"forget","shard":"req-000398/0","try":1}]}),
            ),
            ("command", json!({"baton":41,"shift":1,"orders":[]})),
            ("redirect", json!({"foreman":"loomer-2"})),
            (
                "catalog",
                json!({"flavors":[{"label":"g8","cpus":96,"gpus":8,"memoryGb":768,"localGb":200,
                "fetchGbPerS":1.0,"rate":12.0,"spotPrice":4.5,"readyS":45,"yards":["a","b"]}]}),
            ),
            ("hire", json!({"hire":"r-17","flavor":"g8","yard":"a","loaners":true,"number":12})),
            ("hosts", json!({"hosts":["i-000231"]})),
            (
                "machines",
                json!({"hosts":[{"nameId":"i-000231","addr":"10.1.0.232:9000","flavor":"g8","yard":"a",
                "loaners":true,"status":"running","ageS":61.5}],"more":false}),
            ),
        ];
        for (name, example) in examples {
            let result = validator(name).validate(&example).map_err(|e| e.to_string());
            assert_eq!(result, Ok(()), "{name}: {example}");
        }
        let assert_refused = |field: &str, value: Value| {
            let mut spec = submission.clone();
            spec[field] = value;
            let parsed = serde_json::from_value::<JobSpec>(spec.clone());
            let refused = parsed.map_err(|e| e.to_string()).and_then(|spec| spec.check()).is_err();
            assert!(refused && !validator("submission").is_valid(&spec), "{spec}");
        };
        for (field, value) in [
            ("shape", json!("choir")),
            ("rank", json!(7)),
            ("shards", json!(-1)),
            ("shards", json!(0)),
            ("shards", json!(100_001)),
            ("nameId", json!("job-1")),
            ("cpus", json!(-1.0)),
            ("cpus", json!("8")),
            ("dueS", json!(-3.0)),
            ("samePlace", json!(null)),
        ] {
            assert_refused(field, value);
        }
    }
}
