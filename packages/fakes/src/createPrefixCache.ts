import { hashText } from "./hashText.js";

interface PrefixCache {
    /** Returns the number of leading prompt tokens already cached, in whole blocks, then caches the prompt's blocks. */
    take(policy: string, prompt: string): number;
    tokens(): number;
    clear(): void;
}

const charsPerToken = 4;
const tokensPerBlock = 16;
const charsPerBlock = charsPerToken * tokensPerBlock;

/** Creates a prefix cache of 16-token blocks, which evicts the least recently used ones beyond `capacityTokens`. */
export function createPrefixCache(capacityTokens: number): PrefixCache {
    const capacityBlocks = Math.floor(capacityTokens / tokensPerBlock);
    /** Insertion order is the order of last use. */
    const blocks = new Map<string, true>();

    function touch(key: string): boolean {
        const present = blocks.delete(key);
        blocks.set(key, true);
        return present;
    }

    function evict(): void {
        for (const key of blocks.keys()) {
            if (blocks.size <= capacityBlocks) {
                return;
            }
            blocks.delete(key);
        }
    }

    return {
        take: (policy, prompt) => {
            let hash = hashText(policy);
            let cached = 0;
            let unbroken = true;
            for (let end = charsPerBlock; end <= prompt.length; end += charsPerBlock) {
                hash = hashText(prompt.slice(end - charsPerBlock, end), hash);
                const present = touch(`${end}/${hash}`);
                unbroken = unbroken && present;
                cached += unbroken ? tokensPerBlock : 0;
            }
            evict();
            return cached;
        },
        tokens: () => blocks.size * tokensPerBlock,
        clear: () => blocks.clear(),
    };
}
