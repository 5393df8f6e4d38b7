import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import { watchKind } from "@auburnarch/discovery/watchKind";
import { lotKinds } from "@auburnarch/lots/lotKinds";
import { lotSchemas } from "@auburnarch/lots/lotSchemas";
import { createEngineOrders } from "@auburnarch/platform/createEngineOrders";
import { decodeNamedVersion } from "@auburnarch/platform/decodeNamedVersion";
import { decodeRetirement } from "@auburnarch/platform/decodeRetirement";
import { platformKinds } from "@auburnarch/platform/platformKinds";
import { readItemEvents } from "@auburnarch/platform/readItemEvents";
import { createRunner } from "@auburnarch/runner/createRunner";
import type { RunnerStatus } from "@auburnarch/runner/RunnerStatus";
import { createRpcClient } from "@auburnarch/send/createRpcClient";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import { Agent } from "node:http";
import { decodeWith } from "./decodeWith.js";
import { openTextShelf } from "./openTextShelf.js";
import { registerRunner } from "./registerRunner.js";
import type { RoleContext } from "./RoleContext.js";
import { rpcMethods } from "./rpcMethods.js";
import { runnersKind } from "./runnersKind.js";
import type { RunningRole } from "./RunningRole.js";
import { serveInternal } from "./serveInternal.js";
import { slowWaitMs } from "./slowWaitMs.js";
import { startCommon } from "./startCommon.js";
import { watchRunners } from "./watchRunners.js";

/** Left of the grace period when the hand-over is given up. */
const exitSlackMs = 1_500;

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
        return await call(rpcMethods.status, {}, timeoutMs) as RunnerStatus;
    };

    const registration = `${runnersKind}/${settings.name}`;
    const { shelf, flush } = await openTextShelf(context);
    const answerPeer = async (method: string, params: unknown): Promise<unknown> => {
        if (method !== rpcMethods.results) {
            return runner.status();
        }
        const { lot, fromChunk, waitMs } = lotSchemas.resultsQuery.parse(params);
        return runner.results(lot, fromChunk, waitMs);
    };
    const internal = await serveInternal(context, answerPeer);
    const runner = createRunner({
        ...common,
        ...context,
        name: settings.name,
        registration,
        incarnation: random.nextId(),
        failureDomain: settings.failureDomain as FailureDomain,
        entries: watchKind({ ...watched, kind: lotKinds.entries, decode: decodeWith(lotSchemas.entry) }),
        registered: watchRunners(watched),
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
