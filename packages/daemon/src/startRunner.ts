import { watchKind } from "@auburnarch/discovery/watchKind";
import { lotKinds } from "@auburnarch/lots/lotKinds";
import { lotSchemas } from "@auburnarch/lots/lotSchemas";
import { createEngineOrders } from "@auburnarch/platform/createEngineOrders";
import { decodeNamedVersion } from "@auburnarch/platform/decodeNamedVersion";
import { decodeRetirement } from "@auburnarch/platform/decodeRetirement";
import { platformKinds } from "@auburnarch/platform/platformKinds";
import { readItemEvents } from "@auburnarch/platform/readItemEvents";
import { createRunner } from "@auburnarch/runner/createRunner";
import type { RunnerAddress } from "@auburnarch/runner/RunnerAddress";
import type { RunnerStatus } from "@auburnarch/runner/RunnerStatus";
import { createRpcClient } from "@auburnarch/send/createRpcClient";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import { Agent } from "node:http";
import { z } from "zod";
import { openTextShelf } from "./openTextShelf.js";
import { registerRunner } from "./registerRunner.js";
import type { RoleContext } from "./RoleContext.js";
import type { RunningRole } from "./RunningRole.js";
import { serveInternal } from "./serveInternal.js";
import { startCommon } from "./startCommon.js";

const statusMethod = "runner.status";
const runnersKind = "runners";
const addressSchema = z.object({ host: z.string(), port: z.number() });
/** Where some seconds more do no harm if a connection falls silent: new runners, and VMs that are to be emptied. */
const slowWaitMs = 10_000;
/** Left of the grace period when the hand-over is given up. */
const exitSlackMs = 1_500;

function decode<T>(schema: z.ZodType<T>): (name: string, value: unknown) => T | undefined {
    return (_name, value) => {
        const parsed = schema.safeParse(value);
        return parsed.success ? parsed.data : undefined;
    };
}

/** Starts a runner and resolves once its peers can reach it. */
export async function startRunner(context: RoleContext): Promise<RunningRole> {
    const { settings, clock, random, logger } = context;
    let isBusy = (): boolean => false;
    const common = startCommon(context, () => isBusy());
    const { store } = common;
    const watched = { store, clock, logger };
    const agent = new Agent({ keepAlive: true });

    const probe = async ({ host, port }: RunnerAddress, timeoutMs: number): Promise<RunnerStatus> => {
        const call = createRpcClient({ host, port, agent, clock });
        return await call(statusMethod, {}, timeoutMs) as RunnerStatus;
    };

    const registration = `${runnersKind}/${settings.name}`;
    const { shelf, flush } = await openTextShelf(context);
    const internal = await serveInternal(context, async () => runner.status());
    const runner = createRunner({
        ...common,
        ...context,
        name: settings.name,
        registration,
        incarnation: random.nextId(),
        failureDomain: settings.failureDomain as FailureDomain,
        entries: watchKind({ ...watched, kind: lotKinds.entries, decode: decode(lotSchemas.entry) }),
        registered: watchKind({
            ...watched,
            kind: runnersKind,
            decode: decode(addressSchema),
            waitMs: slowWaitMs,
        }),
        watchVersions: () =>
            watchKind({
                ...watched,
                kind: platformKinds.namedVersions,
                decode: (_name, value) => decodeNamedVersion(value),
            }),
        retirements: watchKind({
            ...watched,
            kind: platformKinds.retirements,
            waitMs: slowWaitMs,
            decode: (_name, value) => decodeRetirement(value),
        }),
        reportRetirement: state =>
            common.writeStatus(`${platformKinds.retirements}/${settings.name}`, { state }),
        shelf,
        readEvents: readItemEvents,
        orders: createEngineOrders(clock, common.agentFor),
        probe,
        orderHandOverMs: settings.orderHandOverMs,
        lotRetentionMs: settings.lotRetentionMs,
        maxLoading: settings.maxLoadingSamplers,
    });
    isBusy = () => {
        const { running, holdsWeights } = runner.status();
        return running.length > 0 || holdsWeights;
    };
    const registered = registerRunner({
        store,
        clock,
        logger,
        key: registration,
        address: { host: settings.internalHost, port: internal.port },
    });
    return {
        shutdown: async () => {
            registered.stop();
            await runner.leave(settings.gracePeriodMs - exitSlackMs);
            await flush();
            internal.close();
        },
    };
}
