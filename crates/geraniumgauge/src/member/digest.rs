//! Hashes of everything a VM holds, by bucket, by which two VMs find their
//! differences without sending everything.

use bytes::BufMut as _;

/// Number of buckets. Their hashes fill one datagram. At a few thousand VMs a
/// bucket holds about ten records, so repairing one difference takes about ten.
pub(super) const BUCKETS: usize = 256;

/// One hash per bucket, independent of the order of the items in it.
#[derive(Debug, Clone)]
pub(super) struct Digest {
    hashes: Vec<u32>,
}

/// Returns the bucket of a name hash.
pub(super) fn bucket(name_hash: u64) -> usize {
    (name_hash % BUCKETS as u64) as usize
}

/// Hashes a VM's name or an update's key; `kind` seeds the hash.
pub(super) fn name_hash(kind: u64, text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), kind)
}

impl Digest {
    pub(super) fn new() -> Self {
        Self {
            hashes: vec![0; BUCKETS],
        }
    }

    /// Adds an item's hash, or removes it if present.
    pub(super) fn toggle(&mut self, name_hash: u64, content: u64) {
        self.hashes[bucket(name_hash)] ^= (content ^ (content >> 32)) as u32;
    }

    pub(super) fn encode(&self) -> bytes::Bytes {
        let mut bytes = bytes::BytesMut::with_capacity(BUCKETS * 4);
        self.hashes.iter().for_each(|hash| bytes.put_u32(*hash));
        bytes.freeze()
    }

    /// Returns the buckets in which `other` differs; none if its length is wrong.
    pub(super) fn differing(&self, other: &[u8]) -> Vec<usize> {
        if other.len() != BUCKETS * 4 {
            return Vec::new();
        }
        let theirs = other.chunks_exact(4);
        let pairs = self.hashes.iter().zip(theirs).enumerate();
        let differ = pairs.filter(|(_, (ours, theirs))| ours.to_be_bytes() != **theirs);
        differ.map(|(bucket, _)| bucket).collect()
    }
}
