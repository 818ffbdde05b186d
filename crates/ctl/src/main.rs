//! Entry point of `sequoiactl`.

use std::process::ExitCode;

use sequoiactl::{Environment, Exit, Streams, run};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let environment = Environment::read();
    let (mut out, mut notes) = (std::io::stdout(), std::io::stderr());
    let mut streams = Streams::new(&mut out, &mut notes);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let exit = match runtime {
        Ok(runtime) => runtime.block_on(run(&args, &environment, &mut streams)),
        Err(error) => {
            streams.note(&format!(
                "sequoiactl: can't start the async runtime: {error}"
            ));
            Exit::Failed
        }
    };
    exit.into()
}
