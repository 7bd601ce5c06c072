//! JSON Schemas of what is said over HTTP, made from the types that read and write it.

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

fn of<T: JsonSchema>() -> Schema {
    SchemaSettings::draft2020_12().into_generator().into_root_schema_for::<T>()
}

/// Every schema by its name.
pub fn all() -> Vec<(&'static str, Schema)> {
    vec![
        ("submission", of::<JobSpec>()),
        ("job", of::<JobView>()),
        ("usage", of::<UsagePage>()),
        ("operators", of::<OperatorSettings>()),
        ("session-open", of::<OpenSession>()),
        ("session", of::<SessionView>()),
        ("graph-create", of::<CreateGraph>()),
        ("graph-nodes", of::<AddNodes>()),
        ("graph", of::<GraphView>()),
        ("graph-job", of::<JobNodes>()),
        ("report", of::<Report>()),
        ("report-answer", of::<ReportAnswer>()),
        ("command", of::<Command>()),
        ("redirect", of::<Redirect>()),
        ("catalog", of::<Catalog>()),
        ("hire", of::<HireRequest>()),
        ("hosts", of::<Hosts>()),
        ("machines", of::<MachineList>()),
    ]
}

/// A schema as it is published.
pub fn text(schema: &Schema) -> String {
    serde_json::to_string_pretty(schema).unwrap_or_default() + "\n"
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    fn validator(name: &str) -> jsonschema::Validator {
        let (_, schema) = all().into_iter().find(|(known, _)| *known == name).expect("known");
        jsonschema::validator_for(schema.as_value()).expect("a schema")
    }

    /// What stands under docs/schemas is what the types say. `oatloomctl schema --write docs/schemas` renews it.
    #[test]
    fn the_published_schemas_are_those_of_the_types() {
        let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/schemas");
        for (name, schema) in all() {
            let path = folder.join(format!("{name}.json"));
            let published = std::fs::read_to_string(&path).unwrap_or_default();
            assert!(published == text(&schema), "{}: is not as the types have it", path.display());
        }
        let files = std::fs::read_dir(&folder).expect("a folder").count();
        assert_eq!(files, all().len(), "a schema of nothing");
    }

    /// What the operators' settings take in their JSON form is valid, and what they refuse is not.
    #[test]
    fn the_operators_settings_are_as_their_schema_says() {
        let schema = validator("operators");
        let whole = json!({"log-level":"info","tick-ms":500,"beta":0.9,"max-cores":0.0,"silent-reports":3.5,
            "idle-keep-ms":10000,"ledger":true,"ledger-every-ms":30000,"classes":[
                {"class":[{"name":["quick"]},{"repeats":[3]},{"on-exhausted":["finish-rest"]}]},
                {"default":[{"repeats":[5]}]}]});
        let takes = |value: &Value| {
            serde_json::from_value::<OperatorSettings>(value.clone())
                .is_ok_and(|read| read.check().is_ok())
        };
        assert!(takes(&whole) && schema.is_valid(&whole));
        assert!(takes(&json!({})) && schema.is_valid(&json!({})));
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
            let mut bad = whole.clone();
            bad[field] = value;
            assert!(!takes(&bad) && !schema.is_valid(&bad), "{bad}");
        }
    }

    /// The protocol's own examples are valid, and what its readers refuse is not.
    #[test]
    fn the_protocols_examples_are_valid() {
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
            let found = validator(name).validate(&example).map_err(|e| e.to_string());
            assert_eq!(found, Ok(()), "{name}: {example}");
        }
        let bad = |field: &str, value: Value| {
            let mut spec = submission.clone();
            spec[field] = value;
            let read = serde_json::from_value::<JobSpec>(spec.clone());
            let refused = read.map_err(|e| e.to_string()).and_then(|spec| spec.check()).is_err();
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
            bad(field, value);
        }
    }
}
