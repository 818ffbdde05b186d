//! Writes the generated files of `hinge-schema`.

use std::error::Error;
use std::fs;

fn main() -> Result<(), Box<dyn Error>> {
    for generated in hinge_codegen::generate_all()? {
        fs::write(&generated.path, &generated.code)?;
    }
    Ok(())
}
