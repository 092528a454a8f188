//! Peer nodes over TCP on loopback. Tests wait for conditions and do not assert on times.

mod support;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use apricotlug_model::{InstanceId, UnixTime};
use apricotlug_peer::{
    NamedRecord, PeerError, PeerHandle, State, Transfer, TransferId, TransferOutcome,
};
use async_std::{io::WriteExt, net::TcpStream, task::block_on};
use futures::{channel::oneshot, future::join_all};
use support::{
    fleet::bundle,
    node::{Handler, start, start_nine, state, wait_until, wait_until_all_ready},
    proxy::Proxy,
};

const MINUTE: Duration = Duration::from_secs(60);

fn handles(nodes: &[(PeerHandle, Arc<Handler>)]) -> Vec<PeerHandle> {
    nodes.iter().map(|(handle, _)| handle.clone()).collect()
}

async fn publish(node: &PeerHandle, version: u64) {
    let bundle = bundle(version);
    node.publish_bundle(bundle.head, bundle.chunks)
        .await
        .unwrap();
}

fn version(node: &PeerHandle) -> u64 {
    node.bundle().map_or(0, |bundle| bundle.head.version)
}

fn transfer(id: u128) -> Transfer {
    Transfer {
        id: TransferId(id),
        expires: UnixTime::now().after(MINUTE),
        payload: vec![1, 2, 3],
    }
}

#[test]
fn nine_nodes_share_bundles_withdrawals_and_records() {
    block_on(async {
        let nodes = handles(&start_nine());
        wait_until_all_ready(&nodes).await;
        publish(&nodes[4], 2).await;
        publish(&nodes[7], 3).await;
        publish(&nodes[2], 1).await;
        nodes[5].withdraw("key-1").await.unwrap();
        assert!(
            nodes[5].withdrawn().contains("key-1"),
            "the key is not withdrawn when the call returns"
        );
        let record = NamedRecord {
            name: "move".to_owned(),
            version: 1,
            bytes: b"stage 2".as_slice().into(),
        };
        nodes[8].publish_record(record).await.unwrap();
        wait_until("all data is replicated to all nodes", || {
            nodes.iter().all(|node| {
                let has_key = node.withdrawn().contains("key-1");
                version(node) == 3 && has_key && node.records().contains_key("move")
            })
        })
        .await;
        wait_until("all nodes know the confirmations of all nodes", || {
            nodes.iter().all(|node| {
                let has_all = node.members().iter().all(|m| m.progress.bundle == 3);
                has_all && node.view().unconfirmed.is_empty()
            })
        })
        .await;
        let mut updates = Vec::new();
        while let Ok(update) = nodes[0].bundle_updates().try_recv() {
            updates.push(update.head.version);
        }
        assert!(
            updates.is_sorted() && updates.last() == Some(&3),
            "{updates:?}"
        );
    });
}

#[test]
fn a_crash_is_detected_and_a_graceful_stop_is_announced() {
    block_on(async {
        let mut nodes = handles(&start_nine());
        wait_until_all_ready(&nodes).await;
        // A dropped handle stops its node without an announcement to the others.
        drop(nodes.remove(3));
        wait_until("no node sees the lost one as ready", || {
            nodes
                .iter()
                .all(|node| state(node, "entry-3") != Some(State::Ready))
        })
        .await;
        nodes[1].announce_leaving();
        wait_until("all nodes see the leaving one as leaving", || {
            nodes
                .iter()
                .all(|node| state(node, "entry-1") >= Some(State::Leaving))
        })
        .await;
        nodes.remove(1).stop().await;
        wait_until("all nodes see the stopped one as dead", || {
            nodes
                .iter()
                .all(|node| state(node, "entry-1") == Some(State::Dead))
        })
        .await;
        wait_until_all_ready(&nodes).await;
    });
}

