import type { Clock } from "@auburnarch/types/Clock";
import { expect, test } from "vitest";
import type { ByteSink } from "./ByteSink.js";
import { createByteStream } from "./createByteStream.js";
import { pipeBody } from "./pipeBody.js";

test("a sink that can't be written while more of the body is awaited rejects", async () => {
    // Guards against an error in the timer of the first write, which nobody handles and which ends the process.
    const written: string[] = [];
    const sink: ByteSink = {
        begin: () => {
            throw new Error("invalid head");
        },
        write: () => written.push("write") > 0,
        end: () => void written.push("end"),
        drained: async () => {},
    };
    const timers: (() => void)[] = [];
    const clock = { startTimer: (_delayMs: number, run: () => void) => (timers.push(run), () => {}) };
    const stream = createByteStream();
    stream.push(Buffer.from("half"));
    const piped = pipeBody(clock as unknown as Clock, stream.body, sink);
    await new Promise(resolve => setImmediate(resolve));
    timers.forEach(run => run());
    await expect(piped).rejects.toThrow("invalid head");
    stream.push(Buffer.from("rest"));
    stream.end();
    await new Promise(resolve => setImmediate(resolve));
    expect(written).toEqual([]);
});
