//! Stand-ins and clients of the cases of the third review. `cases NAME FOLDER` plays a case and writes its record into the
//! folder; it exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cases;
mod http;
mod platform;
mod replica;
mod store;

use std::{path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "replica") {
        return match replica::run(&arguments[1..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let outcome = match name.as_str() {
        "promise-after-run" => cases::promise_after_run(is_troubled, folder),
        "length-of-first-run" => cases::length_of_first_run(is_troubled, folder),
        "nothing-after-resumption" => cases::nothing_after_resumption(is_troubled, folder),
        "key-withdrawn-before-restore" => cases::key_withdrawn_before_restore(is_troubled, folder),
        "harmful-part" => cases::harmful_part(is_troubled, folder),
        _ => Err(format!("there is no case {name:?}").into()),
    };
    match outcome {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
