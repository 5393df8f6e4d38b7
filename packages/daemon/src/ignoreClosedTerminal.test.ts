import { EventEmitter } from "node:events";
import { expect, test } from "vitest";
import { ignoreClosedTerminal } from "./ignoreClosedTerminal.js";

test("only the fault of a closed terminal is ignored", () => {
    // Guards against a daemon that its next line of output ends after its terminal has closed.
    const output = new EventEmitter();
    ignoreClosedTerminal(output);
    const fail = (code: string) => output.emit("error", Object.assign(new Error(code), { code }));
    expect(fail("EIO")).toBe(true);
    expect(() => fail("EPIPE")).toThrow("EPIPE");
});
