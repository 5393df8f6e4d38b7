import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { SamplerHealth } from "../items/SamplerHealth.js";
import type { PeerView } from "../peers/PeerView.js";
import { choosePace } from "./choosePace.js";
import { medianOf } from "./medianOf.js";

/** Expected paces of samplers. */
interface Paces {
    /** Paces observed here lately, as sent to peers. */
    observed(): Record<string, number>;
    /** Expected pace of each sampler of a service; empty if none of them was observed. */
    list(serving: readonly RegisteredSampler[], peers: readonly PeerView[]): Map<IncarnationId, number>;
}

/** A sampler's pace changes with its load and its machine; an older observation says little about it. */
const maxPaceAgeMs = 10_000;

const round = (value: number): number => Math.round(value * 100) / 100;

/** Creates the paces of samplers as observed by this runner and its peers. */
export function createPaces(
    { samplerHealth }: { samplerHealth: Pick<SamplerHealth, "lastingEventsPerSecond" | "listLastingPaces">; },
): Paces {
    return {
        observed: () =>
            Object.fromEntries(
                samplerHealth.listLastingPaces(maxPaceAgeMs).map(([sampler, pace]) => [sampler, round(pace)]),
            ),
        list: (serving, peers) => {
            const known = serving.map(({ incarnation }) => ({
                incarnation,
                own: samplerHealth.lastingEventsPerSecond(incarnation, maxPaceAgeMs),
                peers: peers.flatMap(({ isAlive, status }) =>
                    isAlive ? status?.paces?.[incarnation] ?? [] : []
                ),
            }));
            const service = known.flatMap(each => choosePace({ ...each, service: [] }) ?? []);
            const median = medianOf(service);
            return new Map(known.flatMap(each => {
                const pace = choosePace({ ...each, service: median === undefined ? [] : [median] });
                return pace === undefined ? [] : [[each.incarnation, pace] as const];
            }));
        },
    };
}
