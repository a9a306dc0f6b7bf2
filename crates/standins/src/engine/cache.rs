//! A bounded cache of prompt prefixes.

use std::collections;

use xxhash_rust::xxh3;

/// Tokens in one block; only whole blocks are cached.
pub(crate) const BLOCK: usize = 16;

/// Least recently used blocks of prompt prefixes. A block's id depends on all blocks before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    blocks: usize,
    tick: u64,
    used: collections::HashMap<u64, u64>,
    oldest: collections::BTreeMap<u64, u64>,
}

impl Cache {
    /// A cache of at most `tokens` tokens.
    pub(crate) fn new(tokens: usize) -> Self {
        Self { blocks: tokens / BLOCK, ..Self::default() }
    }

    /// How many tokens at the start of `prompt` are cached; the whole prompt is cached afterwards.
    pub(crate) fn visit(&mut self, prompt: &str) -> u32 {
        let ids = block_ids(prompt);
        let hits = ids.iter().take_while(|id| self.used.contains_key(id)).count();
        self.insert(ids);
        u32::try_from(hits * BLOCK).unwrap_or(u32::MAX)
    }

    /// Takes blocks in, the least recently used ones make room.
    pub(crate) fn insert(&mut self, ids: impl IntoIterator<Item = u64>) {
        for id in ids {
            self.touch(id);
        }
        while self.used.len() > self.blocks {
            let Some((_, id)) = self.oldest.pop_first() else { break };
            self.used.remove(&id);
        }
    }

    /// The blocks held, least recently used first.
    pub(crate) fn blocks(&self) -> Vec<u64> {
        self.oldest.values().copied().collect()
    }

    fn touch(&mut self, id: u64) {
        self.tick += 1;
        if let Some(before) = self.used.insert(id, self.tick) {
            self.oldest.remove(&before);
        }
        self.oldest.insert(self.tick, id);
    }
}

fn block_ids(prompt: &str) -> Vec<u64> {
    let words: Vec<_> = prompt.split_whitespace().collect();
    let chain = |before: &mut u64, block: &[&str]| {
        *before = xxh3::xxh3_64_with_seed(block.join(" ").as_bytes(), *before);
        Some(*before)
    };
    words.chunks_exact(BLOCK).scan(0, chain).collect()
}
