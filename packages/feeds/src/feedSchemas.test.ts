import { expect, test } from "vitest";
import { feedSchemas } from "./feedSchemas.js";

test("an answer that contains the removal of an object is understood", () => {
    // Guards against a runner that is avoided by every process whenever an object is removed.
    const answer = {
        kind: "changed",
        changes: [{ key: "servers/a", version: 4, value: undefined }, {
            key: "servers/b",
            version: 5,
            value: 1,
        }],
        revision: 5,
    };
    expect(feedSchemas.answer.parse(JSON.parse(JSON.stringify(answer)))).toEqual(answer);
});
