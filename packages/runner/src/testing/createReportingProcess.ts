import { createPausableProcess } from "@auburnarch/fakes/createPausableProcess";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLeaseManager } from "@auburnarch/lease/createLeaseManager";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Random } from "@auburnarch/types/Random";
import { createStartCountRegistry } from "@auburnarch/usage/createStartCountRegistry";
import { createDutyHolder } from "../duties/createDutyHolder.js";
import { createPauseDetector } from "../duties/createPauseDetector.js";
import type { Duty } from "../duties/Duty.js";
import type { HeldDuties } from "../duties/HeldDuties.js";
import { createUsageDuty } from "../usage/createUsageDuty.js";
import type { SendUsageReport } from "../usage/SendUsageReport.js";
import type { UsageTimes } from "../usage/UsageTimes.js";
import type { ReportCall } from "./ReportCall.js";
import type { ReportingProcess } from "./ReportingProcess.js";

interface ReportingProcessOptions {
    name: string;
    clock: Clock;
    store: ObjectStore;
    random: Random;
    times: UsageTimes;
    /** Current behaviour of the platform. */
    platform: { isDown: boolean; losesAnswers: boolean; };
    /** The process always acts as if it held the lease. */
    alwaysActs: boolean;
    /** Receives the calls that reach the platform. */
    calls: ReportCall[];
}

const leaseTtlMs = 2_500;
const handOverMs = 3_000;
/** Calls of a sender may arrive out of order for this long after it was resumed. */
const resumeGraceMs = 300;
const networkDelayMs = 4;
const tickMs = 150;
const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const failOnBrokenInvariant = (): never => {
    throw new Error("invariant violated");
};

function runAlways(clock: Clock, duty: Duty): void {
    duty.round();
    clock.startTimer(tickMs, () => runAlways(clock, duty));
}

/** Starts the production duty with its lease in a process that can be paused and whose wall clock can jump. */
export function createReportingProcess(options: ReportingProcessOptions): ReportingProcess {
    const { name, clock, store, random, times, platform, alwaysActs, calls } = options;
    const paused = createPausableProcess(clock, store);
    const state = { isPaused: false, resumedAtMs: -Infinity, stepMs: 0, isEnded: false };
    const ownClock: Clock = { ...paused.clock, wallMs: () => clock.wallMs() + state.stepMs };
    const starts = createStartCountRegistry(ownClock);
    const receive: SendUsageReport = async ({ window, counts }, { holder, fencing }) => {
        await clock.sleep(networkDelayMs);
        calls.push({
            atMs: clock.monotonicMs(),
            holder,
            fencing,
            window,
            counts: JSON.stringify(counts),
            isAccepted: !platform.isDown,
            isAfterPause: state.isPaused || clock.monotonicMs() - state.resumedAtMs < resumeGraceMs,
        });
        return platform.isDown ? "unknown" : platform.losesAnswers ? "unknown" : "accepted";
    };
    const send: SendUsageReport = async (...args) => {
        const outcome = await receive(...args);
        // An answer reaches a paused process only after it is resumed.
        await ownClock.sleep(1);
        return outcome;
    };
    const leases = createLeaseManager({
        store: paused.store,
        clock: ownClock,
        random: random.fork(),
        logger: silent,
        invariants: createInvariants(silent, failOnBrokenInvariant),
        holder: name,
        ttlMs: leaseTtlMs,
        resumesOwnLeases: true,
    });
    const trueTime = {
        nowMs: clock.wallMs,
        atMs: (ms: number) => ms + clock.wallMs() - clock.monotonicMs(),
    };
    const startDuty = (held: HeldDuties): Duty =>
        createUsageDuty({
            self: name,
            times,
            store: paused.store,
            starts,
            send,
            trueTime,
            clock: ownClock,
            logger: silent,
            metrics: createMetrics(),
        }, held);
    if (alwaysActs) {
        runAlways(ownClock, startDuty({ fencing: random.nextUnit() as FencingNumber, mayAct: () => true }));
    }
    else {
        createDutyHolder({
            leases,
            leaseTtlMs,
            areClocksTrusted: createPauseDetector(ownClock, silent, leaseTtlMs / 2).areClocksTrusted,
            handOverMs,
            duties: [startDuty],
            clock: ownClock,
            logger: silent,
        });
    }
    return { name, paused, state, starts };
}
