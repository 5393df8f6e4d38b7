import { createStopController } from "@auburnarch/clock/createStopController";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { Lot } from "@auburnarch/lots/Lot";
import { createLotItems } from "../items/createLotItems.js";
import { stepDueMs } from "../items/stepDueMs.js";
import { createGroupNeed } from "../results/createGroupNeed.js";
import { createRecorder } from "../results/createRecorder.js";
import type { LotRun } from "./LotRun.js";
import type { LotRunDeps } from "./LotRunDeps.js";

const retryMs = 200;
/** Clocks of VMs differ by seconds at most; an item is given up late rather than early. */
const clockSlackMs = 5_000;

/** Starts to run a job: reads it, submits the items that have no result yet, records results as they come. */
export function createLotRun(deps: LotRunDeps): LotRun {
    const { lot: lotId, entry, lots, book, clock, logger } = deps;
    const stopped = createStopController();
    const recorder = createRecorder({
        ...deps,
        total: entry.total,
        onRecorded: item => items.close(item),
        onChunk: (number, chunk) => book.note(lotId, number, chunk),
    });
    const items = createLotItems(deps, recorder, stopped.signal);
    let cancelExpiry = (): void => {};

    function setExpiry(source: Lot): void {
        const ttlMs = deps.findRoute(source.host, source.path)?.itemTtlMs;
        if (ttlMs !== undefined) {
            const leftMs = entry.submittedAtMs + ttlMs + clockSlackMs - clock.wallMs();
            cancelExpiry = clock.startTimer(leftMs, () => items.terminateAll("expired"));
        }
    }

    function run(source: Lot): void {
        const { runs, resumed } = items.start(source);
        setExpiry(source);
        logger.info("lotStarted", {
            lot: lotId,
            policy: source.policy,
            step: source.step,
            minVersion: source.minVersion,
            items: source.items.length,
            recorded: recorder.recorded(),
            runs,
            resumed,
            ageMs: Math.round(clock.wallMs() - entry.submittedAtMs),
        });
    }

    async function tryStart(): Promise<boolean> {
        const source = await lots.readLot(lotId);
        if (source === undefined) {
            logger.warn("lotBodyMissing", { lot: lotId });
            return false;
        }
        deps.seenGroups.note(source);
        const need = createGroupNeed(source, group => deps.seenGroups.comesAgain(lotId, group));
        const ageMs = clock.wallMs() - entry.submittedAtMs;
        const dueMs = deps.findRoute(source.host, source.path)?.deadlineMs ?? stepDueMs;
        recorder.expect(need, clock.monotonicMs() + dueMs - ageMs);
        await recorder.load();
        book.markLoaded(lotId);
        if (!stopped.signal.aborted) {
            run(source);
        }
        return true;
    }

    async function start(): Promise<void> {
        while (!stopped.signal.aborted) {
            try {
                if (await tryStart()) {
                    return;
                }
            }
            catch (error) {
                const { number, name } = codeOf(error);
                logger.warn("lotNotRead", { lot: lotId, code: number, name });
            }
            await clock.sleep(retryMs, stopped.signal);
        }
    }

    book.open(lotId, entry);
    void start();
    return {
        isComplete: () => recorder.recorded() >= entry.total,
        keepTexts: items.keepTexts,
        stop: async isHandedOver => {
            cancelExpiry();
            items.withdrawAll();
            if (isHandedOver) {
                recorder.hurry();
                await recorder.drained();
            }
            stopped.abort();
            recorder.stop();
            items.forgetAll();
            book.close(lotId);
            const recorded = recorder.recorded();
            logger.info("lotStopped", { lot: lotId, recorded, total: entry.total, isHandedOver });
        },
    };
}
