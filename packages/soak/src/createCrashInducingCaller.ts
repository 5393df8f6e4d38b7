import { createFakeClient } from "@auburnarch/platform/testing/createFakeClient";
import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import { crashInducingContent } from "./crashInducingContent.js";
import type { CrashInducingSend } from "./CrashInducingSend.js";
import type { Program } from "./Program.js";
import { soakTeam } from "./soakTeam.js";
import type { SoakTestBed } from "./SoakTestBed.js";

interface CrashInducingCaller {
    /** Sends requests until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    sends(): CrashInducingSend[];
    /** Statuses of the harmless requests, all of one content, in the order of their answers; 0 without an answer. */
    harmlessStatuses(): number[];
    close(): void;
}

/** At most this many gateways get the crash-inducing request at once. */
const maxGatewaysAtOnce = 3;
const minIntervalMs = 300;
const maxIntervalMs = 1_500;
const harmlessIntervalMs = 150;
const limitMs = 2_500;

/** Creates a client that sends one crash-inducing content and one harmless content again and again. */
export function createCrashInducingCaller(
    { bed, clock, random }: { bed: SoakTestBed; clock: Clock; random: Random; },
): CrashInducingCaller {
    const client = createFakeClient(soakTeam.key);
    const sends: CrashInducingSend[] = [];
    const harmlessStatuses: number[] = [];

    const drawGateway = (): Program => bed.gateways[random.nextInt(bed.gateways.length)]!;

    async function call(gateway: Program, content: string, requestId: string): Promise<number> {
        const reply = await client.call(gateway.clientPort, {
            method: "POST",
            path: `/tiles/${content}`,
            requestId,
            limitMs,
            body: content,
        });
        return reply.kind === "answered" ? reply.status : 0;
    }

    async function sendCrashInducing(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const count = 1 + random.nextInt(maxGatewaysAtOnce);
            const gateways = new Set(Array.from({ length: count }, drawGateway));
            for (const gateway of gateways) {
                const requestId = `${crashInducingContent}-${sends.length}`;
                sends.push({ requestId, gateway: gateway.name, atMs: clock.monotonicMs() });
                void call(gateway, crashInducingContent, requestId);
            }
            await clock.sleep(minIntervalMs + random.nextInt(maxIntervalMs - minIntervalMs), signal);
        }
    }

    async function sendHarmless(signal: AbortSignal): Promise<void> {
        for (let at = 0; !signal.aborted; at++) {
            void call(drawGateway(), "beside", `beside-${at}`).then(status => harmlessStatuses.push(status));
            await clock.sleep(harmlessIntervalMs, signal);
        }
    }

    return {
        run: async signal => {
            await Promise.all([sendCrashInducing(signal), sendHarmless(signal)]);
        },
        sends: () => sends,
        harmlessStatuses: () => harmlessStatuses,
        close: client.close,
    };
}
