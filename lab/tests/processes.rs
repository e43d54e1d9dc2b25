//! The lab as a program: what it starts ends with it.

use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

fn eventually<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "never: {what}");
        sleep(Duration::from_millis(5));
    }
}

/// A demo, killed with the test.
struct Demo(Child);

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Demo {
    /// Starts one, and waits until its proxy listens.
    fn start(folder: &Path) -> (Demo, SocketAddr) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_flaxhead-lab"));
        let command = command.args(["demo", "--out"]).arg(folder).stdout(Stdio::null()).stderr(Stdio::null());
        let demo = Demo(command.spawn().expect("it starts"));
        let address = eventually("a proxy", || {
            let config: serde_json::Value =
                serde_json::from_slice(&std::fs::read(folder.join("n0.json")).ok()?).ok()?;
            let address: SocketAddr = config["listen"].as_str()?.parse().ok()?;
            TcpStream::connect(address).ok().map(|_| address)
        });
        (demo, address)
    }
}

#[test]
fn ctrl_c_and_a_kill_leave_no_proxy_behind() {
    for signal in ["-INT", "-KILL"] {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut demo, address) = Demo::start(folder.path());
        let told = Command::new("kill").args([signal, &demo.0.id().to_string()]).status().expect("kill runs");
        assert!(told.success());
        let status = eventually("its end", || demo.0.try_wait().expect("it can be waited for"));
        if signal == "-INT" {
            assert_eq!(status.code(), Some(130));
        }
        eventually("the proxy's end", || TcpStream::connect(address).is_err().then_some(()));
    }
}
