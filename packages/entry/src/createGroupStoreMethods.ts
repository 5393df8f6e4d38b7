import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import { z } from "zod";

const stepFields = { job: z.string().min(1).max(512), step: z.int().nonnegative() };
const saveParams = z.object({
    ...stepFields,
    group: z.int().nonnegative(),
    fencing: z.int().nonnegative(),
    body: z.string(),
});
const loadParams = z.object(stepFields);
const dropParams = z.object({ ...stepFields, groups: z.array(z.int().nonnegative()).max(65_536) });

/** Creates the methods that give other entries access to this entry's data folder; none if it has no data folder. */
export function createGroupStoreMethods(
    local: GroupStore | undefined,
): Record<string, (params: unknown) => unknown> {
    if (local === undefined) {
        return {};
    }
    function parse<T>(schema: z.ZodType<T>, params: unknown): T {
        const parsed = schema.safeParse(params);
        if (!parsed.success) {
            throw new ResultError(resultCodes.badRequest, parsed.error.issues[0]?.message ?? "");
        }
        return parsed.data;
    }
    return {
        keepSave: params => local.save(parse(saveParams, params)),
        keepLoad: params => {
            const { job, step } = parse(loadParams, params);
            return local.load(job, step);
        },
        keepDrop: params => {
            const { job, step, groups } = parse(dropParams, params);
            return local.drop(job, step, groups);
        },
    };
}
