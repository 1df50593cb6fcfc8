//! Hashes of everything a VM holds, by bucket, so that two VMs find what
//! differs between them without sending it all.

use bytes::BufMut as _;

/// Buckets. Their hashes fill one datagram; at a few thousand VMs a bucket
/// holds about ten records, so one difference costs about ten records to mend.
pub(super) const BUCKETS: usize = 256;

/// One hash a bucket, over the unordered set of what it holds.
#[derive(Debug, Clone)]
pub(super) struct Digest {
    hashes: Vec<u32>,
}

/// The bucket of a subject whose hash is `subject`.
pub(super) fn bucket(subject: u64) -> usize {
    (subject % BUCKETS as u64) as usize
}

/// The hash by which a VM's or a rumour's name picks its bucket.
pub(super) fn name(kind: u64, text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), kind)
}

impl Digest {
    pub(super) fn new() -> Self {
        Self {
            hashes: vec![0; BUCKETS],
        }
    }

    /// Adds an item's hash, or takes it out again.
    pub(super) fn toggle(&mut self, subject: u64, content: u64) {
        self.hashes[bucket(subject)] ^= (content ^ (content >> 32)) as u32;
    }

    pub(super) fn encode(&self) -> bytes::Bytes {
        let mut bytes = bytes::BytesMut::with_capacity(BUCKETS * 4);
        self.hashes.iter().for_each(|hash| bytes.put_u32(*hash));
        bytes.freeze()
    }

    /// The buckets in which `other` differs; none where it's no digest.
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
