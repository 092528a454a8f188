//! Order tokens: formatting and parsing.

use std::{fmt, str::FromStr};

use apricotlug_model::{InstanceId, UnixTime};
use thiserror::Error;

/// Maximum length of a token's text, in bytes.
const MAX_TOKEN_BYTES: usize = 256;

/// Token of one order, bound to the instance incarnation that issued it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderToken {
    /// The only incarnation that may run the order.
    pub holder: InstanceId,
    /// Time on the holder's clock from which on the token can no longer start an order.
    pub expires_at: UnixTime,
    /// Random number that distinguishes the tokens of a holder.
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

/// The text is not a valid order token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not an order token: expected NAME~INCARNATION.EXPIRY.NONCE as issued by an instance")]
pub struct TokenError;

impl FromStr for OrderToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError);
        }
        let (prefix, nonce) = text.rsplit_once('.').ok_or(TokenError)?;
        let (prefix, expiry) = prefix.rsplit_once('.').ok_or(TokenError)?;
        let (name, incarnation) = prefix.rsplit_once('~').ok_or(TokenError)?;
        if name.is_empty() {
            return Err(TokenError);
        }
        Ok(Self {
            holder: InstanceId {
                name: name.to_owned(),
                incarnation: parse_hex(incarnation)?,
            },
            expires_at: UnixTime(parse_hex(expiry)?),
            nonce: parse_hex(nonce)?,
        })
    }
}

fn parse_hex(digits: &str) -> Result<u64, TokenError> {
    let is_hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let value = u64::from_str_radix(digits, 16).ok().filter(|_| is_hex);
    value.ok_or(TokenError)
}
