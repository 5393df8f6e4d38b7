import type { Clock } from "@auburnarch/types/Clock";
import { match } from "ts-pattern";
import type { LinkMode } from "./LinkMode.js";
import type { LinkProxy } from "./LinkProxy.js";
import type { Program } from "./Program.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakTestBed } from "./SoakTestBed.js";

const startLimitMs = 5_000;
const startPollMs = 20;

/** Injects one fault; resolves once it is over. */
export async function injectFault(bed: SoakTestBed, clock: Clock, fault: SoakFault): Promise<void> {
    const { programs, slots, store } = bed;

    async function disturbLinks(links: LinkProxy[], mode: LinkMode, forMs: number): Promise<void> {
        links.forEach(link => link.setMode(mode));
        await clock.sleep(forMs);
        links.forEach(link => link.setMode("well"));
    }

    async function restart(program: Program, signal: "SIGKILL" | "SIGTERM", downMs: number): Promise<void> {
        if (!program.isUp()) {
            return;
        }
        await program.end(signal);
        await clock.sleep(downMs);
        // An overlapping fault may already have started the program.
        if (!program.isUp()) {
            program.start();
        }
    }

    async function kill({ process, downMs, disk }: Extract<SoakFault, { kind: "kill"; }>): Promise<void> {
        const program = programs[process]!;
        const restarted = restart(program, "SIGKILL", downMs);
        if (disk !== "kept" && program.role === "runner") {
            await program.damageDisk(disk);
        }
        await restarted;
    }

    async function pause(program: Program, forMs: number): Promise<void> {
        program.signal("SIGSTOP");
        await clock.sleep(forMs);
        program.signal("SIGCONT");
    }

    /** A process is signalled once it has started: SIGHUP ends one that has not run any code yet, a listed failure. */
    async function signalStarted(program: Program): Promise<void> {
        const limitMs = clock.monotonicMs() + startLimitMs;
        while (!program.hasStarted() && clock.monotonicMs() < limitMs) {
            await clock.sleep(startPollMs);
        }
        if (program.hasStarted()) {
            program.signal("SIGHUP");
        }
    }

    async function changeSettings(
        { process, changes }: Extract<SoakFault, { kind: "changeSettings"; }>,
    ): Promise<void> {
        const program = programs[process]!;
        const signals: Promise<void>[] = [];
        for (const { afterMs, isReplaced, isSignalled } of changes) {
            await clock.sleep(afterMs);
            await program.changeSettings(isReplaced);
            if (isSignalled) {
                signals.push(signalStarted(program));
            }
        }
        await Promise.all(signals);
    }

    await match(fault)
        .with({ kind: "storeMode" }, async ({ mode, forMs }) => {
            store.setMode(mode);
            await clock.sleep(forMs);
            store.setMode("well");
        })
        .with({ kind: "storeHistory" }, async () => store.dropHistory())
        .with(
            { kind: "storeLink" },
            ({ process, mode, forMs }) =>
                disturbLinks(bed.storeLinks.get(programs[process]!.name)!, mode, forMs),
        )
        .with(
            { kind: "samplerLink" },
            ({ sampler, mode, forMs }) => disturbLinks([slots[sampler]!.link], mode, forMs),
        )
        .with({ kind: "kill" }, kill)
        .with({ kind: "killAll" }, async ({ downMs }) => {
            await Promise.all(programs.map(program => restart(program, "SIGKILL", downMs)));
        })
        .with({ kind: "pause" }, ({ process, forMs }) => pause(programs[process]!, forMs))
        .with({ kind: "terminate" }, ({ process, downMs }) => restart(programs[process]!, "SIGTERM", downMs))
        .with({ kind: "reload" }, async ({ process }) => programs[process]!.signal("SIGHUP"))
        .with({ kind: "replaceSampler" }, ({ sampler, isAnnounced }) => slots[sampler]!.replace(isAnnounced))
        .with({ kind: "leaveSampler" }, ({ sampler, isAnnounced }) => slots[sampler]!.leave(isAnnounced))
        .with({ kind: "breakStreams" }, async ({ sampler }) => slots[sampler]!.current().breakStreams())
        .with({ kind: "changeConfiguration" }, async () => bed.changeConfiguration())
        .with({ kind: "changeSettings" }, changeSettings)
        .exhaustive();
}
