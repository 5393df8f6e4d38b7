import type { PolicyId } from "@auburnarch/types/PolicyId";

/** A generation at the engine, as events of the engine end it. */
export interface RunningGeneration {
    /** Engine incarnation it began on. */
    bootId: string;
    policy: PolicyId;
    /** True while every chunk has named its version. */
    stamped: boolean;
    /** The engine is gone: the result is lost. */
    onEngineCrash(): void;
    /** Its version can no longer be named: the result must not be used. */
    onWeightsUnknown(): void;
    /** Ends it and keeps what was made. */
    cancel(): void;
}
