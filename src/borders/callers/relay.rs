//! Combines the chunks of one or more decode attempts into one response.

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

/// The response to one caller and the part of it that has been relayed.
pub struct Relay {
    request: ids::RequestId,
    api: engines::Api,
    model: Bytes,
    stream: bool,
    include_usage: bool,
    relayed_tokens: u32,
    skip_tokens: u32,
    text: String,
    finish_reason: Option<String>,
    usage: Option<request::Usage>,
}

impl Relay {
    /// Creates a relay for a response that has not started.
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
            finish_reason: None,
            usage: None,
        }
    }

    /// Returns the number of tokens relayed so far in all attempts.
    pub fn relayed_tokens(&self) -> u32 {
        self.relayed_tokens
    }

    /// Returns the token counts that the engine reported; without a report, the relayed tokens.
    pub fn usage(&self) -> request::Usage {
        self.usage.unwrap_or(request::Usage {
            completion_tokens: self.relayed_tokens,
            ..request::Usage::default()
        })
    }

    /// Returns whether the last token has been relayed.
    pub fn is_finished(&self) -> bool {
        self.finish_reason.is_some()
    }

    /// Returns whether the last token has been relayed and the number of relayed tokens equals
    /// the engine's count, if it reported one.
    pub fn is_complete(&self) -> bool {
        let is_counted =
            self.usage.is_none_or(|usage| usage.completion_tokens == self.relayed_tokens);
        self.finish_reason.is_some() && is_counted
    }

    /// Prepares for an attempt. An attempt that does not resume generates the relayed tokens again;
    /// these are skipped.
    pub fn begin_attempt(&mut self, start: request::Start) {
        self.skip_tokens = match start {
            request::Start::Resume => 0,
            request::Start::Import | request::Start::Prefill => self.relayed_tokens,
        };
    }

    /// Relays one chunk, or collects its text if the response is not streamed.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn relay_chunk(
        &mut self,
        chunk: engines::Chunk,
        reply: &mut reply::Reply,
    ) -> Result<(), reply::Disconnected> {
        match chunk.content {
            engines::Content::Token { text, finish_reason } => {
                if self.skip_tokens > 0 {
                    self.skip_tokens -= 1;
                    return Ok(());
                }
                self.relayed_tokens += 1;
                self.finish_reason = finish_reason;
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

    /// Ends the event stream, or sends the whole response if it is not streamed.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn finish(&mut self, reply: &mut reply::Reply) -> Result<(), reply::Disconnected> {
        if self.stream {
            self.write_event(b"[DONE]", reply).await?;
            return reply.finish().await;
        }
        let mut response = hyper::Response::new(http::full(self.whole_response()));
        let content_type = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        reply.send_response(response);
        Ok(())
    }

    /// Returns the event that ends a stream with an error; `None` if the response is not streamed.
    pub fn error_event(&self, refusal: &request::Refusal) -> Option<Bytes> {
        self.stream.then(|| event(&errors::refusal_json(refusal)))
    }

    async fn write_event(
        &self,
        data: &[u8],
        reply: &mut reply::Reply,
    ) -> Result<(), reply::Disconnected> {
        if !reply.is_started() {
            reply.start(stream_head())?;
        }
        reply.write(body::Frame::data(event(data))).await
    }

    fn whole_response(&self) -> Bytes {
        let usage = self.usage();
        let (object, choice) = match self.api {
            engines::Api::Completions => (
                "text_completion",
                json!({ "index": 0, "text": self.text, "finish_reason": self.finish_reason }),
            ),
            engines::Api::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": self.text },
                    "finish_reason": self.finish_reason,
                }),
            ),
        };
        let response = json!({
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
        Bytes::from(response.to_string())
    }
}

fn stream_head() -> hyper::Response<()> {
    let mut head = hyper::Response::new(());
    let headers = head.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-cache"));
    head
}

/// Encodes one server-sent event.
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