#[test]
fn a_restarted_node_with_the_same_name_replaces_the_earlier_one() {
    block_on(async {
        let (seed, _) = start("a", 1, "x", &[], None);
        let (old, _) = start("b", 2, "x", &[seed.addr()], None);
        wait_until_all_ready(&[seed.clone(), old.clone()]).await;
        let old_id = old.id().clone();
        drop(old);
        let (new, handler) = start("b", 3, "x", &[seed.addr()], None);
        wait_until("the new run is known", || {
            seed.members()
                .iter()
                .any(|m| m.record.id == *new.id() && m.state == State::Ready)
        })
        .await;
        let outcome = seed.send_transfer(&old_id, transfer(1)).await;
        assert_eq!(outcome, Ok(TransferOutcome::Gone));
        assert_eq!(
            seed.forward_order(&old_id, Vec::from("order")).await,
            Ok(None)
        );
        assert_eq!(handler.orders.load(Ordering::SeqCst), 0);
        assert!(handler.transfers.lock().unwrap().is_empty());
    });
}

#[test]
fn a_node_without_seeds_finds_its_peers_by_the_platforms_list() {
    block_on(async {
        let (a, _) = start("a", 1, "x", &[], None);
        let (b, _) = start("b", 2, "x", &[], None);
        a.set_platform_addresses(vec![a.addr(), b.addr()]);
        wait_until_all_ready(&[a.clone(), b.clone()]).await;
        b.set_load(700);
        wait_until("the load is seen", || {
            let members = a.members();
            members
                .iter()
                .any(|m| m.record.id == *b.id() && m.load == Some(700))
        })
        .await;
    });
}

#[test]
fn transfers_are_applied_once_and_orders_answered_by_their_run_only() {
    block_on(async {
        let (a, _) = start("a", 1, "x", &[], None);
        let (b, handler) = start("b", 2, "y", &[a.addr()], None);
        wait_until_all_ready(&[a.clone(), b.clone()]).await;
        let first = transfer(7);
        for expected in [TransferOutcome::Applied, TransferOutcome::Duplicate] {
            assert_eq!(a.send_transfer(b.id(), first.clone()).await, Ok(expected));
        }
        let mut late = transfer(8);
        late.expires = UnixTime(1);
        assert_eq!(
            a.send_transfer(b.id(), late).await,
            Ok(TransferOutcome::Expired)
        );
        let mut large = transfer(9);
        large.payload = vec![0; 16 * 1024 + 1];
        let refused = a.send_transfer(b.id(), large).await;
        assert!(
            matches!(refused, Err(PeerError::TooLarge { .. })),
            "{refused:?}"
        );
        assert_eq!(*handler.transfers.lock().unwrap(), [TransferId(7)]);
        let answer = a.forward_order(b.id(), Vec::from("order")).await;
        assert_eq!(answer, Ok(Some(Vec::from("answer to order"))));
        let unknown_id = InstanceId {
            name: "nobody".to_owned(),
            incarnation: 1,
        };
        let unknown = a.forward_order(&unknown_id, Vec::new()).await;
        assert!(
            matches!(unknown, Err(PeerError::UnknownInstance(_))),
            "{unknown:?}"
        );
    });
}

#[test]
fn calls_beyond_the_limit_are_refused_and_the_others_answered() {
    block_on(async {
        let (a, _) = start("a", 1, "x", &[], None);
        let (b, handler) = start("b", 2, "y", &[a.addr()], None);
        wait_until_all_ready(&[a.clone(), b.clone()]).await;
        let (releases, holds): (Vec<_>, Vec<_>) = (0..64).map(|_| oneshot::channel()).unzip();
        *handler.holds.lock().unwrap() = holds;
        let calls = (0..64).map(|i| {
            let (a, to) = (a.clone(), b.id().clone());
            async_std::task::spawn(async move { a.forward_order(&to, vec![i]).await })
        });
        let calls: Vec<_> = calls.collect();
        // The orders are held until heartbeats have been sent while they are in flight.
        let before = a.traffic();
        wait_until("calls are in flight and heartbeats are sent", || {
            let traffic = a.traffic();
            let refused = traffic.calls_failed - before.calls_failed;
            refused > 0 && traffic.calls_out - before.calls_out > 64 + 64
        })
        .await;
        releases.into_iter().for_each(drop);
        let mut refused = 0;
        for (i, outcome) in join_all(calls).await.into_iter().enumerate() {
            match outcome {
                Ok(answer) => {
                    let expected = [b"answer to ".as_slice(), &[i as u8]].concat();
                    assert_eq!(answer, Some(expected));
                }
                Err(PeerError::Overloaded) => refused += 1,
                Err(e) => panic!("order {i}: {e}"),
            }
        }
        assert!(refused > 0, "all of 64 concurrent orders were accepted");
        let run = handler.orders.load(Ordering::SeqCst);
        assert_eq!(run + refused, 64, "an order ran twice or was lost");
    });
}

