use super::*;

fn run_words(words: &[&str]) -> Result<String, CommandError> {
    let arguments: Vec<_> = words.iter().map(ToString::to_string).collect();
    try_run(&arguments)
}

#[test]
fn an_unknown_command_suggests_the_most_similar_one() {
    let error = run_words(&["statsu"]).unwrap_err();
    assert_eq!(
        error.to_string(),
        "there is no command \"statsu\"; did you mean \"status\"?; see --help"
    );
}

#[test]
fn every_command_has_help() {
    for command in &COMMANDS {
        let mut words: Vec<_> = command.name.split(' ').collect();
        words.push("--help");
        assert!(run_words(&words).unwrap().contains(command.summary));
    }
}
