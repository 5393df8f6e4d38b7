import type { Clock } from "@auburnarch/types/Clock";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";
import type { OperatorExplain } from "@auburnarch/types/OperatorExplain";
import type { DecisionStore } from "./DecisionStore.js";

/** Limits the memory to less than 4 MB: an event takes about 400 bytes. */
const maxEvents = 8_192;
const idFields = ["sample", "attempt", "request", "key"] as const;

type Decision = OperatorExplain["decisions"][number];

const idsOf = (fields: LogFields): string[] =>
    idFields.map(name => fields[name]).filter((value): value is string => typeof value === "string");

/**
 * Creates a decision store that forwards events to `sink`. Events that name both a sample and its attempt link the
 * two: a query for one also finds the events of the other.
 */
export function createDecisionStore(sink: Logger, clock: Clock): DecisionStore {
    const ring: (Decision | undefined)[] = new Array<Decision | undefined>(maxEvents).fill(undefined);
    let next = 0;

    function record(event: string, fields: LogFields): void {
        if (idsOf(fields).length === 0) {
            return;
        }
        ring[next] = { atMs: clock.wallMs(), event, fields };
        next = (next + 1) % maxEvents;
    }

    function oldestFirst(): Decision[] {
        return [...ring.slice(next), ...ring.slice(0, next)].filter((each): each is Decision =>
            each !== undefined
        );
    }

    function bind(target: Logger, bound: LogFields): Logger {
        const write = (level: "info" | "warn" | "error") => (event: string, fields: LogFields): void => {
            record(event, { ...bound, ...fields });
            target[level](event, fields);
        };
        return {
            info: write("info"),
            warn: write("warn"),
            error: write("error"),
            child: fields => bind(target.child(fields), { ...bound, ...fields }),
        };
    }

    return {
        logger: bind(sink, {}),
        explain: id => {
            const decisionsInOrder = oldestFirst();
            const related = new Set([id]);
            for (const { fields } of decisionsInOrder) {
                const ids = idsOf(fields);
                if (ids.includes(id)) {
                    ids.forEach(each => related.add(each));
                }
            }
            const decisions = decisionsInOrder.filter(({ fields }) =>
                idsOf(fields).some(each => related.has(each))
            );
            return { id, decisions };
        },
    };
}
