//! Assembles a streamed answer for a caller who did not ask for a stream.

use actix_http::{Response, StatusCode, body::BoxBody, header};
use serde::Deserialize;
use serde_json::json;

use super::{
    Problem,
    generation::{Generation, Step},
};
use crate::{callers::outcome::Outcome, event::format_request_id};

/// Fields that are read from each token.
#[derive(Debug, Default, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Default, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// Collects the complete answer into one response.
pub(super) async fn collect(
    generation: &mut Generation,
) -> Result<Response<BoxBody>, Box<Problem>> {
    let mut content = String::new();
    let mut finish = None;
    loop {
        match generation.next().await {
            Step::Token(json) => {
                let chunk: Chunk = serde_json::from_slice(&json).unwrap_or_default();
                let Some(choice) = chunk.choices.into_iter().next() else {
                    continue;
                };
                content.push_str(choice.delta.content.as_deref().unwrap_or_default());
                finish = choice.finish_reason.or(finish);
            }
            Step::Done => break,
            Step::Failed(problem) => return Err(problem),
        }
    }
    Ok(completion(
        generation,
        &content,
        finish.as_deref().unwrap_or("stop"),
    ))
}

fn completion(generation: &Generation, content: &str, finish: &str) -> Response<BoxBody> {
    let ticket = generation.ticket();
    let body = json!({
        "id": format_request_id(ticket.id),
        "object": "chat.completion",
        "model": ticket.service.name,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": finish,
        }],
        "usage": {"completion_tokens": generation.tokens()},
    });
    ticket
        .answer(StatusCode::OK, Some(Outcome::Done))
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body.to_string())
        .map_into_boxed_body()
}
