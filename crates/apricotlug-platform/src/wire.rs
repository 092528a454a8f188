//! Messages of the etcd v3 JSON gateway: bytes in base64, 64-bit integers as strings, fields at
//! their default value left out.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes, carried in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// 64-bit integer, carried as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
            Form::Number(number) => Ok(Self(number)),
        }
    }
}

/// Declares messages whose fields may be left out.
macro_rules! messages {
    ($($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty,)* })*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(default)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
        }
    )*};
}

messages! {
    /// Head of every answer.
    Header {
        /// Revision of the store.
        revision: Int64,
    }
    /// Key with its value and revisions.
    KeyValue {
        /// Key.
        key: Bytes,
        /// Revision of the store at which the key was created.
        create_revision: Int64,
        /// Revision of the store at which the key was last written.
        mod_revision: Int64,
        /// Number of writes since the key was created.
        version: Int64,
        /// Value.
        value: Bytes,
        /// Lease that the key is bound to; 0 is none.
        lease: Int64,
    }
    /// `POST /v3/kv/range`.
    RangeRequest {
        /// First key.
        key: Bytes,
        /// End of the range, excluded; empty for the one key.
        #[serde(skip_serializing_if = "Option::is_none")]
        range_end: Option<Bytes>,
        /// Whether values are left out of the answer.
        keys_only: bool,
    }
    /// Answer to a range request.
    RangeResponse {
        /// Head.
        header: Header,
        /// Keys found, sorted.
        kvs: Vec<KeyValue>,
    }
    /// `POST /v3/kv/put`.
    PutRequest {
        /// Key.
        key: Bytes,
        /// Value.
        value: Bytes,
        /// Lease to bind the key to; 0 is none.
        lease: Int64,
    }
    /// Answer to a put request.
    PutResponse {
        /// Head.
        header: Header,
    }
    /// `POST /v3/kv/deleterange`.
    DeleteRangeRequest {
        /// First key.
        key: Bytes,
        /// End of the range, excluded; empty for the one key.
        #[serde(skip_serializing_if = "Option::is_none")]
        range_end: Option<Bytes>,
    }
    /// Answer to a delete request.
    DeleteRangeResponse {
        /// Head.
        header: Header,
        /// Number of keys deleted.
        deleted: Int64,
    }
    /// Condition of a transaction. Only the operand that `target` names counts.
    Compare {
        /// Key.
        key: Bytes,
        /// What is compared.
        target: Target,
        /// How it is compared.
        result: Relation,
        /// Operand of `Target::Mod`.
        #[serde(skip_serializing_if = "Option::is_none")]
        mod_revision: Option<Int64>,
        /// Operand of `Target::Create`.
        #[serde(skip_serializing_if = "Option::is_none")]
        create_revision: Option<Int64>,
        /// Operand of `Target::Version`.
        #[serde(skip_serializing_if = "Option::is_none")]
        version: Option<Int64>,
    }
    /// One operation of a transaction; exactly one field is set.
    RequestOp {
        /// Read.
        #[serde(skip_serializing_if = "Option::is_none")]
        request_range: Option<RangeRequest>,
        /// Write.
        #[serde(skip_serializing_if = "Option::is_none")]
        request_put: Option<PutRequest>,
        /// Deletion.
        #[serde(skip_serializing_if = "Option::is_none")]
        request_delete_range: Option<DeleteRangeRequest>,
    }
    /// `POST /v3/kv/txn`.
    TxnRequest {
        /// Conditions; all must hold.
        compare: Vec<Compare>,
        /// Operations where they hold.
        success: Vec<RequestOp>,
        /// Operations where one does not.
        failure: Vec<RequestOp>,
    }
    /// Answer to one operation of a transaction.
    ResponseOp {
        /// Answer to a read.
        #[serde(skip_serializing_if = "Option::is_none")]
        response_range: Option<RangeResponse>,
        /// Answer to a write.
        #[serde(skip_serializing_if = "Option::is_none")]
        response_put: Option<PutResponse>,
        /// Answer to a deletion.
        #[serde(skip_serializing_if = "Option::is_none")]
        response_delete_range: Option<DeleteRangeResponse>,
    }
    /// Answer to a transaction.
    TxnResponse {
        /// Head.
        header: Header,
        /// Whether the conditions held.
        succeeded: bool,
        /// Answers in the order of the operations.
        responses: Vec<ResponseOp>,
    }
    /// `POST /v3/lease/grant`, `/v3/lease/keepalive` (id alone) and `/v3/lease/revoke` (id alone).
    #[allow(non_snake_case)]
    LeaseRequest {
        /// Id; 0 in a grant lets the platform choose.
        ID: Int64,
        /// Time to live, in seconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        TTL: Option<Int64>,
    }
    /// Answer to a lease request; a time to live of 0 tells that the lease is gone.
    #[allow(non_snake_case)]
    LeaseResponse {
        /// Head.
        header: Header,
        /// Id.
        ID: Int64,
        /// Time to live, in seconds.
        TTL: Int64,
    }
    /// `POST /v3/watch`.
    WatchRequest {
        /// What to watch.
        create_request: WatchCreateRequest,
    }
    /// Range and start of a watch.
    WatchCreateRequest {
        /// First key.
        key: Bytes,
        /// End of the range, excluded; empty for the one key.
        #[serde(skip_serializing_if = "Option::is_none")]
        range_end: Option<Bytes>,
        /// First revision to report; 0 is the next one.
        start_revision: Int64,
    }
    /// One message of a watch.
    WatchResponse {
        /// Head.
        header: Header,
        /// Whether this message tells that the watch was created.
        created: bool,
        /// Whether the watch has ended.
        canceled: bool,
        /// Oldest revision that still has a history; 0 where that is no matter.
        compact_revision: Int64,
        /// Changes, in the order of their revisions.
        events: Vec<Event>,
    }
    /// One change.
    Event {
        /// Kind of change.
        #[serde(rename = "type")]
        kind: EventKind,
        /// Key after the change; after a deletion only the key and the revision count.
        kv: KeyValue,
    }
    /// Answer to a call that failed.
    ErrorResponse {
        /// What went wrong.
        error: String,
        /// Code of the gateway's protocol.
        code: i32,
    }
}

/// One message of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// What a condition compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Number of writes since the key was created.
    #[default]
    Version,
    /// Revision at which the key was created; 0 where it does not exist.
    Create,
    /// Revision at which the key was last written; 0 where it does not exist.
    Mod,
}

/// How a condition compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Relation {
    /// Equal.
    #[default]
    Equal,
    /// Greater than the operand.
    Greater,
    /// Less than the operand.
    Less,
}

/// Kind of change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// Key written.
    #[default]
    Put,
    /// Key deleted, also by the end of its lease.
    Delete,
}

/// Returns the end of the range of all keys with a prefix.
#[must_use]
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
