import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import type { FleetNetwork } from "./FleetNetwork.js";
import type { FleetOptions } from "./FleetOptions.js";

/** One-way latency between failure domains of a region. */
const latencyMs = 0.5;
const regionLatencyMs = 10;

interface Listener {
    region: string;
    handlers: Record<string, (message: unknown) => unknown>;
    extraMs: number;
}

/** Creates the network. Messages are serialised as JSON, as in the product. */
export function createFleetNetwork(
    clock: Clock,
    random: Random,
    options: Pick<FleetOptions, "loss" | "envelopeBytes">,
): FleetNetwork {
    const listeners = new Map<string, Listener>();
    const counts = { entry: { calls: 0, bytes: 0 }, sidecar: { calls: 0, bytes: 0 } };
    let isCut = false;

    const call: FleetNetwork["call"] = async (from, address, method, message) => {
        const request = JSON.stringify(message);
        counts[from.role].calls++;
        counts[from.role].bytes += request.length + options.envelopeBytes / 2;
        const listener = listeners.get(address);
        const isFar = listener !== undefined && listener.region !== from.region;
        const oneWayMs = (isFar ? regionLatencyMs : latencyMs) + (listener?.extraMs ?? 0);
        await clock.sleep(oneWayMs);
        if (listeners.get(address) !== listener || listener === undefined) {
            throw new Error(`connection to ${address} refused`);
        }
        if (random.nextUnit() < options.loss || (isCut && isFar)) {
            // No answer arrives; the caller detects this by its own timeout.
            return new Promise(() => undefined);
        }
        counts.entry.bytes += request.length + options.envelopeBytes / 2;
        const answer = JSON.stringify(await listener.handlers[method]!(JSON.parse(request)));
        counts.entry.bytes += answer.length + options.envelopeBytes / 2;
        await clock.sleep(oneWayMs);
        counts[from.role].bytes += answer.length + options.envelopeBytes / 2;
        return JSON.parse(answer) as unknown;
    };

    return {
        listen: (address, region, handlers) => void listeners.set(address, { region, handlers, extraMs: 0 }),
        remove: address => void listeners.delete(address),
        call,
        slow: (address, extraMs) => {
            const listener = listeners.get(address);
            if (listener !== undefined) {
                listener.extraMs = extraMs;
            }
        },
        cutRegions: cut => {
            isCut = cut;
        },
        counts,
        resetCounts: () => {
            for (const role of [counts.entry, counts.sidecar]) {
                role.calls = 0;
                role.bytes = 0;
            }
        },
    };
}
