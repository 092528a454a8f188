//! Client accounts with their keys, and operators.

use std::ops::RangeInclusive;

use apricotlug_model::{
    Account, AccountKey, Bundle, Credential, FindingCode, Operator, Role, SecretHash,
};

use super::names::Names;
use crate::{doc::Doc, fields::Fields};

const RATE: RangeInclusive<i64> = 1..=10_000_000;
const BURST: RangeInclusive<i64> = 1..=10_000_000;

const ROLES: [(&str, Role); 3] = [
    ("viewer", Role::Viewer),
    ("responder", Role::Responder),
    ("signer", Role::Signer),
];

/// Reads accounts and operators. Ids of keys are unique over both.
pub(super) fn read<'t>(doc: &mut Doc<'_>, fields: &mut Fields<'t>, bundle: &mut Bundle) {
    let mut accounts = Names::new("client account");
    let mut keys = Names::new("key");
    for row in fields.tables(doc, "account", "a client account") {
        read_account(doc, row, &mut accounts, &mut keys, bundle);
    }
    let operators = fields.some_tables(doc, "operator", "an operator");
    let count = operators.len();
    for row in operators {
        read_operator(doc, row, &mut keys, bundle);
    }
    let is_whole = count > 0 && bundle.operators.len() == count;
    let has_signer = bundle.operators.values().any(|op| op.role == Role::Signer);
    if is_whole && !has_signer {
        doc.add(
            FindingCode::Contradiction,
            fields.offset_of("operator"),
            "no operator has the role `signer`",
            "add one: otherwise nobody can sign off the next bundle",
        );
    }
}

fn read_account<'t>(
    doc: &mut Doc<'_>,
    mut row: Fields<'t>,
    accounts: &mut Names<'t, AccountKey>,
    keys: &mut Names<'t, ()>,
    bundle: &mut Bundle,
) {
    let id = row.id(doc, "id");
    let rate = row.integer(doc, "rate", RATE);
    let burst = row.integer(doc, "burst", BURST);
    let key_rows = row.tables(doc, "keys", "a key");
    row.finish(doc);
    let account = bundle.accounts.push(Account {
        id: id.map(|id| id.value.to_owned()).unwrap_or_default(),
        rate: rate.unwrap_or_default(),
        burst: burst.unwrap_or_default(),
    });
    if let Some(id) = id {
        accounts.add(doc, id, Some(account));
    }
    for key_row in key_rows {
        read_key(doc, key_row, account, keys, bundle);
    }
}

fn read_key<'t>(
    doc: &mut Doc<'_>,
    mut row: Fields<'t>,
    account: AccountKey,
    keys: &mut Names<'t, ()>,
    bundle: &mut Bundle,
) {
    let id = row.key_id(doc, "id");
    let hash = read_hash(doc, &mut row);
    let is_withdrawn = row.flag(doc, "withdrawn");
    row.finish(doc);
    let Some(id) = id else { return };
    keys.add(doc, id, Some(()));
    let (Some(hash), Some(is_withdrawn)) = (hash, is_withdrawn) else {
        return;
    };
    let credential = Credential {
        account,
        hash,
        is_withdrawn,
    };
    bundle.credentials.insert(id.value.to_owned(), credential);
}

fn read_operator<'t>(
    doc: &mut Doc<'_>,
    mut row: Fields<'t>,
    keys: &mut Names<'t, ()>,
    bundle: &mut Bundle,
) {
    let id = row.key_id(doc, "id");
    let role = row.choice(doc, "role", &ROLES);
    let hash = read_hash(doc, &mut row);
    row.finish(doc);
    let Some(id) = id else { return };
    keys.add(doc, id, Some(()));
    let (Some(role), Some(hash)) = (role, hash) else {
        return;
    };
    let operator = Operator { hash, role };
    bundle.operators.insert(id.value.to_owned(), operator);
}

fn read_hash(doc: &mut Doc<'_>, row: &mut Fields<'_>) -> Option<SecretHash> {
    let salt = row.hex(doc, "salt");
    let digest = row.hex(doc, "digest");
    Some(SecretHash {
        salt: salt?,
        digest: digest?,
    })
}
