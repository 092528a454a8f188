//! Order tokens: text form and checks.

use std::{fmt, str::FromStr};

use apricotlug_model::{InstanceId, UnixTime};
use thiserror::Error;

/// Longest text of a token, in bytes.
const MAX_TOKEN_BYTES: usize = 256;

/// Token of one order, bound to the incarnation that issued it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderToken {
    /// Incarnation that alone may run the order.
    pub holder: InstanceId,
    /// Point on the holder's clock after which the token starts no run.
    pub expires_at: UnixTime,
    /// Random number that tells the tokens of a holder apart.
    pub nonce: u64,
}

impl fmt::Display for OrderToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:x}.{:016x}",
            self.holder, self.expires_at.0, self.nonce
        )
    }
}

/// Why a text is no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not an order token: expected NAME~INCARNATION.EXPIRY.NONCE as issued by an instance")]
pub struct TokenError;

impl FromStr for OrderToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError);
        }
        let (rest, nonce) = text.rsplit_once('.').ok_or(TokenError)?;
        let (rest, expiry) = rest.rsplit_once('.').ok_or(TokenError)?;
        let (name, incarnation) = rest.rsplit_once('~').ok_or(TokenError)?;
        if name.is_empty() {
            return Err(TokenError);
        }
        Ok(Self {
            holder: InstanceId {
                name: name.to_owned(),
                incarnation: hex(incarnation)?,
            },
            expires_at: UnixTime(hex(expiry)?),
            nonce: hex(nonce)?,
        })
    }
}

fn hex(digits: &str) -> Result<u64, TokenError> {
    let is_hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let value = u64::from_str_radix(digits, 16).ok().filter(|_| is_hex);
    value.ok_or(TokenError)
}
