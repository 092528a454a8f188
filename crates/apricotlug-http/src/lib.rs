//! HTTP/1.1 heads, framing and bodies, validated on both the client and the server side, and a
//! server loop that passes complete requests to a `tide` application.
//!
//! Heads are tokenised by `httparse`. A message whose end is ambiguous is an error in either
//! direction: it is never forwarded as complete.

mod body;
mod conn;
mod error;
mod framing;
mod gate;
mod head;
mod request;
mod serve;
mod stream;
mod turn;

pub use body::{BodyReader, BodyWriter};
pub use conn::{Conn, Limits, connect};
pub use error::{HttpError, Phase};
pub use framing::{Framing, request_framing, response_framing};
pub use gate::{ConnGate, ConnPermit, GateCounts};
pub use head::{Headers, RequestHead, ResponseHead};
pub use request::{Reply, exchange};
pub use serve::{AfterResponse, AppLimits, serve_app};
pub use stream::Stream;
pub use turn::{Step, Turn};
