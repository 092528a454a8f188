//! Client of an entry instance: each request on a new channel, none is sent again.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{http::Message, record::Record};

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub host: String,
    pub path: String,
    pub key: Option<String>,
    /// Time budget, after which the client leaves.
    pub budget_ms: u64,
}

/// Sends a request and waits for the answer. Returns its status; `None` without an answer.
pub fn send(to: SocketAddr, request: &Request, record: &Record) -> Option<u16> {
    let Request {
        id,
        host,
        path,
        key,
        budget_ms,
    } = request;
    let mut message = Message::new(format!("GET {path} HTTP/1.1"))
        .with("Host", host)
        .with("Request-Identifier", id)
        .with("Deadline-Milliseconds", budget_ms);
    if let Some(key) = key {
        message = message.with("Authorization", format!("Bearer {key}"));
    }
    record.line(&format!("request {id} is sent"));
    let response = exchange(to, &message, Duration::from_millis(*budget_ms));
    let status = response.map(|response| response.status());
    match status {
        Some(status) => record.line(&format!("request {id} is answered {status}")),
        None => record.line(&format!("request {id} gets no answer")),
    }
    status
}

/// Sends a request from a thread of its own.
pub fn spawn(to: SocketAddr, request: Request, record: &Record) -> JoinHandle<Option<u16>> {
    let record = record.clone();
    thread::spawn(move || send(to, &request, &record))
}

/// Channel to an entry instance that a client keeps for several requests.
pub struct Channel(TcpStream);

impl Channel {
    /// Opens a channel; `None` where that takes more than a second.
    pub fn open(to: SocketAddr) -> Option<Self> {
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok().map(Self)
    }

    /// Sends a request with a body of `len` bytes. Returns the status of the answer; `None` where the
    /// channel ends without one.
    pub fn post(&mut self, request: &Request, len: usize, record: &Record) -> Option<u16> {
        let Request { id, host, path, .. } = request;
        let message = Message::new(format!("POST {path} HTTP/1.1"))
            .with("Host", host)
            .with("Request-Identifier", id)
            .with("Deadline-Milliseconds", request.budget_ms)
            .with_body(vec![b'x'; len]);
        record.line(&format!("request {id} with {len} bytes is sent"));
        let response = self.exchange(&message, Duration::from_millis(request.budget_ms));
        let status = response.map(|response| response.status());
        match status {
            Some(status) => record.line(&format!("request {id} is answered {status}")),
            None => record.line(&format!("request {id} gets no answer")),
        }
        status
    }

    fn exchange(&mut self, message: &Message, time_limit: Duration) -> Option<Message> {
        self.0.set_read_timeout(Some(time_limit)).ok()?;
        message.write(&self.0).ok()?;
        Message::read(&mut BufReader::new(&self.0)).ok()?
    }
}

/// Gets a path; `None` without an answer within a second.
pub fn get(to: SocketAddr, path: &str) -> Option<Message> {
    let message = Message::new(format!("GET {path} HTTP/1.1")).with("Host", to);
    exchange(to, &message, Duration::from_secs(1))
}

fn exchange(to: SocketAddr, message: &Message, time_limit: Duration) -> Option<Message> {
    Channel::open(to)?.exchange(message, time_limit)
}
