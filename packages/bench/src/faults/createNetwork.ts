import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import type { Exchange } from "./Exchange.js";
import type { Network } from "./Network.js";
import type { NetworkFault } from "./NetworkFault.js";

interface PendingFault {
    fault: NetworkFault;
    to: string;
    from: string | undefined;
    onInjected: () => void;
}

const latencyMs = 1;
const connectTimeoutMs = 200;
const breakAfterMs = 400;
const lateByMs = 900;

/** Control calls are subject to the same partitions as data calls, but not to faults of single exchanges. */
const controlSuffix = "#control";

const withoutControlSuffix = (name: string): string =>
    name.endsWith(controlSuffix) ? name.slice(0, -controlSuffix.length) : name;

const pairOf = (a: string, b: string): string =>
    [withoutControlSuffix(a), withoutControlSuffix(b)].sort().join(" ");

/** Creates a network without faults. */
export function createNetwork(clock: Clock, random: Random): Network {
    const processes = new Map<string, { isUp(): boolean; whenDown(): Promise<void>; }>();
    const cuts = new Set<string>();
    let pendingFaults: PendingFault[] = [];
    let reorderDelayMs = 0;

    const isUp = (name: string): boolean => processes.get(name)?.isUp() ?? true;
    const travel = (): Promise<void> => clock.sleep(latencyMs + random.nextUnit() * reorderDelayMs);

    /** The latency of a round trip is applied once, to the request, unless messages are reordered. */
    const travelBack = (): Promise<void> => reorderDelayMs > 0 ? travel() : Promise.resolve();

    function takeFault(from: string, to: string): NetworkFault | undefined {
        if (from.endsWith(controlSuffix)) {
            return undefined;
        }
        const pending = pendingFaults.find(each =>
            each.to === to && (each.from === undefined || each.from === from)
        );
        pendingFaults = pendingFaults.filter(each => each !== pending);
        pending?.onInjected();
        return pending?.fault;
    }

    /** Delivers the request; the exchange breaks if the receiver ends first. */
    async function deliverUnlessDown<T>(to: string, deliver: () => Promise<T>): Promise<Exchange<T>> {
        const down = processes.get(to)?.whenDown().then((): Exchange<T> => ({ kind: "broken" }));
        const answered = deliver().then((answer): Exchange<T> => ({ kind: "answered", answer }));
        return down === undefined ? await answered : await Promise.race([answered, down]);
    }

    /** A late request is bound to its connection, so it reaches only the process that it was sent to. */
    function deliverLate(to: string, deliver: () => Promise<unknown>): void {
        let isSame = true;
        void processes.get(to)?.whenDown().then(() => {
            isSame = false;
        });
        clock.startTimer(lateByMs, () => {
            if (isSame && isUp(to)) {
                deliver().catch(() => undefined);
            }
        });
    }

    async function breakLater(): Promise<{ kind: "broken"; }> {
        await clock.sleep(breakAfterMs);
        return { kind: "broken" };
    }

    async function exchange<T>(from: string, to: string, deliver: () => Promise<T>): Promise<Exchange<T>> {
        const fault = takeFault(from, to);
        if (!isUp(to) || cuts.has(pairOf(from, to)) || fault === "noConnection") {
            await clock.sleep(connectTimeoutMs);
            return { kind: "notSent" };
        }
        await travel();
        if (!isUp(to) || fault === "requestLost" || fault === "requestLate") {
            if (fault === "requestLate") {
                deliverLate(to, deliver);
            }
            return await breakLater();
        }
        if (fault === "requestTwice") {
            deliverLate(to, deliver);
        }
        const result = await deliverUnlessDown(to, deliver);
        await travelBack();
        const isLost = fault === "answerLost" || cuts.has(pairOf(from, to));
        return isLost ? await breakLater() : result;
    }

    return {
        exchange,
        register: (name, process) => void processes.set(name, process),
        cut: (a, b) => void cuts.add(pairOf(a, b)),
        heal: (a, b) => void cuts.delete(pairOf(a, b)),
        healAll: () => {
            cuts.clear();
            pendingFaults = [];
            reorderDelayMs = 0;
        },
        isCut: (a, b) => cuts.has(pairOf(a, b)),
        failNext: (fault, to, from, onInjected = () => undefined) => {
            pendingFaults.push({ fault, to, from, onInjected });
        },
        setReordering: maxDelayMs => {
            reorderDelayMs = maxDelayMs;
        },
    };
}
