import type { TrainerCall } from "@auburnarch/entry/TrainerCall";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createTestTrainer } from "@auburnarch/ownership/testing/createTestTrainer";
import type { TrainerConnection } from "@auburnarch/ownership/testing/TrainerConnection";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { JobId } from "@auburnarch/types/JobId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { EntryNode } from "./EntryNode.js";
import { pickEntry } from "./pickEntry.js";
import type { SimulatedTrainer } from "./SimulatedTrainer.js";
import type { Simulation } from "./Simulation.js";

interface SimulatedTrainerDeps {
    entries: EntryNode[];
    mayEnd: () => boolean;
}

const job = "plume" as JobId;
const team = "humoboira" as TeamId;
const minSteps = 3;
const groupsPerStep = 4;
const groupSize = 2;
const maxTokens = 24;
const bitmapBytesFromEnd = 33;

/** Flips one bit of the cursor's bitmap, so that the state of one group changes. */
function forge(cursor: string): string {
    const bytes = Buffer.from(cursor, "base64url");
    bytes[bytes.length - bitmapBytesFromEnd]! ^= 1;
    return bytes.toString("base64url");
}

/** Creates the trainer of a run; each call goes to a randomly picked entry. */
export function createSimulatedTrainer(simulation: Simulation, deps: SimulatedTrainerDeps): SimulatedTrainer {
    const { network, clock, violations } = simulation;
    const random = simulation.random.fork();
    let answersToLose = 0;
    let extraPublishes = 0;
    let onBurst = (): void => undefined;
    let onPublish: (() => void) | undefined;
    let onLost = (): void => undefined;
    let onForged: (() => void) | undefined;

    async function callEntry(call: TrainerCall): Promise<unknown> {
        const entry = pickEntry(deps.entries, random);
        const ended = await network.exchange(
            "trainer",
            entry.name,
            () => entry.enter(present => present.handleTrainerCall(team, call, false)),
        );
        if (ended.kind !== "answered") {
            throw new ResultError(resultCodes.connectionBroken);
        }
        if (answersToLose > 0) {
            answersToLose--;
            onLost();
            throw new ResultError(resultCodes.connectionBroken);
        }
        return ended.answer;
    }

    /** Sends a read with a forged cursor before the genuine one. */
    async function sendForged(call: Extract<TrainerCall, { kind: "readGroups"; }>): Promise<void> {
        const onInjected = onForged;
        if (onInjected === undefined || call.cursor === undefined) {
            return;
        }
        onForged = undefined;
        const forgedCall = { ...call, cursor: forge(call.cursor), waitMs: 0 };
        const code = await callEntry(forgedCall).then(() => "taken", (error: unknown) => codeOf(error).name);
        if (code === "taken") {
            violations.add("forgedCursorTaken", `step ${call.step}`);
        }
        if (code === "taken" || code === "cursorInvalid") {
            onInjected();
        }
        else {
            onForged = onInjected;
        }
    }

    const route: TrainerConnection = {
        openStep: spec => callEntry({ kind: "openStep", job, spec }) as Promise<{ fencing: number; }>,
        publishWeights: weights =>
            callEntry({ kind: "publishWeights", job, weights }) as Promise<{ fencing: number; }>,
        readGroups: async (step, cursor, waitMs) => {
            const call = { kind: "readGroups" as const, job, step, cursor, waitMs };
            await sendForged(call);
            return await callEntry(call) as GroupsPage;
        },
    };

    const trainer = createTestTrainer({
        clock,
        random: random.fork(),
        job,
        policy: "plume",
        groupSize,
        maxStalenessVersions: 1,
        steps: minSteps,
        mayEnd: deps.mayEnd,
        groupsPerStep,
        maxTokens,
        connect: () => route,
        openAhead: 1,
        nextExtraPublishCount: () => {
            const count = extraPublishes;
            extraPublishes = 0;
            if (count > 0) {
                onBurst();
            }
            return count;
        },
        onPublish: () => {
            const listener = onPublish;
            onPublish = undefined;
            listener?.();
        },
        rereadChance: () => 0.3,
        loseAnswerChance: () => 0,
        trainMs: 200,
        onPage: simulation.observer.checkPage,
    });
    return {
        trainer,
        loseAnswers: (count, listener) => {
            answersToLose = count;
            onLost = listener;
        },
        publishMore: (count, listener) => {
            extraPublishes = count;
            onBurst = listener;
        },
        beforeNextPublish: listener => {
            onPublish = listener;
        },
        forgeNextCursor: listener => {
            onForged = listener;
        },
    };
}
