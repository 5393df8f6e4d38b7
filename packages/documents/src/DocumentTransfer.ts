import type { TextDelta } from "./TextDelta.js";

/** A document on its way to another process: whole, or as a change of the version held there. */
export type DocumentTransfer =
    | { kind: "whole"; name: string; version: number; value?: unknown; }
    | { kind: "delta"; name: string; version: number; baseVersion: number; delta: TextDelta; };
