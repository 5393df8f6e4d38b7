import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { Logger } from "@auburnarch/types/Logger";
import fc from "fast-check";
import { expect, test } from "vitest";
import { answerMessage } from "./answerMessage.js";
import { createDocumentSet } from "./createDocumentSet.js";
import { defaultDocumentSyncGuards } from "./defaultDocumentSyncGuards.js";
import type { DocumentSet } from "./DocumentSet.js";
import type { SyncMessage } from "./SyncMessage.js";

const silent: Logger = {
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
    child: () => silent,
};

/** A value long enough for changes to be sent as deltas. */
const valueOf = (name: string, version: number) => ({
    name,
    filler: "x".repeat(2_000),
    version,
    tail: [version % 3],
});

function build(guards = defaultDocumentSyncGuards) {
    const violations: string[] = [];
    const applied: string[] = [];
    const invariants = createInvariants(silent, code => violations.push(code.name));
    const faultsOf = ({ value }: { value: unknown; }) =>
        value === "bad" ? [{ path: "", message: "bad" }] : [];
    const set = createDocumentSet({ invariants, logger: silent, faultsOf }, guards, document => {
        applied.push(`${document.name}@${document.version}`);
    });
    return { set, violations, applied };
}

const overTheWire = (message: SyncMessage): SyncMessage => JSON.parse(JSON.stringify(message)) as SyncMessage;

function exchangeWhole(from: DocumentSet, to: DocumentSet): void {
    let message: SyncMessage = { checksum: from.checksum(), documents: [] };
    for (let round = 0; round < 4; round++) {
        message = answerMessage(to, overTheWire(message));
        message = answerMessage(from, overTheWire(message));
    }
}

test("no version decreases under any order, loss and repetition of messages, and exchanges converge", () => {
    const names = ["manifest", "quarantine", "owner/a"];
    const step = fc.oneof(
        fc.record({
            kind: fc.constant("offer" as const),
            at: fc.nat(2),
            name: fc.nat(2),
            version: fc.integer({ min: 1, max: 9 }),
        }),
        fc.record({ kind: fc.constant("send" as const), at: fc.nat(2), to: fc.nat(2) }),
        fc.record({ kind: fc.constant("deliver" as const), message: fc.nat(30), to: fc.nat(2) }),
    );
    fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), steps => {
            const nodes = [build(), build(), build()];
            const sent: SyncMessage[] = [];
            const highest = new Map<string, number>();
            for (const one of steps) {
                if (one.kind === "offer") {
                    const name = names[one.name]!;
                    nodes[one.at]!.set.apply({
                        name,
                        version: one.version,
                        value: valueOf(name, one.version),
                    });
                }
                else if (one.kind === "send") {
                    const { set } = nodes[one.at]!;
                    sent.push(overTheWire({ checksum: set.checksum(), digest: set.digest(), documents: [] }));
                }
                else if (sent.length > 0) {
                    // Any earlier message may arrive late or again, at any node.
                    const answer = answerMessage(nodes[one.to]!.set, sent[one.message % sent.length]!);
                    sent.push(overTheWire(answer));
                }
                nodes.forEach(({ set }, at) => {
                    for (const [name, version] of Object.entries(set.digest())) {
                        expect(version).toBeGreaterThanOrEqual(highest.get(`${at}/${name}`) ?? 0);
                        highest.set(`${at}/${name}`, version);
                        expect(set.get(name)!.value).toEqual(valueOf(name, version));
                    }
                });
            }
            const [a, b, c] = nodes.map(node => node.set) as [DocumentSet, DocumentSet, DocumentSet];
            exchangeWhole(a, b);
            exchangeWhole(b, c);
            exchangeWhole(a, c);
            exchangeWhole(a, b);
            expect(new Set([a, b, c].map(set => set.checksum())).size).toBe(1);
            expect(nodes.flatMap(node => node.violations)).toEqual([]);
        }),
        { seed: 3, numRuns: 300 },
    );
});

test("a change of a long document is sent as a delta, and in full if the base is missing", () => {
    const [a, b, late] = [build().set, build().set, build().set];
    a.apply({ name: "manifest", version: 1, value: valueOf("manifest", 1) });
    exchangeWhole(a, b);
    a.apply({ name: "manifest", version: 2, value: valueOf("manifest", 2) });
    const change = a.transfer("manifest", 1)!;
    expect(change.kind).toBe("delta");
    expect(JSON.stringify(change).length).toBeLessThan(300);
    expect(b.applyTransfer(change)).toBe("taken");
    expect(b.get("manifest")!.value).toEqual(valueOf("manifest", 2));
    expect(late.applyTransfer(change)).toBe("baseMissing");
    expect(a.transfer("manifest", 0)!.kind).toBe("whole");
});

test("a document with faults is refused and not requested again, and a later valid one is applied", () => {
    // Guards against fetching and refusing an invalid manifest again in every exchange.
    const { set } = build();
    set.apply({ name: "manifest", version: 1, value: "good" });
    expect(set.apply({ name: "manifest", version: 2, value: "bad" })).toBe("refused");
    expect(set.get("manifest")).toEqual({ name: "manifest", version: 1, value: "good" });
    expect(set.findOutdated({ manifest: 2 })).toEqual({});
    expect(set.findOutdated({ manifest: 3 })).toEqual({ manifest: 1 });
    expect(set.apply({ name: "manifest", version: 3, value: "good" })).toBe("taken");
});

test("without the guard an older document replaces a newer one, and the invariant check reports it", () => {
    const { set, violations } = build({ forwardOnly: () => true });
    set.apply({ name: "manifest", version: 2, value: "new" });
    set.apply({ name: "manifest", version: 1, value: "old" });
    expect(violations).toEqual(["configReverted"]);
});
