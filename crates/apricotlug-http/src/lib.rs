//! HTTP/1.1 heads, framing and bodies, checked on every leg, and a server loop that hands whole
//! requests to a `tide` application.
//!
//! Heads are tokenised by `httparse`. A message whose end cannot be told for certain is an
//! error on either leg: it is never passed on as whole.

mod body;
mod conn;
mod error;
mod framing;
mod head;
mod request;
mod serve;

pub use body::{BodyReader, BodyWriter};
pub use conn::{Conn, Limits, write_all as write_to};
pub use error::{HttpError, Leg};
pub use framing::{Framing, request_framing, response_framing};
pub use head::{Headers, RequestHead, ResponseHead};
pub use request::{Reply, exchange};
pub use serve::{Served, serve_app};
