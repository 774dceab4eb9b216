//! Which process holds the other end of a loopback connection.

use std::{collections::BTreeMap, fs, net::SocketAddr, sync::Arc};

/// Name of the process that opened the connection from `peer`, among `owners`.
pub fn find(owners: &BTreeMap<i32, Arc<str>>, peer: SocketAddr) -> Option<Arc<str>> {
    let link = format!("socket:[{}]", inode(peer)?);
    let holds = |pid: &i32| {
        let Ok(dir) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
        dir.flatten()
            .any(|e| fs::read_link(e.path()).is_ok_and(|to| to.as_os_str().to_str() == Some(&link)))
    };
    owners.iter().find(|(pid, _)| holds(pid)).map(|(_, name)| name.clone())
}

/// Inode of the socket that is bound to `local` on this machine.
fn inode(local: SocketAddr) -> Option<String> {
    let SocketAddr::V4(v4) = local else { return None };
    let ip = u32::from_ne_bytes(v4.ip().octets());
    let want = format!("{ip:08X}:{:04X}", v4.port());
    let table = fs::read_to_string("/proc/self/net/tcp").ok()?;
    table.lines().skip(1).find_map(|line| {
        let mut fields = line.split_ascii_whitespace();
        (fields.nth(1)? == want).then_some(())?;
        // Fields after the local address: remote, state, queues, timer, retransmits, uid, timeout.
        fields.nth(7).filter(|i| *i != "0").map(str::to_owned)
    })
}
