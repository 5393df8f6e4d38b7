import type { PolicyId } from "@auburnarch/types/PolicyId";

/** A generation running at the engine, with the events that can end it. */
export interface RunningGeneration {
    /** Boot id of the engine incarnation on which it began. */
    bootId: string;
    policy: PolicyId;
    /** True while every chunk has named its version. */
    stamped: boolean;
    /** The engine incarnation has ended: the result must not be used. */
    onEngineCrash(): void;
    /** Its version is no longer known: the result must not be used. */
    onWeightsUnknown(): void;
    /** Ends it and keeps the tokens generated so far. */
    cancel(): void;
}
