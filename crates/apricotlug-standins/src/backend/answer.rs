//! Answers of a backend stand-in, and the shapes in which it sends them.

use apricotlug_http::{Conn, Framing, HttpError, RequestHead, ResponseHead};

use super::{fault::Fault, server::BackendConfig};

/// Bytes written at once.
const PIECE_BYTES: u64 = 64 * 1024;

/// How an answer goes onto the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shape {
    Whole,
    Cut,
    Stray,
    Interim,
    UntilClose,
    Ambiguous,
}

/// Body of an answer.
#[derive(Clone, Debug)]
enum Content {
    Text(String),
    Filler(u64),
}

/// Answer of a backend stand-in.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    head: ResponseHead,
    content: Content,
    is_head: bool,
}

impl Answer {
    /// Returns the answer to a request that ran.
    pub(super) fn of(
        cfg: &BackendConfig,
        head: &RequestHead,
        received: u64,
        fault: Option<Fault>,
    ) -> Self {
        let status = if fault == Some(Fault::ServerError) {
            500
        } else {
            200
        };
        let mut answer = Self::new(head, status);
        if fault == Some(Fault::CrossedAnswer) {
            answer.head.headers.remove("apricotlug-request-id");
            answer
                .head
                .headers
                .push("apricotlug-request-id", "of-another-request");
        }
        answer.content = match head
            .path()
            .rsplit_once("/filler/")
            .map(|(_, len)| len.parse())
        {
            Some(Ok(len)) => Content::Filler(len),
            _ => Content::Text(describe(cfg, head, received)),
        };
        answer
    }

    /// Returns the refusal of a request that did not run.
    pub(super) fn not_run(head: &RequestHead) -> Self {
        let mut answer = Self::new(head, 503);
        answer.head.headers.push("apricotlug-outcome", "not-run");
        answer.content = Content::Text("not run\n".to_owned());
        answer
    }

    fn new(req: &RequestHead, status: u16) -> Self {
        let mut head = ResponseHead::new(status, "Stand-in");
        if let Some(id) = req.headers.get("apricotlug-request-id") {
            head.headers.push("apricotlug-request-id", id);
        }
        Self {
            head,
            content: Content::Text(String::new()),
            is_head: req.method == "HEAD",
        }
    }

    /// Sends the answer. Returns whether the connection may carry another.
    pub(super) async fn send(mut self, conn: &mut Conn, shape: Shape) -> Result<bool, HttpError> {
        let len = match &self.content {
            Content::Text(text) => text.len() as u64,
            Content::Filler(len) => *len,
        };
        match shape {
            Shape::UntilClose => self.head.headers.push("connection", "close"),
            Shape::Ambiguous => {
                self.head.headers.push("content-length", len.to_string());
                self.head.headers.push("transfer-encoding", "chunked");
            }
            _ => Framing::Length(len).announce(&mut self.head.headers),
        }
        if shape == Shape::Interim {
            conn.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n")
                .await?;
        }
        conn.write(&self.head.encode()).await?;
        if self.is_head {
            return Ok(true);
        }
        let len = if shape == Shape::Cut { len / 2 } else { len };
        self.send_content(conn, len).await?;
        if shape == Shape::Stray {
            conn.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray")
                .await?;
        }
        Ok(matches!(
            shape,
            Shape::Whole | Shape::Stray | Shape::Interim
        ))
    }

    async fn send_content(&self, conn: &mut Conn, len: u64) -> Result<(), HttpError> {
        match &self.content {
            Content::Text(text) => {
                conn.write(&text.as_bytes()[..usize::try_from(len).unwrap_or(0)])
                    .await
            }
            Content::Filler(_) => {
                let piece = vec![b'x'; PIECE_BYTES as usize];
                let mut left = len;
                while left > 0 {
                    let most = left.min(PIECE_BYTES);
                    conn.write(&piece[..most as usize]).await?;
                    left -= most;
                }
                Ok(())
            }
        }
    }
}

fn describe(cfg: &BackendConfig, head: &RequestHead, received: u64) -> String {
    let value = serde_json::json!({
        "endpoint": cfg.id,
        "version": cfg.version,
        "method": head.method,
        "target": head.target,
        "received_bytes": received,
    });
    format!("{value}\n")
}
