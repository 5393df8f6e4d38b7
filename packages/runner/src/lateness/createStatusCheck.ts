import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import { z } from "zod";
import type { RunnerStatus } from "../peers/RunnerStatus.js";
import { stepStatusSchema } from "./stepStatusSchema.js";

/** Bounds what one answer may add to the state of a runner. */
const maxSteps = 256;
const maxPaces = 4_096;
/** Events per second. */
const paceSchema = z.number().positive().max(100_000);
const stepsSchema = z.array(z.unknown()).max(maxSteps);
const pacesSchema = z.record(z.string(), z.unknown()).refine(
    paces => Object.keys(paces).length <= maxPaces,
    "too many",
);
/** The same fault is in each answer of a peer. */
const repeatAfterMs = 60_000;
const maxRemembered = 256;

const pathOf = (field: string, error: z.ZodError): string =>
    [field, ...(error.issues[0]?.path ?? []).map(String)].join(".");

/**
 * Creates the check of the optional fields of peers' statuses. An invalid step, pace or field is left out and logged
 * with its path and the sender; the rest of the status is used. A peer of an earlier build sends none.
 */
export function createStatusCheck(
    { clock, logger }: { clock: Clock; logger: Logger; },
): (sender: RunnerAddress, status: RunnerStatus) => RunnerStatus {
    const loggedAtMs = new Map<string, number>();

    function logFault(sender: RunnerAddress, path: string, fault: string): void {
        const key = `${sender.host}:${sender.port} ${path}`;
        const nowMs = clock.monotonicMs();
        if (nowMs - (loggedAtMs.get(key) ?? -Infinity) < repeatAfterMs) {
            return;
        }
        loggedAtMs.delete(key);
        loggedAtMs.set(key, nowMs);
        if (loggedAtMs.size > maxRemembered) {
            loggedAtMs.delete(loggedAtMs.keys().next().value!);
        }
        logger.warn("peerFieldInvalid", { sender: `${sender.host}:${sender.port}`, field: path, fault });
    }

    /** Returns the value if it matches the schema; otherwise logs the field. */
    function check<Value>(
        sender: RunnerAddress,
        path: string,
        schema: z.ZodType<Value>,
        value: unknown,
    ): Value | undefined {
        const parsed = schema.safeParse(value);
        if (!parsed.success) {
            logFault(sender, pathOf(path, parsed.error), parsed.error.issues[0]?.message ?? "");
        }
        return parsed.data;
    }

    return (sender, status) => {
        const { steps, paces, ...others } = status as RunnerStatus & { steps?: unknown; paces?: unknown; };
        const listed = steps === undefined ? undefined : check(sender, "steps", stepsSchema, steps);
        const named = paces === undefined ? undefined : check(sender, "paces", pacesSchema, paces);
        return {
            ...others,
            ...(listed === undefined ? {} : {
                steps: listed.flatMap((step, at) =>
                    check(sender, `steps.${at}`, stepStatusSchema, step) ?? []
                ),
            }),
            ...(named === undefined ? {} : {
                paces: Object.fromEntries(
                    Object.entries(named).flatMap(([sampler, pace]) => {
                        const checked = check(sender, `paces.${sampler}`, paceSchema, pace);
                        return checked === undefined ? [] : [[sampler, checked]];
                    }),
                ),
            }),
        };
    };
}
