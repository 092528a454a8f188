//! Drain of backend servers: no new work after the bundle is in force, nothing cut.

mod support;

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use apricotlug_standins::backend::{Fault, FaultRule};
use support::{World, wait_until};

#[test]
fn a_draining_backend_server_gets_no_new_work_and_loses_none() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest", "quimper"]);
    let drained: Vec<usize> = (0..world.backends.len())
        .filter(|i| ["stock-1", "stock-2"].contains(&world.backends[*i].id()))
        .collect();
    assert_eq!(drained.len(), 2);
    for i in &drained {
        let slow = Fault::Slow(Duration::from_millis(400));
        world.backends[*i].set_faults(vec![FaultRule::always(slow)]);
    }
    let text = world.text.replace("version = 1\n", "version = 2\n");
    let text: String = text
        .lines()
        .map(|line| {
            let is_drained = line.contains("id = \"stock-1\"") || line.contains("id = \"stock-2\"");
            let line = if is_drained {
                line.replace(" slots", " draining = true, slots")
            } else {
                line.to_owned()
            };
            line + "\n"
        })
        .collect();
    let is_over = AtomicBool::new(false);
    let answered = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for entry in &entries {
            for _ in 0..3 {
                scope.spawn(|| {
                    while !is_over.load(Ordering::SeqCst) {
                        let reply = entry.get("/stock/drain");
                        match reply.status {
                            200 => _ = answered.fetch_add(1, Ordering::SeqCst),
                            _ => failed.lock().unwrap().push(reply),
                        }
                        // Stays well inside the account's rate of 400 a second.
                        thread::sleep(Duration::from_millis(25));
                    }
                });
            }
        }
        wait_until("requests flow", || answered.load(Ordering::SeqCst) > 50);
        world.sign_off(&text);
        for entry in &entries {
            wait_until("version 2 is in force", || entry.bundle_version() == 2);
        }
        // Requests that were placed before end in less than this.
        thread::sleep(Duration::from_secs(1));
        let at_drain: usize = drained.iter().map(|i| world.backends[*i].total()).sum();
        let before = answered.load(Ordering::SeqCst);
        wait_until("requests flow on", || {
            answered.load(Ordering::SeqCst) > before + 100
        });
        let after: usize = drained.iter().map(|i| world.backends[*i].total()).sum();
        assert_eq!(after, at_drain);
        is_over.store(true, Ordering::SeqCst);
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "{failed:?}");
}
