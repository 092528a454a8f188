//! HTTP/1.1 messages with a length, as all stand-ins here speak them.

use std::{
    io::{self, BufRead, Write},
    net::TcpStream,
};

/// Message with its first line, header lines and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn new(first_line: impl Into<String>) -> Self {
        Self {
            first_line: first_line.into(),
            ..Self::default()
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the method, the path and the parameters of a request.
    pub fn target(&self) -> (String, String, Vec<(String, String)>) {
        let mut words = self.first_line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let pairs = pairs.map(|(name, value)| (name.to_owned(), unescape(value)));
        (method, path.to_owned(), pairs.collect())
    }

    /// Reads a message; `None` at the end of the stream.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut message = Self::new(line.trim_end());
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            message = message.with(name.trim(), value.trim());
        }
        let len = message.header("content-length").and_then(|len| len.parse().ok());
        message.body = vec![0; len.unwrap_or(0)];
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    /// Writes a message with the length of its body.
    pub fn write(&self, mut stream: &TcpStream) -> io::Result<()> {
        let mut bytes = format!("{}\r\n", self.first_line).into_bytes();
        for (name, value) in &self.headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", self.body.len()).as_bytes());
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
