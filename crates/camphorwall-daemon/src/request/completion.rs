//! Parses the JSON bodies of completions and chat completions.

use camphorwall::{Problem, ProblemKind, RouteKind, Tokens};
use serde::Deserialize;

/// Maximum tokens of an answer if the request sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// A request for a model's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Completion {
    /// Complete prompt; of a chat, all messages joined into one text.
    pub(crate) prompt: String,
    /// Number of tokens in the prompt.
    pub(crate) prompt_tokens: Tokens,
    /// Maximum tokens of the answer.
    pub(crate) max_output_tokens: Tokens,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
struct CompletionsBody {
    prompt: String,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    messages: Vec<Message>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

impl Completion {
    fn new(prompt: String, max_tokens: Option<u64>, stream: bool) -> Self {
        Self {
            prompt_tokens: count_tokens(&prompt),
            prompt,
            max_output_tokens: Tokens(max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)),
            stream,
        }
    }

    /// Maximum tokens that the request can use: its prompt and the longest answer.
    pub(crate) fn cost(&self) -> Tokens {
        Tokens(
            self.prompt_tokens
                .get()
                .saturating_add(self.max_output_tokens.get()),
        )
    }
}

/// Counts the tokens of a text: one for each word, as the served engines count them.
fn count_tokens(text: &str) -> Tokens {
    Tokens(text.split_whitespace().count() as u64)
}

/// Parses a request body.
///
/// # Errors
/// A problem that states what is wrong with the body.
pub(crate) fn parse_completion(kind: RouteKind, body: &[u8]) -> Result<Completion, Problem> {
    let completion = match kind {
        RouteKind::Chat => serde_json::from_slice(body).map(|body: ChatBody| {
            let lines = body
                .messages
                .iter()
                .map(|message| format!("{}: {}\n", message.role, message.content));
            Completion::new(lines.collect(), body.max_tokens, body.stream)
        }),
        RouteKind::Completions | RouteKind::Plain => {
            serde_json::from_slice(body).map(|body: CompletionsBody| {
                Completion::new(body.prompt, body.max_tokens, body.stream)
            })
        }
    };
    let bad = |detail: String| Problem::not_run(ProblemKind::BadRequest, detail);
    match completion {
        Ok(completion) if completion.prompt_tokens == Tokens(0) => {
            Err(bad("the prompt is empty".into()))
        }
        Ok(completion) if completion.max_output_tokens == Tokens(0) => {
            Err(bad("max_tokens must be 1 or more".into()))
        }
        Ok(completion) => Ok(completion),
        Err(error) => Err(bad(format!("the body is no such request: {error}"))),
    }
}
