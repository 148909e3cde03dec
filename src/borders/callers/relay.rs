//! Turns the chunks of one or more attempts into exactly one answer.

use std::time;

use bytes::{Bytes, BytesMut};
use hyper::body;
use hyper::header;
use serde_json::json;

use crate::borders::callers::completion;
use crate::borders::callers::errors;
use crate::borders::callers::reply;
use crate::borders::engines;
use crate::borders::http;
use crate::core::ids;
use crate::core::request;

/// The answer to one caller, as far as it has been relayed.
pub struct Relay {
    request: ids::RequestId,
    api: engines::Api,
    model: Bytes,
    stream: bool,
    include_usage: bool,
    relayed_tokens: u32,
    skip_tokens: u32,
    text: String,
    finish: Option<String>,
    usage: Option<request::Usage>,
}

impl Relay {
    /// Creates an empty answer.
    pub fn new(request: ids::RequestId, completion: &completion::Completion) -> Self {
        Self {
            request,
            api: completion.api,
            model: completion.call.model.clone(),
            stream: completion.stream,
            include_usage: completion.include_usage,
            relayed_tokens: 0,
            skip_tokens: 0,
            text: String::new(),
            finish: None,
            usage: None,
        }
    }

    /// Returns the tokens relayed so far, over all attempts.
    pub fn relayed_tokens(&self) -> u32 {
        self.relayed_tokens
    }

    /// Returns what the engine counted.
    pub fn usage(&self) -> request::Usage {
        self.usage.unwrap_or(request::Usage {
            completion_tokens: self.relayed_tokens,
            ..request::Usage::default()
        })
    }

    /// Returns whether the last token has been relayed.
    pub fn is_finished(&self) -> bool {
        self.finish.is_some()
    }

    /// Returns whether the last token has been relayed, and as many as the engine counted.
    pub fn is_complete(&self) -> bool {
        let is_counted =
            self.usage.is_none_or(|usage| usage.completion_tokens == self.relayed_tokens);
        self.finish.is_some() && is_counted
    }

    /// Prepares for an attempt; one that starts from the prompt repeats tokens that are skipped.
    pub fn begin_attempt(&mut self, start: request::Start) {
        self.skip_tokens = match start {
            request::Start::Resume => 0,
            request::Start::Import | request::Start::Prefill => self.relayed_tokens,
        };
    }

    /// Relays one chunk.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    pub async fn take(
        &mut self,
        chunk: engines::Chunk,
        reply: &mut reply::Reply,
    ) -> Result<(), reply::Gone> {
        match chunk.content {
            engines::Content::Token { text, finish } => {
                if self.skip_tokens > 0 {
                    self.skip_tokens -= 1;
                    return Ok(());
                }
                self.relayed_tokens += 1;
                self.finish = finish;
                if self.stream {
                    return self.write_event(&chunk.data, reply).await;
                }
                self.text.push_str(&text);
                Ok(())
            }
            engines::Content::Usage(usage) => {
                self.usage = Some(usage);
                if self.stream && self.include_usage {
                    return self.write_event(&chunk.data, reply).await;
                }
                Ok(())
            }
            engines::Content::Other => Ok(()),
        }
    }

    /// Ends the answer.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone away.
    pub async fn finish(&mut self, reply: &mut reply::Reply) -> Result<(), reply::Gone> {
        if self.stream {
            self.write_event(b"[DONE]", reply).await?;
            return reply.finish().await;
        }
        let mut response = hyper::Response::new(http::full(self.whole_answer()));
        let kind = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        reply.send_whole(response);
        Ok(())
    }

    /// Returns the event that ends a stream with an error.
    pub fn error_event(&self, refusal: &request::Refusal) -> Option<Bytes> {
        self.stream.then(|| event(&errors::refusal_json(refusal)))
    }

    async fn write_event(&self, data: &[u8], reply: &mut reply::Reply) -> Result<(), reply::Gone> {
        if !reply.is_started() {
            reply.start(stream_head())?;
        }
        reply.write(body::Frame::data(event(data))).await
    }

    fn whole_answer(&self) -> Bytes {
        let usage = self.usage();
        let (object, choice) = match self.api {
            engines::Api::Completions => (
                "text_completion",
                json!({ "index": 0, "text": self.text, "finish_reason": self.finish }),
            ),
            engines::Api::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": self.text },
                    "finish_reason": self.finish,
                }),
            ),
        };
        let answer = json!({
            "id": format!("cmpl-{}", ids::request_text(self.request)),
            "object": object,
            "created": unix_seconds(),
            "model": String::from_utf8_lossy(&self.model),
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": u64::from(usage.prompt_tokens) + u64::from(usage.completion_tokens),
            },
        });
        Bytes::from(answer.to_string())
    }
}

fn stream_head() -> hyper::Response<()> {
    let mut head = hyper::Response::new(());
    let headers = head.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-cache"));
    head
}

/// Frames one server-sent event.
fn event(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.freeze()
}

fn unix_seconds() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since_epoch.map(|elapsed| elapsed.as_secs()).unwrap_or_default()
}
