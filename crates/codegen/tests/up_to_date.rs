//! Checks that the committed generated code is up to date.

use std::fs;

use hinge_cases::cases;

cases! {
    committed_code_matches_the_schema => {
        for generated in hinge_codegen::generate_all().expect("the schema files are valid") {
            let committed = fs::read_to_string(&generated.path).expect("the generated file is committed");
            assert!(committed == generated.code, "stale: run `cargo run -p hinge-codegen --example generate`");
        }
    }
}
