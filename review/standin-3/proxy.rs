//! A proxy in front of the links of a machine. While the machine named in the first bytes of a
//! connection is cut off, bytes are held up in both directions; they go on when the cut has healed.

use std::collections::HashSet;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// Names of the processes that are cut off.
pub type Cuts = Arc<Mutex<HashSet<String>>>;

type Owner = Arc<Mutex<Option<String>>>;

pub fn serve(listen: SocketAddr, target: SocketAddr, names: &[String], cuts: &Cuts) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    let (names, cuts) = (names.to_vec(), Arc::clone(cuts));
    std::thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let Ok(to) = TcpStream::connect(target) else { continue };
            let _ = (from.set_nodelay(true), to.set_nodelay(true));
            let owner = Owner::default();
            let copies = (from.try_clone(), to.try_clone());
            let (Ok(from2), Ok(to2)) = copies else { continue };
            let (owner2, cuts2, names) = (Arc::clone(&owner), Arc::clone(&cuts), names.clone());
            let cuts = Arc::clone(&cuts);
            std::thread::spawn(move || pump(from, to, &names, &owner, &cuts));
            std::thread::spawn(move || pump(to2, from2, &[], &owner2, &cuts2));
        }
    });
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, names: &[String], owner: &Owner, cuts: &Cuts) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        let bytes = &buffer[..read];
        if owner.lock().unwrap().is_none() {
            let named = |n: &&String| bytes.windows(n.len()).any(|w| w == n.as_bytes());
            if let Some(name) = names.iter().find(named) {
                *owner.lock().unwrap() = Some(name.clone());
            }
        }
        let cut = || {
            let owner = owner.lock().unwrap().clone();
            owner.is_some_and(|o| cuts.lock().unwrap().contains(&o))
        };
        while cut() {
            std::thread::sleep(Duration::from_millis(5));
        }
        if read == 0 || to.write_all(bytes).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}
