//! Serves the simulator: reads its line protocol from standard input and answers on standard output.

use std::io::{BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, std::io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, std::io::stdout().lock());
    match benchlink::wire::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("micadyke-benchlink: {e}");
            ExitCode::FAILURE
        }
    }
}
