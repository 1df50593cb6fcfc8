//! Sets `SOURCES_VERSION`, which identifies the sources that a program was built from.
//!
//! It is a hash of the sources instead of a commit, because a build may have no repository.

use std::fs;
use std::io;
use std::path;

/// Folders with sources and the file with the versions of the libraries, relative to this
/// package.
const SOURCES: [&str; 3] = ["src", "../../platform/src", "../../Cargo.lock"];

fn main() -> io::Result<()> {
    let mut files = Vec::new();
    for source in SOURCES {
        println!("cargo:rerun-if-changed={source}");
        add_files(path::Path::new(source), &mut files)?;
    }
    files.sort();
    let mut hash = Fnv::default();
    for file in files {
        hash.add(file.to_string_lossy().as_bytes());
        hash.add(&fs::read(file)?);
    }
    println!("cargo:rustc-env=SOURCES_VERSION={:08x}", hash.0 >> 32);
    Ok(())
}

/// Adds `path`, or all files below it, to `files`.
fn add_files(path: &path::Path, files: &mut Vec<path::PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        add_files(&entry?.path(), files)?;
    }
    Ok(())
}

/// The hash function FNV-1a with 64 bits.
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Fnv {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}
