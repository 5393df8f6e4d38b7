import type { Clock } from "@auburnarch/types/Clock";
import { match } from "ts-pattern";
import type { LinkMode } from "./LinkMode.js";
import type { LinkProxy } from "./LinkProxy.js";
import type { Program } from "./Program.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakTestBed } from "./SoakTestBed.js";

/** Injects one fault; resolves once it is over. */
export async function injectFault(bed: SoakTestBed, clock: Clock, fault: SoakFault): Promise<void> {
    const { programs, slots, store } = bed;

    async function disturbLink(link: LinkProxy, mode: LinkMode, forMs: number): Promise<void> {
        link.setMode(mode);
        await clock.sleep(forMs);
        link.setMode("well");
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
                disturbLink(bed.storeLinks.get(programs[process]!.name)!, mode, forMs),
        )
        .with(
            { kind: "samplerLink" },
            ({ sampler, mode, forMs }) => disturbLink(slots[sampler]!.link, mode, forMs),
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
        .exhaustive();
}
