import type { TextDelta } from "./TextDelta.js";

/** A document sent to another process, in full or as a delta to a version that process has. */
export type DocumentTransfer =
    | { kind: "whole"; name: string; version: number; value?: unknown; }
    | { kind: "delta"; name: string; version: number; baseVersion: number; delta: TextDelta; };
