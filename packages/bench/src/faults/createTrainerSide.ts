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
import type { TrainerSide } from "./TrainerSide.js";
import type { World } from "./World.js";

interface TrainerSideDeps {
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

/** The cursor with one bit of its bitmap changed, so that it says something else about one group. */
function forge(cursor: string): string {
    const bytes = Buffer.from(cursor, "base64url");
    bytes[bytes.length - bitmapBytesFromEnd]! ^= 1;
    return bytes.toString("base64url");
}

/** Makes the trainer of a run; each call goes to an entry at random. */
export function createTrainerSide(world: World, deps: TrainerSideDeps): TrainerSide {
    const { network, clock, violations } = world;
    const random = world.random.fork();
    let toLose = 0;
    let extraPublishes = 0;
    let onBurst = (): void => undefined;
    let onPublish: (() => void) | undefined;
    let onLost = (): void => undefined;
    let onForged: (() => void) | undefined;

    async function train(call: TrainerCall): Promise<unknown> {
        const entry = pickEntry(deps.entries, random);
        const ended = await network.exchange(
            "trainer",
            entry.name,
            () => entry.enter(present => present.handleTrainerCall(team, call, false)),
        );
        if (ended.kind !== "answered") {
            throw new ResultError(resultCodes.connectionBroken);
        }
        if (toLose > 0) {
            toLose--;
            onLost();
            throw new ResultError(resultCodes.connectionBroken);
        }
        return ended.answer;
    }

    /** A hostile read beside the true one. */
    async function tryForged(call: Extract<TrainerCall, { kind: "readGroups"; }>): Promise<void> {
        const forged = onForged;
        if (forged === undefined || call.cursor === undefined) {
            return;
        }
        onForged = undefined;
        const hostile = { ...call, cursor: forge(call.cursor), waitMs: 0 };
        const code = await train(hostile).then(() => "taken", (error: unknown) => codeOf(error).name);
        if (code === "taken") {
            violations.add("forgedCursorTaken", `step ${call.step}`);
        }
        if (code === "taken" || code === "cursorInvalid") {
            forged();
        }
        else {
            onForged = forged;
        }
    }

    const route: TrainerConnection = {
        openStep: spec => train({ kind: "openStep", job, spec }) as Promise<{ fencing: number; }>,
        publishWeights: weights =>
            train({ kind: "publishWeights", job, weights }) as Promise<{ fencing: number; }>,
        readGroups: async (step, cursor, waitMs) => {
            const call = { kind: "readGroups" as const, job, step, cursor, waitMs };
            await tryForged(call);
            return await train(call) as GroupsPage;
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
        onPage: world.witness.judgePage,
    });
    return {
        trainer,
        loseAnswers: (count, strike) => {
            toLose = count;
            onLost = strike;
        },
        publishMore: (count, strike) => {
            extraPublishes = count;
            onBurst = strike;
        },
        beforeNextPublish: listener => {
            onPublish = listener;
        },
        forgeNextCursor: strike => {
            onForged = strike;
        },
    };
}
