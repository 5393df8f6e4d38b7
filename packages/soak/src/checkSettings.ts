import type { LinkProxy } from "./LinkProxy.js";
import type { Program } from "./Program.js";
import type { PromiseChecker } from "./PromiseChecker.js";
import type { SettingsChange } from "./SettingsChange.js";
import { settingsLimitMs } from "./settingsLimitMs.js";
import type { TimeSpan } from "./TimeSpan.js";

interface NamedSpan extends TimeSpan {
    storeLink: number;
    /** Time at which the file names the link for certain, since its write has ended. */
    writtenAtMs: number;
    /** Time at which the next write of the file began. */
    nextBeganAtMs: number;
}

function toNamedSpans(changes: SettingsChange[]): NamedSpan[] {
    return changes.map(({ beganAtMs, writtenAtMs, storeLink }, index) => ({
        storeLink,
        fromMs: beganAtMs,
        untilMs: changes[index + 1]?.writtenAtMs ?? Infinity,
        writtenAtMs,
        nextBeganAtMs: changes[index + 1]?.beganAtMs ?? Infinity,
    }));
}

/**
 * Checks that a program, from `settingsLimitMs` after a change of its settings file or its start on, makes no connection
 * and sends no request to a store that the file no longer names, and that it uses the one that the file names. An answer
 * to a watch that was sent earlier is not limited. The length of a start is not judged here: a program that has used no
 * store since its start must use the one that is named by `untilMs`.
 */
export function checkSettings(
    program: Pick<Program, "name" | "settingsChanges" | "runningSpans">,
    storeLinks: Pick<LinkProxy, "uses">[],
    checker: PromiseChecker,
    untilMs: number,
): void {
    const changes = program.settingsChanges();
    const named = toNamedSpans(changes);
    const running = program.runningSpans();
    const useTimes = storeLinks.map(link => link.uses().map(({ atMs }) => atMs));
    const firstUseMs = (times: number[], fromMs: number): number =>
        times.find(atMs => atMs >= fromMs) ?? Infinity;

    const isDue = (storeLink: number, atMs: number): boolean => {
        const sinceMs = atMs - settingsLimitMs;
        const isNamed = named.some(span =>
            span.storeLink === storeLink && span.fromMs <= atMs && span.untilMs >= sinceMs
        );
        return isNamed || !running.some(span => span.fromMs < sinceMs && span.untilMs >= atMs);
    };
    useTimes.forEach((times, storeLink) => {
        const late = times.filter(atMs => !isDue(storeLink, atMs));
        checker.check(late.length === 0, "no store is used that the settings no longer name", {
            program: program.name,
            storeLink,
            uses: late.length,
            firstMs: late[0],
            lastMs: late.at(-1),
            changes,
            running,
        });
    });

    for (const { storeLink, writtenAtMs, nextBeganAtMs } of named) {
        for (const span of running) {
            const startedAtMs = Math.min(...useTimes.map(times => firstUseMs(times, span.fromMs)));
            const fromMs = Math.max(writtenAtMs, span.fromMs);
            const limitMs = Math.min(Math.max(fromMs, startedAtMs) + settingsLimitMs, untilMs);
            const isUndisturbed = fromMs + settingsLimitMs <= limitMs
                && limitMs <= Math.min(nextBeganAtMs, span.untilMs);
            const usedAtMs = firstUseMs(useTimes[storeLink]!, fromMs);
            checker.check(!isUndisturbed || usedAtMs <= limitMs, "the store that the settings name is used", {
                program: program.name,
                storeLink,
                fromMs,
                startedAtMs,
                usedAtMs,
                changes,
                running,
            });
        }
    }
}
