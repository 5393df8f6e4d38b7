const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;

/** FNV-1a hash of a text as an unsigned 32-bit number, continuing from `start`; not cryptographically secure. */
export function hashText(text: string, start = offsetBasis): number {
    let hash = start;
    for (let at = 0; at < text.length; at++) {
        hash = Math.imul(hash ^ text.charCodeAt(at), prime);
    }
    return hash >>> 0;
}
