//! Settings of one process: its own addresses, its data centre, where the platform is.

use std::net::SocketAddr;

use apricotlug_model::{FindingCode, Findings};

use crate::{
    doc::{At, Doc},
    fields::Fields,
    value::Port,
};

const DEFAULT_DRAIN_MS: u32 = 30_000;
const MAX_DRAIN_MS: i64 = 3_600_000;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance, unique among live instances.
    pub instance: String,
    /// Id of the data centre where it runs, as the bundle names it.
    pub data_centre: String,
    /// Least severe log lines that are written.
    pub log_level: LogLevel,
    /// Own addresses.
    pub listen: Listen,
    /// Addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// Peer addresses of other instances to start from; may be empty.
    pub peers: Vec<SocketAddr>,
    /// Time that a graceful shutdown may take, in milliseconds.
    pub drain_ms: u32,
}

/// Addresses that a process listens on. Port 0 lets the system pick a free one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Look-ups.
    pub lookup: SocketAddr,
    /// Administration API, readiness and metrics.
    pub admin: SocketAddr,
    /// Other instances.
    pub peer: SocketAddr,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures.
    Error,
    /// Failures and what may lead to them.
    Warn,
    /// Also one line a decision.
    Info,
    /// Also what helps in the search for a fault.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    pub(crate) const WORDS: [(&'static str, Self); 5] = [
        ("error", Self::Error),
        ("warn", Self::Warn),
        ("info", Self::Info),
        ("debug", Self::Debug),
        ("trace", Self::Trace),
    ];

    /// Returns the level that a word of the settings stands for.
    #[must_use]
    pub fn from_word(word: &str) -> Option<Self> {
        Self::WORDS
            .into_iter()
            .find(|(known, _)| *known == word)
            .map(|(_, level)| level)
    }

    /// Returns the word that settings use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// Parses and checks settings.
///
/// # Errors
/// Returns every finding, in the order of their places.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Findings> {
    let mut doc = Doc::new(file, text);
    let table = doc.table()?;
    let fields = Fields::new(table.get_ref(), 0, "the file");
    let settings = read(&mut doc, fields);
    match settings {
        Some(settings) => doc.finish(settings),
        None => Err(doc.take_findings()),
    }
}

fn read(doc: &mut Doc<'_>, mut fields: Fields<'_>) -> Option<Settings> {
    let instance = fields.id(doc, "instance");
    let data_centre = fields.id(doc, "data_centre");
    let log_level = fields.choice(doc, "log_level", &LogLevel::WORDS);
    let listen = fields.table(doc, "listen", "`listen`");
    let listen = listen.and_then(|listen| read_listen(doc, listen));
    let platform = fields.some_addrs(doc, "platform");
    let peers = fields.addrs(doc, "peers");
    let drain_ms = fields.integer_or(doc, "drain_ms", 0..=MAX_DRAIN_MS, DEFAULT_DRAIN_MS);
    fields.finish(doc);
    Some(Settings {
        instance: instance?.value.to_owned(),
        data_centre: data_centre?.value.to_owned(),
        log_level: log_level?,
        listen: listen?,
        platform,
        peers,
        drain_ms: drain_ms?,
    })
}

fn read_listen(doc: &mut Doc<'_>, mut fields: Fields<'_>) -> Option<Listen> {
    let caller = fields.addr(doc, "caller", Port::Any);
    let lookup = fields.addr(doc, "lookup", Port::Any);
    let admin = fields.addr(doc, "admin", Port::Any);
    let peer = fields.addr(doc, "peer", Port::Any);
    fields.finish(doc);
    check_distinct(doc, [caller, lookup, admin, peer]);
    Some(Listen {
        caller: caller?.value,
        lookup: lookup?.value,
        admin: admin?.value,
        peer: peer?.value,
    })
}

fn check_distinct(doc: &mut Doc<'_>, addrs: [Option<At<SocketAddr>>; 4]) {
    let addrs: Vec<_> = addrs.into_iter().flatten().collect();
    for (i, addr) in addrs.iter().enumerate() {
        let is_used = addrs[..i].iter().any(|other| other.value == addr.value);
        if is_used && addr.value.port() != 0 {
            doc.add(
                FindingCode::Duplicate,
                addr.offset,
                format!("{} is used by two listeners", addr.value),
                "give each listener a port of its own",
            );
        }
    }
}
