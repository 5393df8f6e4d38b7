import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { VmId } from "@auburnarch/types/VmId";
import type { Suspects } from "./Suspects.js";

interface SuspectsDeps {
    vm: VmId;
    nowMs: () => number;
}

interface Suspicion {
    /** Number of contents in flight at each crash, by the engine incarnation that crashed; undefined if unknown. */
    crashes: Map<string, number | undefined>;
    lastAtMs: number;
}

/** Long enough for every entry to receive the suspicion in reports; from then on the quarantine list keeps it. */
const suspicionRetentionMs = 3_600_000;
const maxSuspects = 1_000;

/**
 * Creates the list. A crash is identified by VM and engine incarnation, so that several attempts broken by one crash
 * count once. Quarantine needs crashes on two VMs and is not decided here.
 */
export function createSuspects(deps: SuspectsDeps): Suspects {
    const inFlight = new Map<ContentDigest, number>();
    const suspicions = new Map<ContentDigest, Suspicion>();

    function removeInFlight(digest: ContentDigest): void {
        const count = (inFlight.get(digest) ?? 1) - 1;
        if (count <= 0) {
            inFlight.delete(digest);
        }
        else {
            inFlight.set(digest, count);
        }
    }

    function dropExpired(): void {
        for (const [digest, suspicion] of suspicions) {
            if (suspicion.lastAtMs + suspicionRetentionMs < deps.nowMs() || suspicions.size > maxSuspects) {
                suspicions.delete(digest);
            }
        }
    }

    function recordSuspicion(digest: ContentDigest, bootId: string, contents?: number): void {
        const suspicion = suspicions.get(digest) ?? { crashes: new Map(), lastAtMs: 0 };
        // Each attempt broken by a crash records it, with fewer contents left in flight each time, so the first count
        // is kept.
        suspicion.crashes.set(bootId, suspicion.crashes.get(bootId) ?? contents);
        suspicion.lastAtMs = deps.nowMs();
        suspicions.delete(digest);
        suspicions.set(digest, suspicion);
    }

    return {
        addInFlight: digest => {
            inFlight.set(digest, (inFlight.get(digest) ?? 0) + 1);
            let isRemoved = false;
            return () => {
                if (!isRemoved) {
                    isRemoved = true;
                    removeInFlight(digest);
                }
            };
        },
        recordCrash: bootId => {
            for (const digest of inFlight.keys()) {
                recordSuspicion(digest, bootId, inFlight.size);
            }
            dropExpired();
        },
        addSuspect: (digest, bootId) => {
            recordSuspicion(digest, bootId);
            dropExpired();
        },
        clear: digest => void suspicions.delete(digest),
        isSuspect: digest => suspicions.has(digest),
        othersInFlight: digest => [...inFlight.keys()].filter(other => other !== digest),
        list: () => {
            dropExpired();
            return [...suspicions].map(([digest, suspicion]) => ({
                digest,
                deaths: [...suspicion.crashes].map(([bootId, contents]) => ({
                    vm: deps.vm,
                    bootId,
                    ...(contents === undefined ? {} : { contents }),
                })),
            }));
        },
    };
}
