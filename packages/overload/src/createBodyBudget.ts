import type { BodyBudget } from "./BodyBudget.js";
import type { BodyHold } from "./BodyHold.js";
import { createBlockPool } from "./createBlockPool.js";

interface BodyBudgetOptions {
    maxHeldBytes: number;
    /** Part of the budget that one owner may use; by default all of it. */
    maxOwnerShare?: number;
    /** Called with the bytes that are held whenever they change. */
    onChange?: (heldBytes: number) => void;
}

interface HeldBody {
    owner: string;
    bytes: number;
    giveUp(): void;
}

/** Part of the budget that only small bodies may use, so that they fit beside large ones that have been received. */
const smallBodyShare = 1 / 8;
const smallBodyBytes = 65_536;
const blockBytes = 65_536;

/**
 * Creates the budget of a process. Load addressed: many or large bodies at once, also of clients that send slowly or
 * stop, which would otherwise exhaust the memory of the VM. The largest unfinished body gives way, so that a body that
 * stops short cannot keep others out, and of large bodies that do not fit together one is received.
 */
export function createBodyBudget(
    { maxHeldBytes, maxOwnerShare = 1, onChange = () => undefined }: BodyBudgetOptions,
): BodyBudget {
    const maxOwnerBytes = maxHeldBytes * maxOwnerShare;
    const blocks = createBlockPool(blockBytes);
    const receiving = new Set<HeldBody>();
    const bytesByOwner = new Map<string, number>();
    let heldBytes = 0;

    const ownerBytes = (owner: string): number => bytesByOwner.get(owner) ?? 0;

    function add(body: HeldBody, bytes: number): void {
        const nextBytes = ownerBytes(body.owner) + bytes;
        body.bytes += bytes;
        heldBytes += bytes;
        if (nextBytes === 0) {
            bytesByOwner.delete(body.owner);
        }
        else {
            bytesByOwner.set(body.owner, nextBytes);
        }
        onChange(heldBytes);
    }

    /** Limit of all bodies together beside which a body of this size may be held. */
    const totalLimitBytes = (bodyBytes: number): number =>
        bodyBytes > smallBodyBytes ? maxHeldBytes * (1 - smallBodyShare) : maxHeldBytes;

    /** The largest body that is being received; `body` counts with the bytes that it asks for. */
    function findLargest(body: HeldBody, askedBytes: number, owner: string | undefined): HeldBody {
        let largest = body;
        let largestBytes = body.bytes + askedBytes;
        for (const other of receiving) {
            if (other.bytes > largestBytes && (owner === undefined || other.owner === owner)) {
                largest = other;
                largestBytes = other.bytes;
            }
        }
        return largest;
    }

    /** Gives up larger bodies until the bytes fit; false if they do not. */
    function makeRoom(body: HeldBody, bytes: number): boolean {
        for (;;) {
            const isOwnerFull = ownerBytes(body.owner) + bytes > maxOwnerBytes;
            if (!isOwnerFull && heldBytes + bytes <= totalLimitBytes(body.bytes + bytes)) {
                return true;
            }
            const largest = findLargest(body, bytes, isOwnerFull ? body.owner : undefined);
            if (largest === body) {
                return false;
            }
            largest.giveUp();
        }
    }

    /** Bytes of bodies that are not given up for others. */
    function completeBytes(owner: string | undefined): number {
        let bytes = owner === undefined ? heldBytes : ownerBytes(owner);
        for (const body of receiving) {
            if (owner === undefined || body.owner === owner) {
                bytes -= body.bytes;
            }
        }
        return bytes;
    }

    function open(owner = ""): BodyHold {
        let isOpen = true;
        let onGivenUp = (): void => undefined;
        const body: HeldBody = { owner, bytes: 0, giveUp: close };
        receiving.add(body);

        function endReceiving(): boolean {
            const wasReceiving = receiving.delete(body);
            if (receiving.size === 0) {
                blocks.trim();
            }
            return wasReceiving;
        }

        function close(): void {
            if (!isOpen) {
                return;
            }
            isOpen = false;
            add(body, -body.bytes);
            if (endReceiving()) {
                onGivenUp();
            }
        }

        return {
            blocks,
            reserve: bytes => {
                if (!isOpen || !makeRoom(body, bytes)) {
                    return false;
                }
                add(body, bytes);
                return true;
            },
            canFit: bytes =>
                completeBytes(undefined) + bytes <= totalLimitBytes(bytes)
                && completeBytes(owner) + bytes <= maxOwnerBytes,
            complete: () => void endReceiving(),
            onGivenUp: listener => {
                onGivenUp = listener;
            },
            close,
        };
    }

    return {
        open,
        heldBytes: () => heldBytes,
        maxBodyBytes: Math.min(maxOwnerBytes, totalLimitBytes(maxHeldBytes)),
    };
}
