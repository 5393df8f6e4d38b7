import { codeOf } from "@auburnarch/errors/codeOf";
import { expect, test } from "vitest";
import { createBodyReader } from "./createBodyReader.js";

const chunkBytes = 10;

/** A body of `chunks` chunks, which come one by one in turn with those of other bodies. */
async function* bodyOf(chunks: number, onEnd: () => void): AsyncGenerator<Uint8Array> {
    try {
        for (let sent = 0; sent < chunks; sent++) {
            await new Promise(resolve => setImmediate(resolve));
            yield Buffer.alloc(chunkBytes);
        }
    }
    finally {
        onEnd();
    }
}

test("bodies without end are given up, and take nothing from those read beside them", async () => {
    // Guards against the memory of a process being used up by answers without end, and against sound answers that pay.
    const readBody = createBodyReader(20 * chunkBytes);
    let ended = 0;
    const read = (chunks: number): Promise<string> =>
        readBody(bodyOf(chunks, () => ended++)).then(
            body => `${body.length} bytes`,
            (error: unknown) => codeOf(error).name,
        );
    const results = await Promise.all([Infinity, 3, Infinity, 3, 5, Infinity].map(read));
    expect(results).toEqual([
        "answerTooLong",
        "30 bytes",
        "answerTooLong",
        "30 bytes",
        "50 bytes",
        "answerTooLong",
    ]);
    expect(ended).toBe(6);
    // What was held is free again, also after bodies that were given up.
    expect([await read(20), await read(21)]).toEqual(["200 bytes", "answerTooLong"]);
});
