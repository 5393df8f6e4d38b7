import { createHash, createHmac } from "node:crypto";
import type { CursorCodec } from "./CursorCodec.js";
import type { CursorState } from "./CursorState.js";
import { isGenuineCursor } from "./isGenuineCursor.js";

// Layout, big endian: format, job digest, step, fencing, groups, samples, tokens, engineMs, bitmap, signature.
const format = 1;
const jobAt = 1;
const jobBytes = 16;
const stepAt = jobAt + jobBytes;
const fencingAt = stepAt + 8;
const groupsAt = fencingAt + 8;
const samplesAt = groupsAt + 4;
const tokensAt = samplesAt + 8;
const engineAt = tokensAt + 8;
const bitmapAt = engineAt + 8;
const signatureBytes = 32;
const maxCursorChars = 16_384;

const jobDigest = (job: string): Buffer => createHash("sha256").update(job).digest().subarray(0, jobBytes);
const bitmapBytes = (groups: number): number => Math.ceil(groups / 8);

/**
 * Makes the codec of one signing key. Cursors are fixed-size binary in base64url, signed by HMAC-SHA-256, because
 * the trainer's word on what it has is trusted: a forged one would lose groups or deliver them twice.
 */
export function createCursorCodec(key: string, isGenuine = isGenuineCursor): CursorCodec {
    const sign = (body: Uint8Array): Buffer => createHmac("sha256", key).update(body).digest();

    function encode(state: CursorState): string {
        const body = Buffer.alloc(bitmapAt + bitmapBytes(state.groups));
        body.writeUInt8(format, 0);
        jobDigest(state.job).copy(body, jobAt);
        body.writeDoubleBE(state.step, stepAt);
        body.writeDoubleBE(state.fencing, fencingAt);
        body.writeUInt32BE(state.groups, groupsAt);
        body.writeDoubleBE(state.samples, samplesAt);
        body.writeDoubleBE(state.tokens, tokensAt);
        body.writeDoubleBE(state.engineMs, engineAt);
        body.set(state.delivered, bitmapAt);
        return Buffer.concat([body, sign(body)]).toString("base64url");
    }

    function parse(body: Buffer, job: string): CursorState | undefined {
        const groups = body.readUInt32BE(groupsAt);
        if (body.readUInt8(0) !== format || body.length !== bitmapAt + bitmapBytes(groups)) {
            return undefined;
        }
        if (!body.subarray(jobAt, stepAt).equals(jobDigest(job))) {
            return undefined;
        }
        return {
            job,
            step: body.readDoubleBE(stepAt),
            fencing: body.readDoubleBE(fencingAt),
            groups,
            delivered: Uint8Array.from(body.subarray(bitmapAt)),
            samples: body.readDoubleBE(samplesAt),
            tokens: body.readDoubleBE(tokensAt),
            engineMs: body.readDoubleBE(engineAt),
        };
    }

    function decode(cursor: string, job: string, step: number): CursorState | undefined {
        if (cursor.length > maxCursorChars) {
            return undefined;
        }
        const bytes = Buffer.from(cursor, "base64url");
        // Node skips characters outside the alphabet; only the one spelling that was issued is taken.
        if (bytes.length < bitmapAt + signatureBytes || bytes.toString("base64url") !== cursor) {
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
