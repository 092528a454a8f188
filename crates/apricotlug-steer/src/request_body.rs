//! Request bodies: read whole before a backend server is chosen, each within the room that all of
//! them share, which is taken before the bytes are read.

use std::{
    mem,
    net::Shutdown,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use apricotlug_edge::Clock;
use apricotlug_http::{BodyReader, Conn, ConnPermit, Framing, HttpError};
use apricotlug_model::HashMap;
use apricotlug_policy::steer::{BodyKey, BodyRoom, BodyRoomDecision};
use async_std::net::TcpStream;

use crate::{
    body_buffer::BufferedBytes,
    pages::{PAGE_BYTES, PagedBytes},
};

/// Room for the buffer of the connection that a body is read from, in bytes.
const CONN_BYTES: usize = 16 * 1024;

/// Bytes of a body of unknown length for which room is taken in advance: the largest read.
const NEXT_READ_BYTES: usize = 16 * 1024;

/// Received bytes after which progress is recorded.
const PROGRESS_BYTES: usize = 4 * 1024;

/// Bodies of an instance, and the room that they share with answers.
#[derive(Debug)]
pub struct RequestBodies {
    total: u64,
    state: Mutex<State>,
    answers: Arc<BufferedBytes>,
    clock: Clock,
}

#[derive(Debug)]
struct State {
    room: BodyRoom,
    streams: HashMap<BodyKey, TcpStream>,
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// There is no room for it.
    NoRoom,
    /// It made no progress, and another needed its room.
    Stalled,
    /// It is malformed or too long, or its connection failed.
    Http(HttpError),
    /// Its connection was closed for another one.
    Displaced,
}

impl RequestBodies {
    /// Creates room of `total` bytes, which `answers` take part in.
    #[must_use]
    pub fn new(total: u64, answers: Arc<BufferedBytes>, clock: Clock) -> Self {
        Self {
            total,
            state: Mutex::new(State {
                room: BodyRoom::new(total),
                streams: HashMap::default(),
            }),
            answers,
            clock,
        }
    }

    /// Returns the bytes of room that bodies have.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.state().room.used()
    }

    /// Takes room for a body that is about to be read: for all of one that declares its length.
    ///
    /// # Errors
    /// Returns an error if there is no room.
    pub fn start(
        self: &Arc<Self>,
        framing: Framing,
        conn: &Conn,
    ) -> Result<RequestBody, BodyError> {
        let mut body = RequestBody {
            content: PagedBytes::new(Arc::clone(self.answers.pages())),
            declared: match framing {
                Framing::Empty => Some(0),
                Framing::Length(len) => Some(usize::try_from(len).unwrap_or(usize::MAX)),
                Framing::Chunked | Framing::UntilClose => None,
            },
            held: None,
        };
        if body.declared == Some(0) {
            return Ok(body);
        }
        let len = body.declared.unwrap_or(NEXT_READ_BYTES);
        let held = self.hold(conn.socket(), len).ok_or(BodyError::NoRoom)?;
        body.held = Some(held);
        Ok(body)
    }

    /// Takes room for `len` bytes that are about to be read from a stream. Where another needs it and
    /// they stop coming, the stream is shut down for reading.
    #[must_use]
    pub(crate) fn hold(self: &Arc<Self>, stream: TcpStream, len: usize) -> Option<HeldRoom> {
        let key = {
            let mut state = self.state();
            let key = state.room.add(self.clock.now());
            state.streams.insert(key, stream);
            key
        };
        let held = HeldRoom {
            key,
            bodies: Arc::clone(self),
        };
        held.resize(len).then_some(held)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leaves the answers what the bodies do not use.
    fn limit_answers(&self, state: &State) {
        let left = self.total.saturating_sub(state.room.used());
        self.answers
            .set_max(usize::try_from(left).unwrap_or(usize::MAX));
    }
}

/// Room of one body or message, released on drop.
#[derive(Debug)]
pub(crate) struct HeldRoom {
    key: BodyKey,
    bodies: Arc<RequestBodies>,
}

impl HeldRoom {
    /// Takes room for `len` bytes of content in all. Returns whether there is enough.
    fn resize(&self, len: usize) -> bool {
        let bodies = &self.bodies;
        let (now, answers) = (bodies.clock.now(), bodies.answers.get() as u64);
        let mut state = bodies.state();
        let decision = state.room.resize(self.key, room_for(len), answers, now);
        bodies.limit_answers(&state);
        match decision {
            BodyRoomDecision::Granted => true,
            BodyRoomDecision::Refused => false,
            BodyRoomDecision::GrantedInPlaceOf(lost) => {
                for key in lost {
                    if let Some(stream) = state.streams.remove(&key) {
                        // Ends the pending read. A failure means that the connection has ended.
                        let _ = stream.shutdown(Shutdown::Read);
                    }
                }
                true
            }
        }
    }

    /// Records received bytes. Returns whether the body still has its room: bytes that were under way
    /// arrive also after another one got it.
    pub(crate) fn on_received(&self, bytes: usize) -> bool {
        let now = self.bodies.clock.now();
        let mut state = self.bodies.state();
        state.room.on_received(self.key, bytes as u64, now);
        state.streams.contains_key(&self.key)
    }

    /// Records that the body is complete. Returns whether it still has its room, which it then keeps.
    fn on_complete(&self) -> bool {
        let mut state = self.bodies.state();
        let has_room = state.streams.contains_key(&self.key);
        if has_room {
            state.room.on_complete(self.key);
        }
        has_room
    }

    fn is_lost(&self) -> bool {
        !self.bodies.state().streams.contains_key(&self.key)
    }
}

impl Drop for HeldRoom {
    fn drop(&mut self) {
        let mut state = self.bodies.state();
        state.room.release(self.key);
        state.streams.remove(&self.key);
        self.bodies.limit_answers(&state);
    }
}

/// Body of a request.
#[derive(Debug)]
pub struct RequestBody {
    content: PagedBytes,
    declared: Option<usize>,
    held: Option<HeldRoom>,
}

impl RequestBody {
    /// Reads the body to its end.
    ///
    /// # Errors
    /// Returns an error if there is no room for more, or the body cannot be read.
    pub async fn read(
        mut self,
        conn: &mut Conn,
        permit: &mut ConnPermit,
        mut reader: BodyReader,
    ) -> Result<Self, BodyError> {
        let Some(held) = self.held.take() else {
            return Ok(self);
        };
        let mut received = 0;
        loop {
            if self.declared.is_none() && !held.resize(self.content.len() + NEXT_READ_BYTES) {
                return Err(BodyError::NoRoom);
            }
            let piece = match reader.next(conn).await {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(_) if held.is_lost() => return Err(BodyError::Stalled),
                Err(e) => return Err(BodyError::Http(e)),
            };
            self.content.push(&piece);
            received += piece.len();
            if received < PROGRESS_BYTES {
                continue;
            }
            if !held.on_received(mem::take(&mut received)) {
                return Err(BodyError::Stalled);
            }
            if !permit.on_progress() {
                return Err(BodyError::Displaced);
            }
        }
        if !held.on_complete() {
            return Err(BodyError::Stalled);
        }
        self.held = Some(held);
        Ok(self)
    }

    /// Returns the length, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.content.len()
    }

    /// Iterates over the content page by page, in order.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.content.pieces()
    }
}

/// Returns the room that a body of `len` bytes takes, in bytes: its pages, and the buffer of its
/// connection.
fn room_for(len: usize) -> u64 {
    let pages = (len.div_ceil(PAGE_BYTES) as u64).saturating_mul(PAGE_BYTES as u64);
    pages.saturating_add(CONN_BYTES as u64)
}
