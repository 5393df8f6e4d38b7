import { createHash, createHmac } from "node:crypto";
import type { CursorCodec } from "./CursorCodec.js";
import type { CursorState } from "./CursorState.js";
import { isGenuineCursor } from "./isGenuineCursor.js";

// Layout, big-endian: format version, job digest, step, fencing, groups, samples, tokens, engineMs, bitmap, signature.
const formatVersion = 1;
const jobOffset = 1;
const jobBytes = 16;
const stepOffset = jobOffset + jobBytes;
const fencingOffset = stepOffset + 8;
const groupsOffset = fencingOffset + 8;
const samplesOffset = groupsOffset + 4;
const tokensOffset = samplesOffset + 8;
const engineMsOffset = tokensOffset + 8;
const bitmapOffset = engineMsOffset + 8;
const signatureBytes = 32;
const maxCursorChars = 16_384;

const jobDigest = (job: string): Buffer => createHash("sha256").update(job).digest().subarray(0, jobBytes);
const bitmapBytes = (groups: number): number => Math.ceil(groups / 8);

/**
 * Creates the codec for one signing key. A cursor is binary, in base64url, of a size that depends only on the number of
 * groups. It is signed with HMAC-SHA-256 because it alone says which groups the trainer has received: a forged cursor
 * would lose groups or deliver them twice.
 */
export function createCursorCodec(key: string, isGenuine = isGenuineCursor): CursorCodec {
    const sign = (body: Uint8Array): Buffer => createHmac("sha256", key).update(body).digest();

    function encode(state: CursorState): string {
        const body = Buffer.alloc(bitmapOffset + bitmapBytes(state.groups));
        body.writeUInt8(formatVersion, 0);
        jobDigest(state.job).copy(body, jobOffset);
        body.writeDoubleBE(state.step, stepOffset);
        body.writeDoubleBE(state.fencing, fencingOffset);
        body.writeUInt32BE(state.groups, groupsOffset);
        body.writeDoubleBE(state.samples, samplesOffset);
        body.writeDoubleBE(state.tokens, tokensOffset);
        body.writeDoubleBE(state.engineMs, engineMsOffset);
        body.set(state.delivered, bitmapOffset);
        return Buffer.concat([body, sign(body)]).toString("base64url");
    }

    function parse(body: Buffer, job: string): CursorState | undefined {
        const groups = body.readUInt32BE(groupsOffset);
        if (body.readUInt8(0) !== formatVersion || body.length !== bitmapOffset + bitmapBytes(groups)) {
            return undefined;
        }
        if (!body.subarray(jobOffset, stepOffset).equals(jobDigest(job))) {
            return undefined;
        }
        return {
            job,
            step: body.readDoubleBE(stepOffset),
            fencing: body.readDoubleBE(fencingOffset),
            groups,
            delivered: Uint8Array.from(body.subarray(bitmapOffset)),
            samples: body.readDoubleBE(samplesOffset),
            tokens: body.readDoubleBE(tokensOffset),
            engineMs: body.readDoubleBE(engineMsOffset),
        };
    }

    function decode(cursor: string, job: string, step: number): CursorState | undefined {
        if (cursor.length > maxCursorChars) {
            return undefined;
        }
        const bytes = Buffer.from(cursor, "base64url");
        // Node ignores characters outside the alphabet; only the exact string that was issued is accepted.
        if (bytes.length < bitmapOffset + signatureBytes || bytes.toString("base64url") !== cursor) {
            return undefined;
        }
        const body = bytes.subarray(0, bytes.length - signatureBytes);
        if (!isGenuine(bytes.subarray(body.length), sign(body))) {
            return undefined;
        }
        const state = parse(body, job);
        return state?.step === step ? state : undefined;
    }

    return { encode, decode };
}