#[test]
fn a_stalled_connection_is_replaced() {
    block_on(async {
        let proxy = Proxy::start().await;
        let (a, _) = start("a", 1, "x", &[], None);
        let (b, handler) = start("b", 2, "y", &[a.addr()], Some(proxy.addr));
        proxy.set_target(b.addr());
        wait_until_all_ready(&[a.clone(), b.clone()]).await;
        let answer = a.forward_order(b.id(), Vec::from("1")).await;
        assert_eq!(answer, Ok(Some(Vec::from("answer to 1"))));
        proxy.stall_connections();
        let outcome = a.send_transfer(b.id(), transfer(1)).await;
        assert_eq!(
            outcome,
            Ok(TransferOutcome::Applied),
            "the retry must use a new connection"
        );
        // An order in flight when its connection stalls may have run, so it is not retried.
        let (_release, hold) = oneshot::channel();
        handler.holds.lock().unwrap().push(hold);
        let (from, to) = (a.clone(), b.id().clone());
        let call = async_std::task::spawn(async move { from.forward_order(&to, vec![2]).await });
        wait_until("the order runs", || {
            handler.orders.load(Ordering::SeqCst) == 2
        })
        .await;
        proxy.stall_connections();
        let outcome = call.await;
        assert!(
            matches!(outcome, Err(PeerError::Timeout(_) | PeerError::Call { .. })),
            "{outcome:?}"
        );
        assert_eq!(
            handler.orders.load(Ordering::SeqCst),
            2,
            "the order ran again"
        );
        let answer = a.forward_order(b.id(), Vec::from("3")).await;
        assert_eq!(answer, Ok(Some(Vec::from("answer to 3"))));
    });
}

#[test]
fn a_partitioned_node_is_suspected_and_is_ready_again_after_the_heal() {
    for (name, is_in_cut, is_out_cut) in [
        ("both ways", true, true),
        ("inwards", true, false),
        ("outwards", false, true),
    ] {
        block_on(async {
            let proxies = [Proxy::start().await, Proxy::start().await];
            let (a, _) = start("a", 1, "x", &[], Some(proxies[0].addr));
            let (b, _) = start("b", 2, "x", &[proxies[0].addr], Some(proxies[1].addr));
            proxies[0].set_target(a.addr());
            proxies[1].set_target(b.addr());
            let both = [a.clone(), b.clone()];
            wait_until_all_ready(&both).await;
            // Calls to `b` pass through the second proxy, its own calls through the first.
            proxies[1].cut(is_in_cut, is_out_cut);
            proxies[0].cut(is_out_cut, is_in_cut);
            let is_suspect = |node: &PeerHandle, name| state(node, name) >= Some(State::Suspect);
            wait_until(&format!("{name}: the cut is detected"), || {
                is_suspect(&a, "b") || is_suspect(&b, "a")
            })
            .await;
            proxies.iter().for_each(|proxy| proxy.cut(false, false));
            wait_until_all_ready(&both).await;
        });
    }
}

#[test]
fn malformed_input_does_not_affect_other_connections() {
    block_on(async {
        let (a, _) = start("a", 1, "x", &[], None);
        let (b, _) = start("b", 2, "x", &[a.addr()], None);
        wait_until_all_ready(&[a.clone(), b.clone()]).await;
        let garbage: [&[u8]; 4] = [
            b"GET / HTTP/1.1\r\n\r\n",
            &[0xff; 64],
            &[0; 64],
            // Header that announces one segment of 2 GiB, without data.
            &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0x0f],
        ];
        for bytes in garbage {
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, a.addr().port()));
            let mut stream = TcpStream::connect(addr).await.unwrap();
            stream.write_all(bytes).await.unwrap();
        }
        assert_eq!(
            b.send_transfer(a.id(), transfer(1)).await,
            Ok(TransferOutcome::Applied)
        );
    });
}
