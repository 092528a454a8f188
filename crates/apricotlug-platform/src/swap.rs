//! Writes and deletions under a comparison, with outcomes that stay true when answers are lost.

use crate::{
    CallKind, Client, Entry, Error, Fence, Result, Swap, WriteId, envelope,
    wire::{
        Bytes, Compare, DeleteRangeRequest, Int64, PutRequest, RangeRequest, RequestOp, Target,
        TxnRequest, TxnResponse,
    },
};

const TXN_PATH: &str = "/v3/kv/txn";

/// Largest stored value, envelope included, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

impl Client {
    /// Writes a key where it still stands as `expected`, or does not exist where that is `None`.
    ///
    /// # Errors
    /// When the write surely had no effect, for another reason than a conflict.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<&Entry>,
        value: &[u8],
    ) -> Result<Swap> {
        self.swap(key, expected, value, 0, None).await
    }

    /// Writes like [`Client::compare_and_swap`], and only while the leadership stands.
    ///
    /// # Errors
    /// When the write surely had no effect, for another reason than a conflict.
    pub async fn compare_and_swap_fenced(
        &self,
        key: &str,
        expected: Option<&Entry>,
        value: &[u8],
        fence: &Fence,
    ) -> Result<Swap> {
        self.swap(key, expected, value, 0, Some(fence)).await
    }

    /// Deletes a key where it still stands as `expected`. Returns whether it is gone.
    ///
    /// # Errors
    /// When no attempt brought a usable answer.
    pub async fn delete(&self, expected: &Entry) -> Result<bool> {
        let key = Bytes(expected.key.clone().into_bytes());
        let req = TxnRequest {
            compare: vec![is_unchanged(&key, Some(expected))],
            success: vec![RequestOp {
                request_delete_range: Some(DeleteRangeRequest {
                    key: key.clone(),
                    range_end: None,
                }),
                ..RequestOp::default()
            }],
            failure: vec![read_op(&key)],
        };
        let mut answer: TxnResponse = self.call_repeated(CallKind::Write, TXN_PATH, &req).await?;
        Ok(answer.succeeded || take_entry(&mut answer, 0).is_none())
    }

    pub(crate) async fn swap(
        &self,
        key: &str,
        expected: Option<&Entry>,
        value: &[u8],
        lease: i64,
        fence: Option<&Fence>,
    ) -> Result<Swap> {
        let id = self.draw_write_id();
        let earlier = expected.map_or(&[][..], |entry| &entry.lineage);
        let stored = envelope::seal(id, earlier, value);
        if stored.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge {
                bytes: stored.len(),
                limit: MAX_VALUE_BYTES,
            });
        }
        let req = swap_request(key, expected, stored, lease, fence);
        let mut is_uncertain = false;
        let mut backoff = self.backoff();
        let mut last = Error::Malformed("no attempt is allowed".to_owned());
        for attempt in 0..self.cfg().attempts {
            if attempt > 0 {
                self.wait(&mut backoff).await;
            }
            let answer: Result<TxnResponse> = self.call(CallKind::Write, TXN_PATH, &req).await;
            match answer {
                Ok(answer) => return Ok(read_swap(answer, id, expected, fence, is_uncertain)),
                Err(e) if !e.is_transient() && !is_uncertain => return Err(e),
                Err(e) => {
                    is_uncertain |= !e.is_not_run();
                    last = e;
                }
            }
        }
        if !is_uncertain {
            return Err(last);
        }
        Ok(self.read_back(key, id, expected).await)
    }

    /// Looks for an uncertain write where transactions fail but reads may still succeed.
    async fn read_back(&self, key: &str, id: WriteId, expected: Option<&Entry>) -> Swap {
        let Ok(current) = self.get(key).await else {
            return Swap::Unknown;
        };
        let is_unchanged = current.as_ref().map(|entry| entry.mod_revision)
            == expected.map(|entry| entry.mod_revision);
        if is_unchanged {
            // The request may still be on its way.
            return Swap::Unknown;
        }
        Swap::judge(id, expected, current, true)
    }
}

fn swap_request(
    key: &str,
    expected: Option<&Entry>,
    stored: Vec<u8>,
    lease: i64,
    fence: Option<&Fence>,
) -> TxnRequest {
    let key = Bytes(key.into());
    let mut compare = vec![is_unchanged(&key, expected)];
    let mut failure = vec![read_op(&key)];
    if let Some(fence) = fence {
        let fence_key = Bytes(fence.key.clone().into_bytes());
        failure.push(read_op(&fence_key));
        compare.push(Compare {
            key: fence_key,
            target: Target::Create,
            create_revision: Some(Int64(fence.create_revision)),
            ..Compare::default()
        });
    }
    let put = PutRequest {
        key,
        value: Bytes(stored),
        lease: Int64(lease),
    };
    TxnRequest {
        compare,
        success: vec![RequestOp {
            request_put: Some(put),
            ..RequestOp::default()
        }],
        failure,
    }
}

fn is_unchanged(key: &Bytes, expected: Option<&Entry>) -> Compare {
    Compare {
        key: key.clone(),
        target: Target::Mod,
        mod_revision: Some(Int64(expected.map_or(0, |entry| entry.mod_revision))),
        ..Compare::default()
    }
}

fn read_op(key: &Bytes) -> RequestOp {
    RequestOp {
        request_range: Some(RangeRequest {
            key: key.clone(),
            ..RangeRequest::default()
        }),
        ..RequestOp::default()
    }
}

fn read_swap(
    mut answer: TxnResponse,
    id: WriteId,
    expected: Option<&Entry>,
    fence: Option<&Fence>,
    is_uncertain: bool,
) -> Swap {
    if answer.succeeded {
        return Swap::Written {
            revision: answer.header.revision.0,
            is_superseded: false,
        };
    }
    let leader = fence.and_then(|_| take_entry(&mut answer, 1));
    let current = take_entry(&mut answer, 0);
    let swap = Swap::judge(id, expected, current, is_uncertain);
    let is_fenced = fence
        .is_some_and(|fence| leader.is_none_or(|it| it.create_revision != fence.create_revision));
    match swap {
        Swap::Conflict { .. } if is_fenced => Swap::Fenced,
        swap => swap,
    }
}

fn take_entry(answer: &mut TxnResponse, index: usize) -> Option<Entry> {
    let range = answer.responses.get_mut(index)?.response_range.take()?;
    range.kvs.into_iter().next().map(Entry::from)
}
