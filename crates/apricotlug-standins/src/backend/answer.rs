//! Responses of a backend stand-in, and the valid and invalid forms in which it sends them.

use apricotlug_http::{Conn, Framing, HttpError, RequestHead, ResponseHead};

use super::{fault::Fault, server::BackendConfig};

/// Largest write of filler content, in bytes.
const MAX_WRITE_BYTES: u64 = 64 * 1024;

/// Form in which a response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    Complete,
    Truncated,
    ExtraResponse,
    Interim,
    UntilClose,
    Ambiguous,
}

/// Content of a response body; `Filler` is a number of bytes.
#[derive(Clone, Debug)]
enum Content {
    Text(String),
    Filler(u64),
}

/// Response of a backend stand-in.
#[derive(Clone, Debug)]
pub(super) struct Response {
    head: ResponseHead,
    content: Content,
    is_head: bool,
}

impl Response {
    /// Creates the response to a request that ran. A path that ends in `/filler/N` gives N bytes of
    /// filler.
    pub(super) fn completed(
        cfg: &BackendConfig,
        head: &RequestHead,
        received_bytes: u64,
        fault: Option<Fault>,
    ) -> Self {
        let status = if fault == Some(Fault::ServerError) {
            500
        } else {
            200
        };
        let mut response = Self::new(head, status);
        if fault == Some(Fault::CrossedAnswer) {
            response.head.headers.remove("apricotlug-request-id");
            response
                .head
                .headers
                .push("apricotlug-request-id", "of-another-request");
        }
        response.content = match head
            .path()
            .rsplit_once("/filler/")
            .map(|(_, len)| len.parse())
        {
            Some(Ok(len)) => Content::Filler(len),
            _ => Content::Text(describe_request(cfg, head, received_bytes)),
        };
        response
    }

    /// Creates the refusal of a request that did not run.
    pub(super) fn not_run(head: &RequestHead) -> Self {
        let mut response = Self::new(head, 503);
        response.head.headers.push("apricotlug-outcome", "not-run");
        response.content = Content::Text("not run\n".to_owned());
        response
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

    /// Sends the response. Returns whether the connection stays open for another request.
    pub(super) async fn send(mut self, conn: &mut Conn, form: Form) -> Result<bool, HttpError> {
        let len = match &self.content {
            Content::Text(text) => text.len() as u64,
            Content::Filler(len) => *len,
        };
        match form {
            Form::UntilClose => self.head.headers.push("connection", "close"),
            Form::Ambiguous => {
                self.head.headers.push("content-length", len.to_string());
                self.head.headers.push("transfer-encoding", "chunked");
            }
            _ => Framing::Length(len).announce(&mut self.head.headers),
        }
        if form == Form::Interim {
            conn.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n")
                .await?;
        }
        conn.write(&self.head.encode()).await?;
        if self.is_head {
            return Ok(true);
        }
        let len = if form == Form::Truncated {
            len / 2
        } else {
            len
        };
        self.send_content(conn, len).await?;
        if form == Form::ExtraResponse {
            conn.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray")
                .await?;
        }
        Ok(matches!(
            form,
            Form::Complete | Form::ExtraResponse | Form::Interim
        ))
    }

    async fn send_content(&self, conn: &mut Conn, len: u64) -> Result<(), HttpError> {
        match &self.content {
            Content::Text(text) => {
                conn.write(&text.as_bytes()[..usize::try_from(len).unwrap_or(0)])
                    .await
            }
            Content::Filler(_) => {
                let filler = vec![b'x'; MAX_WRITE_BYTES as usize];
                let mut remaining = len;
                while remaining > 0 {
                    let len = remaining.min(MAX_WRITE_BYTES);
                    conn.write(&filler[..len as usize]).await?;
                    remaining -= len;
                }
                Ok(())
            }
        }
    }
}

fn describe_request(cfg: &BackendConfig, head: &RequestHead, received_bytes: u64) -> String {
    let value = serde_json::json!({
        "endpoint": cfg.id,
        "version": cfg.version,
        "method": head.method,
        "target": head.target,
        "received_bytes": received_bytes,
    });
    format!("{value}\n")
}
